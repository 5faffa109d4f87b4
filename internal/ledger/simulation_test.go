package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

// process is an instance that can crash or be paused between two steps, and its
// connection to the table.
type process struct {
	platform.Table
	*simulation
	ledger *Ledger
	// stopAt is the number of steps until the process pauses or crashes.
	stopAt      int
	stop        fault
	pausedUntil time.Time
	crashed     bool
	cancel      context.CancelFunc
}

// step is called between any two actions of a process; it waits while the process
// is paused and reports whether the process has not crashed.
func (p *process) step() bool {
	p.mu.Lock()
	p.stopAt--
	if p.stopAt == 0 && p.stop == faultKill {
		p.crashed = true
		p.cancel()
	}
	if p.stopAt == 0 && p.stop == faultPause {
		p.pausedUntil = time.Now().Add(p.randomDuration(3 * requestTime))
	}
	wait, crashed := time.Until(p.pausedUntil), p.crashed
	p.mu.Unlock()
	time.Sleep(wait)
	return !crashed
}

// Commit implements platform.Table; some writes take effect only after the call has
// returned platform.ErrUnknownOutcome.
func (p *process) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if !p.step() {
		return platform.TxnResult{}, platform.ErrUnavailable
	}
	p.mu.Lock()
	late := p.lateWrites > 0
	p.lateWrites = max(0, p.lateWrites-1)
	delay := p.randomDuration(requestTime)
	p.mu.Unlock()
	if late {
		time.AfterFunc(delay, func() { _, _ = p.store.Commit(context.Background(), txn) })
		return platform.TxnResult{}, platform.ErrUnknownOutcome
	}
	res, err := p.store.Commit(ctx, txn)
	if !p.step() {
		return platform.TxnResult{}, platform.ErrUnknownOutcome
	}
	return res, err
}

// simulation is the run of one schedule: the store, the upstream and the results
// that callers get.
type simulation struct {
	mu         sync.Mutex
	rng        *rand.Rand
	store      *memstore.Store
	processes  []*process
	lateWrites int
	// upstreamFaults are the faults of the next calls at the upstream.
	upstreamFaults  []fault
	executions      int
	violations      []string
	unknownReported bool
}

// randomDuration returns a random duration up to limit. The caller holds mu.
func (w *simulation) randomDuration(limit time.Duration) time.Duration {
	return 1 + time.Duration(w.rng.Int64N(int64(limit)))
}

func newSimulation(ctx context.Context, seed uint64, faults []fault, relayed bool) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), store: memstore.New()}
	w.store.SetFaults(memstore.Faults{Delay: time.Millisecond})
	net := peertest.NewNet(time.Millisecond)
	for i := range scheduleInstances {
		p := &process{Table: w.store, simulation: w}
		options := Options{Instance: fmt.Sprint("i", i), Incarnation: 1, Batchers: 1}
		if relayed {
			options.Bus = net.Join(peer.Member{ID: options.Instance, Incarnation: 1})
		}
		p.ledger = New(p, w.store, options)
		runCtx, cancel := context.WithCancel(ctx)
		p.cancel = func() { cancel(); net.Leave(options.Instance) }
		go func() { _ = p.ledger.Run(runCtx) }()
		w.processes = append(w.processes, p)
	}
	for _, f := range faults {
		w.inject(f)
	}
	return w
}

// inject schedules one fault.
func (w *simulation) inject(f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	start, length := w.randomDuration(20*time.Millisecond), w.randomDuration(requestTime)
	change := func(set func(*memstore.Faults)) {
		faults := w.store.Faults()
		set(&faults)
		w.store.SetFaults(faults)
	}
	switch f {
	case faultKill, faultPause:
		p := w.processes[w.rng.IntN(2)]
		p.stop, p.stopAt = f, 1+w.rng.IntN(10)
	case faultDown:
		time.AfterFunc(start, func() { change(func(s *memstore.Faults) { s.Down = true }) })
		time.AfterFunc(start+length, func() { change(func(s *memstore.Faults) { s.Down = false }) })
	case faultSlow:
		slow := w.randomDuration(4 * time.Second)
		time.AfterFunc(start, func() { change(func(s *memstore.Faults) { s.Delay = slow }) })
		time.AfterFunc(start+length, func() { change(func(s *memstore.Faults) { s.Delay = time.Millisecond }) })
	case faultLostAnswer:
		time.AfterFunc(start, func() { change(func(s *memstore.Faults) { s.LoseAnswers += 3 }) })
	case faultLostWrite:
		time.AfterFunc(start, func() { change(func(s *memstore.Faults) { s.LoseWrites += 3 }) })
	case faultLateWrite:
		w.lateWrites += 1 + w.rng.IntN(6)
	default:
		w.upstreamFaults = append(w.upstreamFaults, f)
	}
}

// call carries out one request of the caller through one instance, as the
// dispatcher does.
func (p *process) call(ctx context.Context, req Request) {
	if !p.step() {
		return
	}
	claim, answer, err := p.ledger.Begin(ctx, req)
	if answer != nil && p.executed() != 1 {
		p.addViolation("an answer is stored after %d executions, want 1", p.executed())
	}
	if err != nil && err.Code == result.OutcomeUnknown {
		p.mu.Lock()
		p.unknownReported = true
		p.mu.Unlock()
	}
	if err != nil && err.Execution == result.NotRun && err.Code != result.StoreUnavailable && err.RetryAfter == 0 {
		p.addViolation("refused with %v and no time to retry after", err)
	}
	if claim == nil || !p.step() {
		return
	}
	if claim.CheckSend(ctx) != nil {
		_ = claim.ReleaseNotRun(ctx)
		return
	}
	p.send(ctx, claim)
}

// send sends the request to the upstream and ends the claim.
func (p *process) send(ctx context.Context, claim *Claim) {
	if !p.step() {
		return
	}
	outcome := p.execute()
	if !p.step() {
		return
	}
	switch outcome {
	case faultRefuse:
		_ = claim.ReleaseNotRun(ctx)
	case faultUpstream:
		_ = claim.FinishUnknown(ctx)
	default:
		_ = claim.Finish(ctx, Answer{Status: 200, Body: []byte("booked")})
	}
	p.step()
}

// execute simulates the upstream: it counts the executions independently of the
// ledger and returns the fault that the caller sees.
func (w *simulation) execute() fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	var f fault
	if len(w.upstreamFaults) > 0 {
		f, w.upstreamFaults = w.upstreamFaults[0], w.upstreamFaults[1:]
	}
	if f != faultRefuse && (f != faultUpstream || w.rng.IntN(2) == 0) {
		w.executions++
	}
	return f
}

func (w *simulation) executed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executions
}

func (w *simulation) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// finalResult is the result of a repeat at the end: "answer", "claimable",
// "may have run" or "still running".
func (w *simulation) finalResult(ctx context.Context) string {
	l := w.processes[scheduleInstances-1].ledger
	claim, answer, err := l.Begin(ctx, booking("k"))
	switch {
	case claim != nil:
		return "claimable"
	case answer != nil:
		return "answer"
	case err.Code == result.OutcomeUnknown:
		return "may have run"
	}
	return err.Error()
}

// recover waits until a repeat would get a final result and returns how
// long that takes.
func (w *simulation) recover(ctx context.Context) time.Duration {
	start := time.Now()
	for {
		rows, err := w.store.Read(ctx, rowKey("school", "k"))
		if err == nil {
			rec, _ := decodeRow(rows[0])
			if rec.State != stateClaimed || time.Now().After(rec.deadline().Add(outcomeGrace)) {
				return time.Since(start)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

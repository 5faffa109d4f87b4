package ledger

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Sizes of a schedule.
const (
	scheduleInstances = 3
	scheduleRepeats   = 6
	requestTime       = 5 * time.Second
)

// schedules is the number of seeds per combination of faults.
var schedules = flag.Int("schedules", 10, "seeds per combination of faults")

// fault is one thing that goes wrong in a schedule.
type fault string

const (
	faultKill       fault = "kill"
	faultFreeze     fault = "freeze"
	faultDown       fault = "store down"
	faultSlow       fault = "store slow"
	faultLostAnswer fault = "answer lost"
	faultLostWrite  fault = "write lost"
	faultLateWrite  fault = "write late"
	faultUpstream   fault = "upstream lost"
	faultRefuse     fault = "upstream refuses"
)

var allFaults = []fault{faultKill, faultFreeze, faultDown, faultSlow, faultLostAnswer,
	faultLostWrite, faultLateWrite, faultUpstream, faultRefuse}

// process is an instance that can be killed or frozen between two steps, and
// its link to the table.
type process struct {
	platform.Table
	*simulation
	ledger *Ledger
	// stopAt counts down the steps until the process freezes or crashes.
	stopAt  int
	stop    fault
	thawed  time.Time
	crashed bool
	cancel  context.CancelFunc
}

// step is called between any two actions of a process; it states whether the
// process still runs.
func (p *process) step() bool {
	p.mu.Lock()
	p.stopAt--
	if p.stopAt == 0 && p.stop == faultKill {
		p.crashed = true
		p.cancel()
	}
	if p.stopAt == 0 && p.stop == faultFreeze {
		p.thawed = time.Now().Add(p.span(3 * requestTime))
	}
	wait, crashed := time.Until(p.thawed), p.crashed
	p.mu.Unlock()
	time.Sleep(wait)
	return !crashed
}

// Commit implements platform.Table with writes that arrive late.
func (p *process) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if !p.step() {
		return platform.TxnResult{}, platform.ErrUnavailable
	}
	p.mu.Lock()
	late := p.lateWrites > 0
	p.lateWrites = max(0, p.lateWrites-1)
	delay := p.span(requestTime)
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

// simulation is one schedule: the store, the upstream and the callers' results.
type simulation struct {
	mu         sync.Mutex
	rng        *rand.Rand
	store      *memstore.Store
	processes  []*process
	lateWrites int
	// upstreamFaults are the coming calls' faults at the upstream.
	upstreamFaults  []fault
	executions      int
	violations      []string
	unknownReported bool
}

// span returns a random duration up to limit. The caller holds mu.
func (w *simulation) span(limit time.Duration) time.Duration {
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
	start, length := w.span(20*time.Millisecond), w.span(requestTime)
	change := func(set func(*memstore.Faults)) {
		faults := w.store.Faults()
		set(&faults)
		w.store.SetFaults(faults)
	}
	switch f {
	case faultKill, faultFreeze:
		p := w.processes[w.rng.IntN(2)]
		p.stop, p.stopAt = f, 1+w.rng.IntN(10)
	case faultDown:
		time.AfterFunc(start, func() { change(func(s *memstore.Faults) { s.Down = true }) })
		time.AfterFunc(start+length, func() { change(func(s *memstore.Faults) { s.Down = false }) })
	case faultSlow:
		slow := w.span(4 * time.Second)
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
		p.violate("an answer was stored of %d executions", p.executed())
	}
	if err != nil && err.Code == result.OutcomeUnknown {
		p.mu.Lock()
		p.unknownReported = true
		p.mu.Unlock()
	}
	if err != nil && err.Execution == result.NotRun && err.Code != result.StoreUnavailable && err.RetryAfter == 0 {
		p.violate("refused with %v and no time to come back", err)
	}
	if claim == nil || !p.step() {
		return
	}
	if claim.MarkSending(ctx) != nil {
		_ = claim.NotRun(ctx)
		return
	}
	p.send(ctx, claim)
}

// send gives the request to the upstream and ends the claim.
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
		_ = claim.NotRun(ctx)
	case faultUpstream:
		_ = claim.Unknown(ctx)
	default:
		_ = claim.Finish(ctx, Answer{Status: 200, Body: []byte("booked")})
	}
	p.step()
}

// execute is the upstream: it counts executions from outside.
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

func (w *simulation) violate(format string, args ...any) {
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

// tally sums up the schedules of one combination of faults.
type tally struct {
	schedules, violations, executed, answers, claimable, unknown, falseUnknown int
	// recovery is the longest time from the last fault until a repeat gets a
	// final result.
	recovery time.Duration
}

func (c *tally) run(t *testing.T, seed uint64, faults []fault, relayed bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t.Context(), seed, faults, relayed)
		var wg sync.WaitGroup
		for range scheduleRepeats {
			w.mu.Lock()
			start := w.span(2 * requestTime)
			if w.rng.IntN(2) == 0 {
				start = w.span(30 * time.Millisecond)
			}
			p := w.processes[w.rng.IntN(scheduleInstances)]
			w.mu.Unlock()
			wg.Go(func() {
				time.Sleep(start)
				req := booking("k")
				req.Deadline = time.Now().Add(requestTime)
				ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
				defer cancel()
				p.call(ctx, req)
			})
		}
		wg.Wait()
		c.recovery = max(c.recovery, w.recover(t.Context()))
		time.Sleep(4 * requestTime)
		c.check(t, seed, faults, w, w.finalResult(t.Context()))
	})
}

// recover waits until a repeat would get a final result, and returns how long
// that takes after the last call has ended.
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

func (c *tally) check(t *testing.T, seed uint64, faults []fault, w *simulation, final string) {
	c.schedules++
	n := w.executed()
	c.executed += n
	if n > 1 {
		w.violate("executed %d times", n)
	}
	switch final {
	case "answer":
		c.answers++
	case "claimable":
		c.claimable++
		if n > 0 {
			w.violate("a repeat may run although the request ran")
		}
	case "may have run":
		c.unknown++
		if n == 0 {
			c.falseUnknown++
		}
	default:
		w.violate("no final result: %s", final)
	}
	if len(w.violations) > 0 {
		c.violations++
		t.Errorf("faults %v, seed %d: %v", faults, seed, w.violations)
	}
}

func (c *tally) String() string {
	return fmt.Sprintf("%d schedules, %d violations, %d executed, %d answers, %d claimable, %d may-have-run (%d of them not run), final result within %v",
		c.schedules, c.violations, c.executed, c.answers, c.claimable, c.unknown, c.falseUnknown, c.recovery)
}

// combinations returns no fault, each fault, the same twice, and each pair.
func combinations() [][]fault {
	all := [][]fault{nil}
	for i, f := range allFaults {
		all = append(all, []fault{f}, []fault{f, f})
		for _, g := range allFaults[i+1:] {
			all = append(all, []fault{f, g})
		}
	}
	return all
}

func TestSchedulesRunAtMostOnce(t *testing.T) { runSchedules(t, *schedules, false) }

// TestSchedulesWithSharedTransactions lets one of the instances write the rows
// of all.
func TestSchedulesWithSharedTransactions(t *testing.T) { runSchedules(t, (*schedules+1)/2, true) }

func runSchedules(t *testing.T, seeds int, relayed bool) {
	t.Parallel()
	var total tally
	for _, faults := range combinations() {
		var c tally
		for seed := range uint64(seeds) {
			c.run(t, seed, faults, relayed)
		}
		t.Logf("%v: %v", faults, &c)
		total.schedules += c.schedules
		total.violations += c.violations
		total.executed += c.executed
		total.unknown += c.unknown
		total.falseUnknown += c.falseUnknown
		total.answers += c.answers
		total.claimable += c.claimable
		total.recovery = max(total.recovery, c.recovery)
	}
	t.Logf("all: %v", &total)
}

// TestPlaceOfClaim kills an instance at a random moment of a call that waits
// 50 ms for its upstream, claims in 5 ms, runs 30 ms and stores in 5 ms, and
// counts how often callers get "may have run" for a call that did not run.
func TestPlaceOfClaim(t *testing.T) {
	t.Parallel()
	const calls, wait, runTime = 400, 50 * time.Millisecond, 30 * time.Millisecond
	const life = wait + runTime + 10*time.Millisecond
	falseUnknown, unknown := map[bool]int{}, map[bool]int{}
	for _, claimFirst := range []bool{true, false} {
		for seed := range uint64(calls) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(t.Context(), seed, nil, false)
				w.store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
				p := w.processes[0]
				time.AfterFunc(w.span(life), func() {
					w.mu.Lock()
					p.crashed = true
					w.mu.Unlock()
					p.cancel()
				})
				if !claimFirst {
					time.Sleep(wait)
				}
				if claim, _, _ := p.ledger.Begin(t.Context(), booking("k")); claim != nil && p.step() {
					if claimFirst {
						time.Sleep(wait)
					}
					if p.step() {
						w.execute()
						time.Sleep(runTime)
						_ = claim.Finish(t.Context(), Answer{Status: 200})
					}
				}
				time.Sleep(4 * requestTime)
				if w.finalResult(t.Context()) == "may have run" {
					unknown[claimFirst]++
					if w.executed() == 0 {
						falseUnknown[claimFirst]++
					}
				}
			})
		}
	}
	t.Logf("of %d crashes, may have run: claim before the wait %d (%d of them not run), after it %d (%d not run)",
		calls, unknown[true], falseUnknown[true], unknown[false], falseUnknown[false])
	if 5*falseUnknown[false] > falseUnknown[true] {
		t.Error("a claim right before the send does not help")
	}
}

package ledger

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform/memstore"
)

// Sizes of a schedule.
const (
	scheduleInstances = 3
	scheduleRepeats   = 6
	requestTime       = 5 * time.Second
)

// schedules is the number of seeds per combination of faults.
var schedules = flag.Int("schedules", 10, "seeds per combination of faults")

// fault is one failure in a schedule.
type fault string

const (
	faultKill       fault = "kill"
	faultPause      fault = "freeze"
	faultDown       fault = "store down"
	faultSlow       fault = "store slow"
	faultLostAnswer fault = "answer lost"
	faultLostWrite  fault = "write lost"
	faultLateWrite  fault = "write late"
	faultUpstream   fault = "upstream lost"
	faultRefuse     fault = "upstream refuses"
)

var allFaults = []fault{faultKill, faultPause, faultDown, faultSlow, faultLostAnswer,
	faultLostWrite, faultLateWrite, faultUpstream, faultRefuse}

// totals sums up the results of the schedules of one combination of faults.
type totals struct {
	schedules, violations, executed, answers, claimable, unknown, falseUnknown int
	// recovery is the maximum time from the end of the last call until a
	// repeat gets a final result.
	recovery time.Duration
}

func (c *totals) run(t *testing.T, seed uint64, faults []fault, relayed bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t.Context(), seed, faults, relayed)
		var wg sync.WaitGroup
		for range scheduleRepeats {
			w.mu.Lock()
			start := w.randomDuration(2 * requestTime)
			if w.rng.IntN(2) == 0 {
				start = w.randomDuration(30 * time.Millisecond)
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

func (c *totals) check(t *testing.T, seed uint64, faults []fault, w *simulation, final string) {
	c.schedules++
	n := w.executed()
	c.executed += n
	if n > 1 {
		w.addViolation("executed %d times", n)
	}
	switch final {
	case "answer":
		c.answers++
	case "claimable":
		c.claimable++
		if n > 0 {
			w.addViolation("a repeat may run although the request ran")
		}
	case "may have run":
		c.unknown++
		if n == 0 {
			c.falseUnknown++
		}
	default:
		w.addViolation("no final result: %s", final)
	}
	if len(w.violations) > 0 {
		c.violations++
		t.Errorf("faults %v, seed %d: %v", faults, seed, w.violations)
	}
}

func (c *totals) String() string {
	return fmt.Sprintf("%d schedules, %d violations, %d executed, %d answers, %d claimable, %d may-have-run (%d of them not run), final result within %v",
		c.schedules, c.violations, c.executed, c.answers, c.claimable, c.unknown, c.falseUnknown, c.recovery)
}

// combinations returns the empty combination, each fault, each fault twice and each
// pair of faults.
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

// TestSchedulesRunAtMostOnce checks random schedules of repeats on several
// instances with each combination of faults: the request runs at most once, and the
// final result agrees with the executions at the upstream.
func TestSchedulesRunAtMostOnce(t *testing.T) { runSchedules(t, *schedules, false) }

// TestSchedulesWithSharedTransactions checks the same while one of the instances
// writes the rows of all.
func TestSchedulesWithSharedTransactions(t *testing.T) { runSchedules(t, (*schedules+1)/2, true) }

func runSchedules(t *testing.T, seeds int, relayed bool) {
	t.Parallel()
	var total totals
	for _, faults := range combinations() {
		var c totals
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

// TestClaimRightBeforeSend checks that claiming after the wait for an upstream
// instead of before it avoids most false results "may have run" after a crash. An
// instance crashes at a random moment of a call that waits 50 ms for its upstream,
// claims in 5 ms, runs 30 ms and stores in 5 ms.
func TestClaimRightBeforeSend(t *testing.T) {
	t.Parallel()
	const calls, wait, runTime = 400, 50 * time.Millisecond, 30 * time.Millisecond
	const callTime = wait + runTime + 10*time.Millisecond
	falseUnknown, unknown := map[bool]int{}, map[bool]int{}
	for _, claimFirst := range []bool{true, false} {
		for seed := range uint64(calls) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(t.Context(), seed, nil, false)
				w.store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
				p := w.processes[0]
				time.AfterFunc(w.randomDuration(callTime), func() {
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
		t.Error("a claim right before the send gives too many false results \"may have run\"")
	}
}

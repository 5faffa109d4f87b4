package gang

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/modelcheck"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// fakeReserver is a Reserver that simulates the memory of a set of engines.
type fakeReserver struct {
	mu   sync.Mutex
	free map[string]int   // tokens by upstream
	held map[string]int   // tokens by upstream and name
	fail map[string]error // by upstream
}

func newFakeReserver(n, memory int) *fakeReserver {
	e := &fakeReserver{free: map[string]int{}, held: map[string]int{}, fail: map[string]error{}}
	for i := range n {
		e.free[fmt.Sprintf("e%d", i)] = memory
	}
	return e
}

func (e *fakeReserver) Reserve(_ context.Context, id string, r upstream.ReserveRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.fail[id]; err != nil {
		return err
	}
	if e.free[id] < r.Tokens {
		return ErrNoMemory
	}
	e.free[id] -= r.Tokens
	e.held[id+" "+r.Name] = r.Tokens
	return nil
}

func (e *fakeReserver) Release(_ context.Context, id, name string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free[id] += e.held[id+" "+name]
	delete(e.held, id+" "+name)
	return nil
}

// newEngines returns n engines in service with the same memory.
func newEngines(n, memory int) []Engine {
	var all []Engine
	for i := range n {
		all = append(all, Engine{ID: fmt.Sprintf("e%d", i), MemoryTokens: memory, InService: true})
	}
	return all
}

// TestPlanHoldsTheWholePrompt checks on random engines that a plan covers all tokens,
// is in the order of the engines' IDs and exceeds no engine's usable memory, and that
// it fails only if the engines have too little memory.
func TestPlanHoldsTheWholePrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newEngines(rapid.IntRange(1, 12).Draw(t, "n"), 0)
		usable := map[string]int{}
		for i := range all {
			all[i].MemoryTokens = rapid.IntRange(1, 1000).Draw(t, "memory")
			all[i].Wait = rapid.Float64Range(0, 5).Draw(t, "wait")
			all[i].InService = rapid.IntRange(0, 3).Draw(t, "up") > 0
			if all[i].InService {
				usable[all[i].ID] = all[i].usable()
			}
		}
		tokens := rapid.IntRange(1, 6000).Draw(t, "tokens")
		shares, err := Plan(all, tokens)
		if errors.Is(err, ErrNeverFits) != (capacity(all, false) < tokens) {
			t.Fatalf("error %v for engines that can hold %d tokens and a prompt of %d", err, capacity(all, false), tokens)
		}
		if err != nil {
			return
		}
		sum, last := 0, ""
		for _, s := range shares {
			if s.UpstreamID <= last || s.Tokens > usable[s.UpstreamID] {
				t.Fatalf("share %+v out of order or too large", s)
			}
			sum, last = sum+s.Tokens, s.UpstreamID
		}
		if sum != tokens {
			t.Fatalf("the shares hold %d tokens, the prompt has %d", sum, tokens)
		}
	})
}

func newAcquirer(t *testing.T, r Reserver) *Acquirer {
	a, err := NewAcquirer(r, 1)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestNothingIsHeldAfterAnError checks that the parts reserved before an engine failed
// are released.
func TestNothingIsHeldAfterAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeReserver(3, 100)
		e.fail["e2"] = errors.New("connection refused")
		shares, _ := Plan(newEngines(3, 100), 250)
		if _, err := newAcquirer(t, e).Acquire(t.Context(), "a/1/x", shares, time.Now().Add(time.Minute)); err == nil {
			t.Fatal("acquired parts although an engine failed")
		}
		if len(e.held) != 0 {
			t.Errorf("reservations still held: %v", e.held)
		}
	})
}

// TestTwoInstancesBothFinish checks that the gangs of two instances all get their
// memory on engines which they share with each other and with short requests.
func TestTwoInstancesBothFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeReserver(4, 100)
		var done sync.WaitGroup
		finished := make([]int, 2)
		for instance := range finished {
			done.Go(func() {
				a := newAcquirer(t, e)
				for round := range 10 {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
					shares, _ := Plan(newEngines(4, 100), 300)
					held, err := a.Acquire(ctx, fmt.Sprintf("%d/1/%d", instance, round), shares, time.Now().Add(time.Hour))
					cancel()
					if err != nil {
						continue
					}
					time.Sleep(time.Second)
					a.Release(t.Context(), held)
					finished[instance]++
				}
			})
		}
		done.Go(func() {
			for i := range 200 {
				id, name := fmt.Sprintf("e%d", i%4), fmt.Sprintf("s%d", i)
				if e.Reserve(t.Context(), id, upstream.ReserveRequest{Name: name, Tokens: 20}) == nil {
					time.Sleep(50 * time.Millisecond)
					_ = e.Release(t.Context(), id, name)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		done.Wait()
		if finished[0] != 10 || finished[1] != 10 || len(e.held) != 0 {
			t.Errorf("prompts finished by instance: %v, want 10 each; reservations still held: %v", finished, e.held)
		}
	})
}

// partsHeld is the number of parts that each of three prompts holds. A prompt that
// has finished holds none; the number of parts in its plan plus one stands for that.
type partsHeld [3]int

// explore explores all interleavings of three prompts that reserve their parts one
// after the other. From each state, one in which all have finished must be
// reachable.
func explore(plans [3][]Share) modelcheck.Report[partsHeld] {
	var goal partsHeld
	for i, plan := range plans {
		goal[i] = len(plan) + 1
	}
	return modelcheck.Explore(modelcheck.Model[partsHeld]{
		Steps: func(s partsHeld) (steps []modelcheck.Step[partsHeld]) {
			for i, plan := range plans {
				if s[i] > len(plan) || s[i] < len(plan) && isHeld(plans, s, plan[s[i]].UpstreamID) {
					continue
				}
				next := s
				next[i]++
				steps = append(steps, modelcheck.Step[partsHeld]{Name: fmt.Sprintf("prompt %d continues", i), To: next})
			}
			return steps
		},
		Goal:      func(s partsHeld) bool { return s == goal },
		MaxStates: 1000,
	})
}

// isHeld reports whether any prompt holds the engine in state s.
func isHeld(plans [3][]Share, s partsHeld, id string) bool {
	for i, plan := range plans {
		if s[i] <= len(plan) && slices.ContainsFunc(plan[:s[i]], func(share Share) bool { return share.UpstreamID == id }) {
			return true
		}
	}
	return false
}

// TestNoDeadlockInAllInterleavings checks that three prompts with any plans of Plan can
// always finish, and that the exploration does find the deadlock of two prompts that
// reserve in opposite orders.
func TestNoDeadlockInAllInterleavings(t *testing.T) {
	plans := [][]Share{}
	for outOfService := range 4 {
		all := newEngines(4, 100)
		all[outOfService].InService = false
		shares, err := Plan(all, 190)
		if err != nil {
			t.Fatal(err)
		}
		plans = append(plans, shares)
	}
	for _, a := range plans {
		for _, b := range plans {
			for _, c := range plans {
				if r := explore([3][]Share{a, b, c}); !r.Complete || r.Violation != nil {
					t.Fatalf("plans %v %v %v: %v", a, b, c, r.Violation)
				}
			}
		}
	}
	reversed := []Share{plans[3][1], plans[3][0]}
	if r := explore([3][]Share{plans[3], reversed, plans[3]}); r.Violation == nil {
		t.Error("deadlock of opposite orders not found")
	}
}

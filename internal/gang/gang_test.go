package gang

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// engines is a set of engines in memory.
type engines struct {
	mu   sync.Mutex
	free map[string]int
	held map[string]int // by upstream and name
	fail map[string]error
}

func newEngines(n, memory int) *engines {
	e := &engines{free: map[string]int{}, held: map[string]int{}, fail: map[string]error{}}
	for i := range n {
		e.free[fmt.Sprintf("e%d", i)] = memory
	}
	return e
}

func (e *engines) Reserve(_ context.Context, id string, r upstream.ReserveRequest) error {
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

func (e *engines) Release(_ context.Context, id, name string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free[id] += e.held[id+" "+name]
	delete(e.held, id+" "+name)
	return nil
}

func list(n, memory int) []Engine {
	var all []Engine
	for i := range n {
		all = append(all, Engine{ID: fmt.Sprintf("e%d", i), MemoryTokens: memory, InService: true})
	}
	return all
}

func TestPlanHoldsTheWholePrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := list(rapid.IntRange(1, 12).Draw(t, "n"), 0)
		room := map[string]int{}
		for i := range all {
			all[i].MemoryTokens = rapid.IntRange(1, 1000).Draw(t, "memory")
			all[i].Wait = rapid.Float64Range(0, 5).Draw(t, "wait")
			all[i].InService = rapid.IntRange(0, 3).Draw(t, "up") > 0
			if all[i].InService {
				room[all[i].ID] = all[i].usable()
			}
		}
		tokens := rapid.IntRange(1, 6000).Draw(t, "tokens")
		shares, err := Plan(all, tokens)
		if errors.Is(err, ErrNeverFits) != (capacity(all, false) < tokens) {
			t.Fatalf("error %v with capacity %d for %d", err, capacity(all, false), tokens)
		}
		if err != nil {
			return
		}
		sum, last := 0, ""
		for _, s := range shares {
			if s.UpstreamID <= last || s.Tokens > room[s.UpstreamID] {
				t.Fatalf("bad share %+v", s)
			}
			sum, last = sum+s.Tokens, s.UpstreamID
		}
		if sum != tokens {
			t.Fatalf("%d of %d tokens placed", sum, tokens)
		}
	})
}

func newAcquirer(t *testing.T, r Reserver) *Acquirer {
	a, err := NewAcquirer(r)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestNothingIsHeldAfterAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(3, 100)
		e.fail["e2"] = errors.New("connection refused")
		shares, _ := Plan(list(3, 100), 250)
		if _, err := newAcquirer(t, e).Acquire(t.Context(), "a/1/x", shares, time.Now().Add(time.Minute)); err == nil {
			t.Fatal("no error")
		}
		if len(e.held) != 0 {
			t.Errorf("held: %v", e.held)
		}
	})
}

// TestTwoInstancesBothFinish runs gangs of two instances and a flow of short
// requests over the same engines: every gang gets its memory.
func TestTwoInstancesBothFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(4, 100)
		var done sync.WaitGroup
		finished := make([]int, 2)
		for instance := range finished {
			done.Go(func() {
				a := newAcquirer(t, e)
				for round := range 10 {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
					shares, _ := Plan(list(4, 100), 300)
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
			t.Errorf("finished %v of 10 each; held %v", finished, e.held)
		}
	})
}

// TestNoDeadlockInAllInterleavings walks every interleaving of three gangs that
// hold and wait, over all choices of plans on four engines, and looks for a
// state in which nobody can move.
func TestNoDeadlockInAllInterleavings(t *testing.T) {
	plans := [][]Share{}
	for _, out := range []int{-1, 0, 1, 2, 3} {
		all := list(4, 100)
		for i := range all {
			all[i].InService = i != out
		}
		shares, err := Plan(all, 190)
		if err != nil {
			t.Fatal(err)
		}
		plans = append(plans, shares)
	}
	for _, a := range plans {
		for _, b := range plans {
			for _, c := range plans {
				if state, stuck := findDeadlock([3][]Share{a, b, c}); stuck {
					t.Fatalf("plans %v %v %v stop in %v", a, b, c, state)
				}
			}
		}
	}
	reversed := []Share{plans[0][1], plans[0][0]}
	if _, stuck := findDeadlock([3][]Share{plans[0], reversed, plans[0]}); !stuck {
		t.Error("the walk must find the deadlock of opposite orders")
	}
}

// findDeadlock walks the states (parts held by each gang; len+1 is finished).
func findDeadlock(plans [3][]Share) ([3]int, bool) {
	seen := map[[3]int]bool{}
	work := [][3]int{{}}
	for len(work) > 0 {
		s := work[0]
		work = work[1:]
		if seen[s] {
			continue
		}
		seen[s] = true
		moves, finished := 0, 0
		for i, plan := range plans {
			if s[i] > len(plan) {
				finished++
				continue
			}
			if s[i] < len(plan) && taken(plans, s, plan[s[i]].UpstreamID) {
				continue
			}
			next := s
			next[i]++
			work = append(work, next)
			moves++
		}
		if moves == 0 && finished < len(plans) {
			return s, true
		}
	}
	return [3]int{}, false
}

// taken states whether any gang holds the engine in state s.
func taken(plans [3][]Share, s [3]int, id string) bool {
	for i, plan := range plans {
		if s[i] > len(plan) {
			continue
		}
		for _, share := range plan[:s[i]] {
			if share.UpstreamID == id {
				return true
			}
		}
	}
	return false
}

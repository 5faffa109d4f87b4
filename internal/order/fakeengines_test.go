package order

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// fakeEngines are engines to which orders are delayed or lost.
type fakeEngines struct {
	mu      sync.Mutex
	rng     *rand.Rand
	state   map[string]*upstream.ObservedState
	fencing map[string]bool
	key     []byte
	// stale counts orders executed after one with a newer token.
	stale, orders, sent int
	// unleased counts orders that were sent without a valid lease.
	unleased int
	// newest holds the highest token of each engine's executed orders.
	newest map[string]uint64
	// freezes is set if processes freeze at random right before sending.
	freezes bool
}

func (f *fakeEngines) Observe(_ context.Context, e Engine) (upstream.ObservedState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := *f.state[e.ID]
	// The slice is copied because orders change it.
	o.Models = append([]upstream.LoadedModel(nil), o.Models...)
	return o, nil
}

// deliver delivers an order to the engine after a random delay. Some orders are
// lost; some are executed although their answer is lost.
func (f *fakeEngines) deliver(e Engine, o upstream.Order, token uint64) error {
	f.mu.Lock()
	wait := time.Duration(f.rng.Int64N(int64(orderTimeout)))
	outcome := f.rng.IntN(8)
	f.sent++
	f.mu.Unlock()
	switch outcome {
	case 0:
		return context.DeadlineExceeded
	case 1, 2:
		time.AfterFunc(wait, func() { _ = f.arrive(e, o, token) })
		return context.DeadlineExceeded
	}
	time.Sleep(wait)
	return f.arrive(e, o, token)
}

// arrive executes an order that was sent under token, or refuses it.
func (f *fakeEngines) arrive(e Engine, o upstream.Order, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state[e.ID]
	if e.ChecksIssuer && !o.Verify(f.key) {
		return ErrIssuer
	}
	if f.fencing[e.ID] {
		if o.Fence < state.Fence {
			return ErrFenced
		}
		state.Fence = o.Fence
	}
	if token < f.newest[e.ID] {
		f.stale++
	}
	f.newest[e.ID] = max(f.newest[e.ID], token)
	f.orders++
	_, alreadyLoaded := loadedModel(*state, o.Model, o.Version)
	execute(state, o)
	if o.Kind == upstream.OrderLoadModel && !alreadyLoaded {
		state.Models[len(state.Models)-1].Loading = true
		boot := state.Boot
		time.AfterFunc(loadTime, func() { f.finishLoading(e.ID, boot, o) })
	}
	return nil
}

// finishLoading marks the model of an order as loaded, unless the engine has
// restarted.
func (f *fakeEngines) finishLoading(id, boot string, o upstream.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.state[id].Models {
		if f.state[id].Boot == boot && m.Model == o.Model && m.Version == o.Version {
			f.state[id].Models[i].Loading = false
		}
	}
}

// counts returns the numbers of orders sent, executed, and executed after one with
// a newer token.
func (f *fakeEngines) counts() (sent, orders, stale int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent, f.orders, f.stale
}

// restart restarts an engine: its models and the highest token are lost.
func (f *fakeEngines) restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state[id] = &upstream.ObservedState{Boot: f.state[id].Boot + "+", Role: upstream.RoleMixed}
	f.newest[id] = 0
}

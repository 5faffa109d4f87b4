package deployment

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// topicUpdate is the topic of calls that ask another instance for all it knows of
// one source.
const topicUpdate = "deployment"

// Timing of the exchange between instances.
const (
	// behindAfter is how long an instance may be behind another, beside the time in
	// which changes are gathered, before it reads the store again: news from the
	// store itself takes a few milliseconds.
	behindAfter = 400 * time.Millisecond
	// askTimeout bounds a call to another instance.
	askTimeout = 500 * time.Millisecond
)

// Exchange lets instances notice that they are behind. The messages between them
// carry up to which change each source is known; one that hears of a newer change
// and does not get it from the store, because its connection fell silent or the
// store turns it away, asks the instance that has it.
type Exchange struct {
	followers []*Follower

	mu  sync.Mutex
	bus peer.Bus
}

// NewExchange returns an exchange about the followers. All instances must list
// them in the same order.
func NewExchange(followers ...*Follower) *Exchange { return &Exchange{followers: followers} }

// SetBus links the exchange to the other instances, before the bus is started.
func (e *Exchange) SetBus(bus peer.Bus) {
	bus.HandleCall(topicUpdate, e.answer)
	e.mu.Lock()
	e.bus = bus
	e.mu.Unlock()
}

// Seen returns the newest change that is known of each source.
func (e *Exchange) Seen() []int64 {
	seen := make([]int64, len(e.followers))
	for i, f := range e.followers {
		seen[i] = f.changed.Load()
	}
	return seen
}

// Hear takes what another instance has seen. It does not block.
func (e *Exchange) Hear(from string, seen []int64) {
	for i, f := range e.followers {
		if i < len(seen) && seen[i] > f.complete.Load() && f.chasing.CompareAndSwap(false, true) {
			go e.chase(f, i, from, seen[i])
		}
	}
}

// chase waits whether the store delivers the change by itself, reads the store
// again if not, and asks the other instance if the store does not answer.
func (e *Exchange) chase(f *Follower, index int, from string, change int64) {
	defer f.chasing.Store(false)
	time.Sleep(behindAfter + f.options.gather())
	if f.complete.Load() >= change {
		return
	}
	log.WithField("table", f.source.Name()).WithField("known", f.complete.Load()).WithField("newest", change).
		WithField("instance", from).Warn("Another instance knows a newer change; the store and that instance are asked.")
	f.refresh()
	update, err := e.ask(from, index)
	if err != nil {
		log.WithError(err).WithField("instance", from).Debug("An instance did not tell what it knows.")
		return
	}
	f.hand(update)
}

// ask gets all that another instance knows of a source.
func (e *Exchange) ask(from string, index int) (Update, error) {
	e.mu.Lock()
	bus := e.bus
	e.mu.Unlock()
	if bus == nil {
		return Update{}, trace.NotFound("not linked to other instances")
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	request, err := cbor.Marshal(index)
	if err != nil {
		return Update{}, trace.Wrap(err)
	}
	answer, err := bus.Call(ctx, from, topicUpdate, request)
	if err != nil {
		return Update{}, trace.Wrap(err)
	}
	var u Update
	return u, trace.Wrap(cbor.Unmarshal(answer, &u))
}

// answer tells all that this instance knows of a source.
func (e *Exchange) answer(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var index int
	if err := cbor.Unmarshal(payload, &index); err != nil || index < 0 || index >= len(e.followers) {
		return nil, trace.BadParameter("no source has this number")
	}
	return cbor.Marshal(e.followers[index].known())
}

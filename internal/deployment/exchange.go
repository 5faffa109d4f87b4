package deployment

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// topicUpdate is the topic of calls that fetch another instance's snapshot of one
// source.
const topicUpdate = "deployment"

// topicStoreBack is the topic of broadcasts of watchers that the store answers again.
const topicStoreBack = "store answers again"

// topicSeen is the topic of broadcasts of watchers with the versions that they have seen. The
// build before ignores it, and learns of changes with messages about requests only.
const topicSeen = "versions seen"

// Timing of the exchange between instances.
const (
	// catchUpDelay is how long after a batch an instance may be behind another before it
	// reads the store again: the store itself delivers changes within a few milliseconds.
	catchUpDelay = 250 * time.Millisecond
	// fetchTimeout bounds a call to another instance.
	fetchTimeout = 500 * time.Millisecond
)

// Errors of calls between instances.
var (
	errNoLinks  = errors.New("no links to other instances yet")
	errNoSource = errors.New("no source has this number")
)

// Exchange lets instances detect that they are behind. Messages between instances carry
// the newest change that the sender knows of each source, and watchers broadcast it. An
// instance that receives a
// newer version and does not get the change from the store, because its connection
// delivers no data or the store rejects it, fetches the data from the sender.
type Exchange struct {
	state     *State
	followers []*Follower

	mu  sync.Mutex
	bus peer.Bus
}

// NewExchange returns an Exchange for the followers of a state. All instances must list them in
// the same order.
func NewExchange(state *State, followers ...*Follower) *Exchange {
	e := &Exchange{state: state, followers: followers}
	for i, f := range followers {
		f.exchange, f.index = e, i
	}
	return e
}

// SetBus connects the Exchange to the other instances. It must be called before the bus
// is started.
func (e *Exchange) SetBus(bus peer.Bus) {
	bus.HandleCall(topicUpdate, e.handleFetch)
	bus.HandleCall(topicFollow, e.handleFollow)
	bus.HandleBroadcast(topicLeaving, e.handleLeaving)
	bus.HandleBroadcast(topicStoreBack, func(string, []byte) {
		for _, f := range e.followers {
			f.retryNow()
		}
	})
	bus.HandleBroadcast(topicSeen, e.handleSeen)
	e.mu.Lock()
	e.bus = bus
	e.mu.Unlock()
}

// announce tells the other instances which versions this one has seen. Instances that serve
// nothing get no other message that shows them that they are behind.
func (e *Exchange) announce() {
	bus := e.currentBus()
	if bus == nil {
		return
	}
	payload, err := cbor.Marshal(e.Seen())
	if err != nil {
		log.WithError(err).Error("versions not announced: encoding failed")
		return
	}
	bus.Broadcast(topicSeen, payload)
}

// handleSeen receives the versions that a watcher has seen.
func (e *Exchange) handleSeen(from string, payload []byte) {
	var seen []Revision
	if err := wire.Unmarshal(payload, &seen, from); err != nil {
		log.WithError(err).WithField("instance", from).Warn("versions of another instance rejected: payload cannot be decoded")
		return
	}
	e.Receive(from, seen)
}

// currentBus returns the bus; nil if there are no links to other instances yet.
func (e *Exchange) currentBus() peer.Bus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bus
}

// StoreBack tells the other instances that the store answers again.
func (e *Exchange) StoreBack() {
	if bus := e.currentBus(); bus != nil {
		bus.Broadcast(topicStoreBack, nil)
	}
}

// Seen returns the version of the newest known change of each source.
func (e *Exchange) Seen() []Revision {
	seen := make([]Revision, len(e.followers))
	for i, f := range e.followers {
		seen[i] = f.changed.load()
	}
	return seen
}

// Receive receives the versions that another instance has seen and catches up if one is
// newer. It does not block.
func (e *Exchange) Receive(from string, seen []Revision) {
	for i, f := range e.followers {
		if i < len(seen) && f.complete.load().Before(seen[i]) && f.catchingUp.CompareAndSwap(false, true) {
			go panics.Run(log, func() { e.catchUp(f, i, from, seen[i]) })
		}
	}
}

// catchUp gives the store time to deliver the change. If it does not, catchUp has the
// follower read the store again and fetches the data from the other instance.
func (e *Exchange) catchUp(f *Follower, index int, from string, change Revision) {
	defer f.catchingUp.Store(false)
	time.Sleep(max(f.untilBatchEnds(), 0) + catchUpDelay)
	if !f.complete.load().Before(change) {
		return
	}
	log.WithField("table", f.source.Name()).WithField("known", f.complete.load()).WithField("newest", change).
		WithField("instance", from).Warn("another instance knows a newer change; reading the store again and fetching from that instance")
	f.refresh()
	update, err := e.fetch(from, index)
	if err != nil {
		log.WithError(err).WithField("instance", from).Debug("fetching from another instance failed")
		return
	}
	f.offer(update)
}

// fetch returns another instance's snapshot of a source.
func (e *Exchange) fetch(from string, index int) (Update, error) {
	bus := e.currentBus()
	if bus == nil {
		return Update{}, errNoLinks
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
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
	return u, trace.Wrap(wire.Unmarshal(answer, &u, from))
}

// handleFetch returns this instance's snapshot of a source.
func (e *Exchange) handleFetch(_ context.Context, from string, payload []byte) ([]byte, error) {
	var index int
	if err := wire.Unmarshal(payload, &index, from); err != nil || index < 0 || index >= len(e.followers) {
		return nil, errNoSource
	}
	return cbor.Marshal(e.followers[index].snapshot())
}

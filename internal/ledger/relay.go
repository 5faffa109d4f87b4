package ledger

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// topicWrite is the topic of calls that have a batching instance commit a claim
// row.
const topicWrite peer.Topic = "ledger.write"

// Bounds of relayed writes.
const (
	// defaultBatchers is the number of instances that commit claim rows. In a
	// larger fleet the others send their rows to these, because small
	// transactions from every instance would exceed the rate of the table.
	defaultBatchers = 8
	// relayTimeout bounds the wait for a batching instance.
	relayTimeout = 500 * time.Millisecond
	// probePausePerInstance times the size of the fleet is the maximum pause
	// of the breaker, so that a large fleet sends few probes during an outage.
	probePausePerInstance = 20 * time.Millisecond
	// commitBurst is the number of transactions that may be sent in a burst.
	commitBurst = 16
)

// relayWrite is a conditional write of one row.
type relayWrite struct {
	Key    string           `cbor:"1,keyasint"`
	Expect platform.Version `cbor:"2,keyasint"`
	Value  []byte           `cbor:"3,keyasint"`
}

// relayStatus is the kind of a relayed write's outcome.
type relayStatus uint8

const (
	relayUnknown relayStatus = iota
	relayConflict
	relayWrote
	relayUnavailable
)

// relayOutcome is the outcome of a relayed write with the current row.
type relayOutcome struct {
	Status  relayStatus      `cbor:"1,keyasint"`
	Value   []byte           `cbor:"2,keyasint,omitempty"`
	Version platform.Version `cbor:"3,keyasint,omitempty"`
}

// relay sends writes to the batching instances and commits the writes that it
// receives from others.
type relay struct {
	bus      peer.Bus
	direct   *batcher
	batchers int
	// commitRate is the fleet's transactions per second.
	commitRate float64
}

// newRelay registers the handler on the bus, which must not be started yet.
func newRelay(bus peer.Bus, direct *batcher, options Options) *relay {
	r := &relay{bus: bus, direct: direct, batchers: options.Batchers, commitRate: options.CommitRate}
	bus.HandleCall(topicWrite, r.handle)
	return r
}

// batcherFor returns the instance that commits a row, or "" for this one.
func (r *relay) batcherFor(key string) string {
	members := r.bus.Members()
	r.setRateShare(len(members))
	if len(members) <= r.batchers {
		return ""
	}
	self := r.bus.Self().ID
	batchers := topRanked(members, "", r.batchers)
	for _, m := range batchers {
		if m.ID == self {
			return ""
		}
	}
	if len(batchers) == 0 {
		return ""
	}
	return topRanked(batchers, key, 1)[0].ID
}

// setRateShare limits this instance to its share of the fleet's transaction rate.
func (r *relay) setRateShare(members int) {
	r.direct.limit.SetLimit(rate.Limit(r.commitRate / float64(max(1, min(members, r.batchers)))))
	r.direct.breaker.setMaxPause(time.Duration(members) * probePausePerInstance)
}

// topRanked returns the n members with the highest hashes; leaving members are
// omitted.
func topRanked(members []peer.Member, key string, n int) []peer.Member {
	ranked := peer.Ranked(members, key)
	return ranked[:min(n, len(ranked))]
}

// submit writes a row through its batching instance. If that instance does not
// answer, this instance sends the same write to the table itself: the condition on
// the version lets only one of the two take effect, and the claim ID in the row
// shows that one of them did.
func (r *relay) submit(key string, expect platform.Version, value []byte) <-chan opResult {
	to := r.batcherFor(key)
	if to == "" || len(value) == 0 {
		return r.direct.submit(key, expect, value)
	}
	done := make(chan opResult, 1)
	go func() {
		// A write whose sending panicked may have been sent.
		defer panics.Recover(log, func() { done <- opResult{err: platform.ErrUnknownOutcome} })
		res, unknown := r.send(to, relayWrite{Key: key, Expect: expect, Value: value})
		if res.err != nil {
			res = <-r.direct.submit(key, expect, value)
		}
		if unknown && errors.Is(res.err, platform.ErrUnavailable) {
			res.err = platform.ErrUnknownOutcome
		}
		done <- res
	}()
	return done
}

// send sends a write to a batching instance; unknown reports whether the write may
// have taken effect although the result is an error.
func (r *relay) send(to string, w relayWrite) (res opResult, unknown bool) {
	payload, err := cbor.Marshal(w)
	if err != nil {
		return opResult{err: err}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	data, err := r.bus.Call(ctx, to, topicWrite, payload)
	if err != nil {
		return opResult{err: err}, true
	}
	var o relayOutcome
	if err := wire.Unmarshal(data, &o, to); err != nil {
		return opResult{err: err}, true
	}
	switch o.Status {
	case relayWrote, relayConflict:
		row := platform.Row{Key: w.Key, Value: o.Value, Version: o.Version}
		return opResult{row: row, wrote: o.Status == relayWrote}, false
	case relayUnavailable:
		return opResult{err: platform.ErrUnavailable}, false
	case relayUnknown:
	default:
		wire.CountUnknownKind(to, "write")
	}
	return opResult{err: platform.ErrUnknownOutcome}, true
}

// handle commits a write that another instance sent.
func (r *relay) handle(_ context.Context, from string, payload []byte) ([]byte, error) {
	var w relayWrite
	if err := wire.Unmarshal(payload, &w, from); err != nil {
		return nil, trace.Wrap(err)
	}
	if !strings.HasPrefix(w.Key, rowPrefix) {
		return nil, trace.BadParameter("%q is not the key of a claim row", w.Key)
	}
	if _, err := decodeRecord(w.Value); err != nil {
		return nil, trace.Wrap(err)
	}
	data, err := cbor.Marshal(relayOutcomeOf(<-r.direct.submit(w.Key, w.Expect, w.Value)))
	return data, trace.Wrap(err)
}

// relayOutcomeOf converts the result of a batched write to a message.
func relayOutcomeOf(res opResult) relayOutcome {
	switch {
	case errors.Is(res.err, platform.ErrUnavailable):
		return relayOutcome{Status: relayUnavailable}
	case res.err != nil:
		return relayOutcome{Status: relayUnknown}
	case res.wrote:
		return relayOutcome{Status: relayWrote, Version: res.row.Version}
	}
	return relayOutcome{Status: relayConflict, Value: res.row.Value, Version: res.row.Version}
}

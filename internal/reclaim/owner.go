package reclaim

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// topicQuery is the topic of queries about a hold.
const topicQuery peer.Topic = "reclaim.ask"

// Bounds of one query.
const (
	// queryTimeout bounds a direct query; a relayed one takes up to twice as
	// long.
	queryTimeout = 2 * time.Second
	// maxRelays is the maximum number of members that relay a query to an
	// owner that this instance cannot reach.
	maxRelays = 2
)

// query asks whether a hold is needed. If Relay is set, the receiver forwards the
// query to the owner.
type query struct {
	Name  string `cbor:"1,keyasint"`
	Relay bool   `cbor:"2,keyasint,omitempty"`
}

// reply is the answer to a query.
type reply struct {
	Answer answer `cbor:"1,keyasint"`
}

// answer reports whether a hold is needed, as far as known.
type answer uint8

const (
	// answerUnreachable: the owner did not answer.
	answerUnreachable answer = iota
	answerNeeded
	answerNotNeeded
)

// ownerClient queries owners about their holds and answers queries about the holds
// of this instance.
type ownerClient struct {
	bus    peer.Bus
	needed func(name string) bool
	// unreachable holds the owners that did not answer in this sweep.
	unreachable map[string]bool
}

func newOwnerClient(bus peer.Bus, needed func(string) bool) *ownerClient {
	c := &ownerClient{bus: bus, needed: needed, unreachable: map[string]bool{}}
	bus.HandleCall(topicQuery, c.handle)
	return c
}

// reset starts a new sweep, in which unreachable owners are queried again.
func (c *ownerClient) reset() { c.unreachable = map[string]bool{} }

// isNeeded queries the owner of a hold, directly and then through other members.
func (c *ownerClient) isNeeded(ctx context.Context, name string) answer {
	parsed, ok := parseName(name)
	if !ok {
		return answerUnreachable
	}
	self := c.bus.Self().ID
	if parsed.owner == self {
		return c.ownHoldNeeded(name)
	}
	if c.unreachable[parsed.owner] {
		return answerUnreachable
	}
	if got := c.call(ctx, parsed.owner, query{Name: name}); got != answerUnreachable {
		return got
	}
	relays := 0
	for _, m := range c.bus.Members() {
		if m.ID == self || m.ID == parsed.owner || relays == maxRelays {
			continue
		}
		relays++
		if got := c.call(ctx, m.ID, query{Name: name, Relay: true}); got != answerUnreachable {
			return got
		}
	}
	c.unreachable[parsed.owner] = true
	return answerUnreachable
}

// call sends one query. A reply that cannot be decoded, or whose
// answer is unknown, counts as needed.
func (c *ownerClient) call(ctx context.Context, to string, q query) answer {
	payload, err := cbor.Marshal(q)
	if err != nil {
		return answerNeeded
	}
	timeout := queryTimeout
	if q.Relay {
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := c.bus.Call(ctx, to, topicQuery, payload)
	if err != nil {
		return answerUnreachable
	}
	var r reply
	if err := wire.Unmarshal(data, &r, to); err != nil {
		return answerNeeded
	}
	if r.Answer > answerNotNeeded {
		wire.CountUnknownKind(to, "hold")
		return answerNeeded
	}
	return r.Answer
}

// handle answers a query, or forwards it to the owner.
func (c *ownerClient) handle(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var q query
	if err := wire.Unmarshal(payload, &q, from); err != nil {
		return nil, trace.Wrap(err)
	}
	parsed, ok := parseName(q.Name)
	if !ok {
		return nil, trace.BadParameter("name %q gives no owner", q.Name)
	}
	var r reply
	switch {
	case parsed.owner == c.bus.Self().ID:
		r.Answer = c.ownHoldNeeded(q.Name)
	case q.Relay:
		r.Answer = c.call(ctx, parsed.owner, query{Name: q.Name})
	}
	data, err := cbor.Marshal(r)
	return data, trace.Wrap(err)
}

// ownHoldNeeded answers a query about a hold of this instance. A hold of an earlier
// incarnation is no longer needed.
func (c *ownerClient) ownHoldNeeded(name string) answer {
	parsed, _ := parseName(name)
	self := c.bus.Self().Incarnation
	switch {
	case parsed.incarnation < self:
		return answerNotNeeded
	case parsed.incarnation > self:
		// This process was replaced by a newer one and cannot answer for it.
		return answerUnreachable
	case c.needed(name):
		return answerNeeded
	}
	return answerNotNeeded
}

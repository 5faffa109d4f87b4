package reclaim

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// topicAsk asks an instance about a hold.
const topicAsk peer.Topic = "reclaim.ask"

// Bounds of one question.
const (
	askTimeout = 2 * time.Second
	// maxRelays is the number of members that are asked to ask an owner
	// which this instance cannot reach.
	maxRelays = 2
)

// question asks whether a hold is needed. A relay asks the owner in turn.
type question struct {
	Name  string `cbor:"1,keyasint"`
	Relay bool   `cbor:"2,keyasint,omitempty"`
}

// reply is the answer to a question.
type reply struct {
	Answer answer `cbor:"1,keyasint"`
}

// answer is what is known about the need for a hold.
type answer uint8

const (
	// answerNobody: the owner could not be reached.
	answerNobody answer = iota
	answerNeeded
	answerNotNeeded
)

// asker asks owners about their holds and answers for this instance.
type asker struct {
	bus    peer.Bus
	needed func(name string) bool
	// silent holds the owners that did not answer in this sweep.
	silent map[string]bool
}

func newAsker(bus peer.Bus, needed func(string) bool) *asker {
	a := &asker{bus: bus, needed: needed, silent: map[string]bool{}}
	bus.HandleCall(topicAsk, a.handle)
	return a
}

// forget starts a new sweep.
func (a *asker) forget() { a.silent = map[string]bool{} }

// ask asks the owner of a hold, directly and then through other members.
func (a *asker) ask(ctx context.Context, name string) answer {
	parsed, ok := parseName(name)
	if !ok {
		return answerNobody
	}
	self := a.bus.Self().ID
	if parsed.owner == self {
		return a.own(name)
	}
	if a.silent[parsed.owner] {
		return answerNobody
	}
	if got := a.call(ctx, parsed.owner, question{Name: name}); got != answerNobody {
		return got
	}
	relays := 0
	for _, m := range a.bus.Members() {
		if m.ID == self || m.ID == parsed.owner || relays == maxRelays {
			continue
		}
		relays++
		if got := a.call(ctx, m.ID, question{Name: name, Relay: true}); got != answerNobody {
			return got
		}
	}
	a.silent[parsed.owner] = true
	return answerNobody
}

// call sends one question. An answer that cannot be read counts as needed.
func (a *asker) call(ctx context.Context, to string, q question) answer {
	payload, err := cbor.Marshal(q)
	if err != nil {
		return answerNeeded
	}
	timeout := askTimeout
	if q.Relay {
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := a.bus.Call(ctx, to, topicAsk, payload)
	if err != nil {
		return answerNobody
	}
	var r reply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return answerNeeded
	}
	return r.Answer
}

// handle answers a question, or passes it on to the owner.
func (a *asker) handle(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var q question
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, trace.Wrap(err)
	}
	parsed, ok := parseName(q.Name)
	if !ok {
		return nil, trace.BadParameter("name %q gives no owner", q.Name)
	}
	var r reply
	switch {
	case parsed.owner == a.bus.Self().ID:
		r.Answer = a.own(q.Name)
	case q.Relay:
		r.Answer = a.call(ctx, parsed.owner, question{Name: q.Name})
	}
	data, err := cbor.Marshal(r)
	return data, trace.Wrap(err)
}

// own answers for this instance's own holds. One of an earlier incarnation is
// not needed any more.
func (a *asker) own(name string) answer {
	parsed, _ := parseName(name)
	self := a.bus.Self().Incarnation
	switch {
	case parsed.incarnation < self:
		return answerNotNeeded
	case parsed.incarnation > self:
		// A process that a newer one has replaced cannot answer for it.
		return answerNobody
	case a.needed(name):
		return answerNeeded
	}
	return answerNotNeeded
}

package deployment

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// Signals is what an answer of an upstream says of the upstream itself.
type Signals struct {
	// Leaving reports whether the upstream takes no new work from now on.
	Leaving bool
	// Pause is how long the upstream wants no requests; 0 if it names no time.
	Pause time.Duration
	// ColdStated reports whether the answer says for how much longer the upstream is cold, and
	// Cold what it says; 0 if the upstream is not cold.
	ColdStated bool
	Cold       time.Duration
}

// topicLeaving is the topic of broadcasts of upstreams that said that they leave.
const topicLeaving = "leaving upstreams"

// leavingMemory is how long an upstream that said that it leaves is remembered while it is
// not listed. Its entry may return after an outage of the store, or from an older copy.
const leavingMemory = 10 * time.Minute

// leavingMark is an upstream that said that it leaves.
type leavingMark struct {
	upstream Upstream
	at       time.Time
}

// MarkLeaving records that an upstream said that it leaves. That is final for its
// incarnation: neither an answer without the mark, which may have been overtaken, nor an
// entry of the store revokes it. MarkLeaving reports whether that is news.
func (s *State) MarkLeaving(up Upstream, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	listed, known := old.upstreams[up.ID]
	if known && !listed.SameIncarnation(up) && listed.Born >= up.Born {
		return false // replaced by a new incarnation
	}
	if mark, marked := s.leaving[up.ID]; marked && mark.upstream.SameIncarnation(up) {
		return false
	}
	if s.leaving == nil {
		s.leaving = map[string]leavingMark{}
	}
	s.leaving[up.ID] = leavingMark{up, now}
	if known && !listed.Leaving {
		s.changeUpstreams(old, nil, nil, old.Revision, now)
	}
	return !known || !listed.Leaving
}

// applyLeaving sets the marks in a new list of upstreams, and drops those that are not
// needed any more. The caller must hold mu.
func (s *State) applyLeaving(byID map[string]Upstream, now time.Time) {
	for id, mark := range s.leaving {
		u, listed := byID[id]
		switch {
		case listed && u.SameIncarnation(mark.upstream):
			u.Leaving = true
			byID[id] = u
		case listed && u.Born >= mark.upstream.Born,
			// Without a start time a new incarnation cannot be told from the old one.
			!listed && (mark.upstream.Born == 0 || now.Sub(mark.at) > leavingMemory):
			delete(s.leaving, id)
		}
	}
}

// leavingNotice tells other instances of an upstream that said that it leaves.
type leavingNotice struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Service string
	Address string
	Born    int64
}

// UpstreamLeaves records that an answer said that its upstream leaves, and tells the other
// instances if they may not know. It does not block.
func (e *Exchange) UpstreamLeaves(up Upstream) {
	if !e.state.MarkLeaving(up, time.Now()) {
		return
	}
	metrics.GetOrCreateCounter(`banyanroute_leaving_answers_total`).Inc()
	log.WithField("upstream", up.ID).WithField("service", up.Service).Info("upstream said in an answer that it leaves; it gets no new work")
	bus := e.currentBus()
	if bus == nil {
		return
	}
	payload, err := cbor.Marshal(leavingNotice{ID: up.ID, Service: up.Service, Address: up.Address, Born: up.Born})
	if err != nil {
		log.WithError(err).Error("notice of an upstream that leaves dropped: encoding failed")
		return
	}
	bus.Broadcast(topicLeaving, payload)
}

// handleLeaving records what another instance has read in an answer.
func (e *Exchange) handleLeaving(from string, payload []byte) {
	var n leavingNotice
	if err := wire.Unmarshal(payload, &n, from); err != nil {
		log.WithError(err).WithField("instance", from).Warn("notice of an upstream that leaves rejected: payload cannot be decoded")
		return
	}
	if e.state.MarkLeaving(Upstream{ID: n.ID, Service: n.Service, Address: n.Address, Born: n.Born}, time.Now()) {
		log.WithField("upstream", n.ID).WithField("instance", from).Info("upstream leaves, as another instance has read in an answer")
	}
}

package admit

import (
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// maxPeers bounds the instances whose hints are stored.
const maxPeers = 512

// peerLifetime is how long after its last hint an instance counts as running.
const peerLifetime = 5 * time.Second

// ObserveLoad applies an engine's load report.
func (s *Scheduler) ObserveLoad(id string, r upstream.LoadReport) {
	s.update(id, func(st *state, now time.Time) {
		st.reported(now)
		accepted, restarted := st.load.Report(r, now)
		if !accepted {
			return
		}
		st.reportedLeaving = r.Leaving
		st.setLeaving(now)
		if restarted {
			s.crashed(st, now)
			st.health.Restarted(now)
			s.prefix.RemoveUpstream(id)
			st.boot = r.Boot
			return
		}
		st.boot = r.Boot
		produced := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		s.poison.Dismiss(id, produced, false)
		s.parts.Dismiss(id, produced)
	})
}

// ObserveCache applies an engine's cache events.
func (s *Scheduler) ObserveCache(id string, e upstream.CacheEvents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[id] == nil {
		return
	}
	for _, event := range e.Events {
		for _, text := range event.Added {
			if block, err := strconv.ParseUint(text, 16, 64); err == nil {
				s.prefix.Add(block, id)
			}
		}
		for _, text := range event.Removed {
			if block, err := strconv.ParseUint(text, 16, 64); err == nil {
				s.prefix.Remove(block, id)
			}
		}
	}
}

// ObserveProbe applies the result of a health probe.
func (s *Scheduler) ObserveProbe(id string, ok bool, _ time.Duration) {
	s.update(id, func(st *state, now time.Time) {
		st.health.Probe(ok, now)
		st.probeFailedAt = time.Time{}
		switch {
		case !ok:
			st.probeFailedAt = now
			s.crashed(st, now)
		case st.upstream.Service != "":
			s.poison.Dismiss(id, now.Add(-minServiceRestartTime), false)
			s.parts.Dismiss(id, now.Add(-minServiceRestartTime))
		}
	})
}

// minServiceRestartTime is the minimum time that a plain service needs to
// restart; one that answers a probe sooner after a loss did not crash.
const minServiceRestartTime = 500 * time.Millisecond

// SetLeaving applies the leaving flag of an upstream in the list of instances.
func (s *Scheduler) SetLeaving(id string, leaving bool) {
	s.update(id, func(st *state, now time.Time) {
		st.listedLeaving = leaving
		st.setLeaving(now)
	})
}

// update applies f to an upstream, refreshes its candidate and its pools, and
// serves the queues.
func (s *Scheduler) update(id string, f func(st *state, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.byID[id]
	if st == nil {
		return
	}
	now := time.Now()
	before := st.health.State()
	f(st, now)
	s.onChange(st, now, st.health.State() != before)
}

// onChange refreshes the candidate of st and serves the queues of its pools.
// healthChanged reports whether its health state changed; the pools are then
// evaluated without waiting for evaluationInterval.
func (s *Scheduler) onChange(st *state, now time.Time, healthChanged bool) {
	if healthChanged {
		log.WithField("upstream", st.upstream.ID).WithField("state", st.health.State()).Info("upstream health state changed")
	}
	for _, key := range poolKeys(st.upstream) {
		p := s.pools[key]
		if p == nil {
			continue
		}
		s.evaluatePool(p, now, healthChanged)
		st.refresh(now, p, s.options.MaxRunningPerEngine)
		if healthChanged {
			s.serveQueue(p, p.view, now)
		} else {
			s.serveQueue(p, st.single, now)
		}
	}
}

// PeerHint returns a CBOR payload for ObservePeerHint of the other instances. It
// lists the work that this instance has outstanding on its busiest upstreams.
func (s *Scheduler) PeerHint() []byte {
	s.mu.Lock()
	var entries []load.HintEntry
	for key, st := range s.byKey {
		if o := st.hint(); o.Streams > 0 || o.Exclusive {
			entries = append(entries, load.HintEntry{Key: key, Outstanding: o})
		}
	}
	s.mu.Unlock()
	payload, err := load.EncodeHint(entries)
	if err != nil {
		log.WithError(err).Error("peer hint dropped: encoding failed")
		return nil
	}
	return payload
}

// ObservePeerHint applies the PeerHint of another instance.
func (s *Scheduler) ObservePeerHint(from string, payload []byte) {
	hint, err := load.DecodeHint(from, payload)
	if err != nil {
		log.WithError(err).WithField("instance", from).Warn("peer hint rejected: payload cannot be decoded")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	old, known := s.peers[from]
	if !known && len(s.peers) >= maxPeers {
		s.evictPeers(now)
	}
	for _, key := range old.keys {
		if st := s.byKey[key]; st != nil {
			st.load.RemovePeer(from)
		}
	}
	keys := make([]load.Key, 0, len(hint.Entries))
	for _, e := range hint.Entries {
		keys = append(keys, e.Key)
		if st := s.byKey[e.Key]; st != nil {
			st.load.PeerHint(from, e.Outstanding, now)
		}
	}
	s.peers[from] = peerState{keys: keys, seenAt: now}
	for _, key := range append(old.keys, keys...) {
		if st := s.byKey[key]; st != nil {
			s.refresh(st, now)
		}
	}
}

// evictPeers drops the instances that sent no hint within peerLifetime. If that
// frees no entry, it drops all, which only makes estimates less exact.
func (s *Scheduler) evictPeers(now time.Time) {
	for id, p := range s.peers {
		if now.Sub(p.seenAt) > peerLifetime {
			delete(s.peers, id)
		}
	}
	if len(s.peers) >= maxPeers {
		clear(s.peers)
	}
}

// refresh updates the candidate of st.
func (s *Scheduler) refresh(st *state, now time.Time) {
	for _, key := range poolKeys(st.upstream) {
		if p := s.pools[key]; p != nil {
			st.refresh(now, p, s.options.MaxRunningPerEngine)
			return
		}
	}
}

// crashed records that the upstream crashed: the requests that were lost there
// become poison suspects, and the other instances are notified.
func (s *Scheduler) crashed(st *state, now time.Time) {
	effects, explained := s.parts.Confirm(st.upstream.ID, now)
	s.applyEffects(effects)
	if explained {
		s.poison.DropLosses(st.upstream.ID)
		s.countCrash(st, now)
		return
	}
	notices := s.poison.Confirm(st.upstream.ID, now)
	if len(notices) == 0 {
		return
	}
	log.WithField("upstream", st.upstream.ID).WithField("suspects", len(notices)).Warn("upstream crashed: its requests are poison suspects")
	s.countCrash(st, now)
	s.publishPoison(notices)
}

// countCrash records a crash in the state of an upstream.
func (s *Scheduler) countCrash(st *state, now time.Time) {
	st.health.Crashed(now)
	st.crashes++
	st.boot = unknownBoot + strconv.Itoa(st.crashes)
}

// unknownBoot is the prefix of the placeholder for an incarnation that no report
// has named yet.
const unknownBoot = "after-crash-"

// publishPoison encodes notices and passes them to Options.OnPoison.
func (s *Scheduler) publishPoison(notices []poison.Notice) {
	if s.options.OnPoison == nil || len(notices) == 0 {
		return
	}
	messages, err := poison.Messages(notices)
	if err != nil {
		log.WithError(err).Error("poison notices dropped: encoding failed")
		return
	}
	for _, payload := range messages {
		s.options.OnPoison(payload)
	}
}

// ObservePoison applies a payload that another instance passed to its
// Options.OnPoison.
func (s *Scheduler) ObservePoison(from string, payload []byte) {
	notices, err := poison.Decode(from, payload)
	if err != nil {
		log.WithError(err).WithField("instance", from).Warn("poison notices rejected: payload cannot be decoded")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, n := range notices {
		if n.AboutParts() {
			s.applyEffects(s.parts.Observe(n, now))
		} else {
			s.poison.Observe(n, now)
		}
	}
}

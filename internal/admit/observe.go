package admit

import (
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// maxPeers bounds the instances whose hints are remembered.
const maxPeers = 512

// peerLifetime is how long an instance counts after its last hint.
const peerLifetime = 5 * time.Second

// ObserveLoad takes an engine's load report.
func (s *Scheduler) ObserveLoad(id string, r upstream.LoadReport) {
	s.update(id, func(st *state, now time.Time) {
		st.reported(now)
		taken, restarted := st.load.Report(r, now)
		if !taken {
			return
		}
		st.reportedLeaving = r.Leaving
		st.setLeaving(now)
		if restarted {
			s.crashed(st, now)
			st.health.Restarted(now)
			s.prefix.Forget(id)
			st.boot = r.Boot
			return
		}
		st.boot = r.Boot
		produced := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		s.poison.Dismiss(id, produced)
	})
}

// ObserveCache takes an engine's cache events.
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

// ObserveProbe takes the result of a health probe.
func (s *Scheduler) ObserveProbe(id string, ok bool, _ time.Duration) {
	s.update(id, func(st *state, now time.Time) {
		st.health.Probe(ok, now)
		st.probeFailedAt = time.Time{}
		switch {
		case !ok:
			st.probeFailedAt = now
			s.crashed(st, now)
		case st.upstream.Service != "":
			s.poison.Dismiss(id, now.Add(-serviceRestart))
		}
	})
}

// serviceRestart is the least time that a plain service needs to start again;
// one that answers sooner after a loss did not crash.
const serviceRestart = 500 * time.Millisecond

// SetLeaving takes what the list of instances says of an upstream.
func (s *Scheduler) SetLeaving(id string, leaving bool) {
	s.update(id, func(st *state, now time.Time) {
		st.listedLeaving = leaving
		st.setLeaving(now)
	})
}

// update applies f to an upstream, brings its candidate and its pools up to
// date, and serves the queues.
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
	s.changed(st, now, st.health.State() != before)
}

// changed brings everything that depends on st up to date.
func (s *Scheduler) changed(st *state, now time.Time, judged bool) {
	if judged {
		log.WithField("upstream", st.upstream.ID).WithField("state", st.health.State()).Info("upstream changed its state")
	}
	for _, key := range poolKeys(st.upstream) {
		p := s.pools[key]
		if p == nil {
			continue
		}
		s.judgePool(p, now, judged)
		st.refresh(now, p, s.options.MaxRunningPerEngine)
		if judged {
			s.pump(p, p.view, now)
		} else {
			s.pump(p, st.single, now)
		}
	}
}

// PeerHint returns a CBOR payload for the other instances' ObservePeerHint:
// what this instance has outstanding on its busiest upstreams.
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
		log.WithError(err).Error("hint not encoded")
		return nil
	}
	return payload
}

// ObservePeerHint takes another instance's PeerHint.
func (s *Scheduler) ObservePeerHint(from string, payload []byte) {
	hint, err := load.DecodeHint(payload)
	if err != nil {
		log.WithError(err).WithField("instance", from).Warn("hint not understood")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	old, known := s.peers[from]
	if !known && len(s.peers) >= maxPeers {
		s.forgetPeers(now)
	}
	for _, key := range old.keys {
		if st := s.byKey[key]; st != nil {
			st.load.ForgetPeer(from)
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

// forgetPeers drops the instances that have sent no hint of late; if that frees
// no place, all are dropped, which only makes estimates less exact.
func (s *Scheduler) forgetPeers(now time.Time) {
	for id, p := range s.peers {
		if now.Sub(p.seenAt) > peerLifetime {
			delete(s.peers, id)
		}
	}
	if len(s.peers) >= maxPeers {
		clear(s.peers)
	}
}

// refresh brings st's candidate up to date.
func (s *Scheduler) refresh(st *state, now time.Time) {
	for _, key := range poolKeys(st.upstream) {
		if p := s.pools[key]; p != nil {
			st.refresh(now, p, s.options.MaxRunningPerEngine)
			return
		}
	}
}

// crashed turns losses on the upstream into suspicions and tells the peers.
func (s *Scheduler) crashed(st *state, now time.Time) {
	notices := s.poison.Confirm(st.upstream.ID, now)
	if len(notices) == 0 {
		return
	}
	log.WithField("upstream", st.upstream.ID).WithField("suspects", len(notices)).Warn("upstream crashed; its requests are suspects")
	st.health.Crashed(now)
	st.crashes++
	st.boot = unknownBoot + strconv.Itoa(st.crashes)
	s.tellPoison(notices)
}

// unknownBoot begins the name of an incarnation that no report has named yet.
const unknownBoot = "after-crash-"

// tellPoison hands notices to Options.OnPoison.
func (s *Scheduler) tellPoison(notices []poison.Notice) {
	if s.options.OnPoison == nil {
		return
	}
	for len(notices) > 0 {
		n := min(len(notices), poison.MaxNotices)
		payload, err := poison.Encode(notices[:n])
		if err != nil {
			log.WithError(err).Error("poison notices not encoded")
			return
		}
		s.options.OnPoison(payload)
		notices = notices[n:]
	}
}

// ObservePoison takes another instance's Options.OnPoison payload.
func (s *Scheduler) ObservePoison(from string, payload []byte) {
	notices, err := poison.Decode(payload)
	if err != nil {
		log.WithError(err).WithField("instance", from).Warn("poison notices not understood")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, n := range notices {
		s.poison.Observe(n, now)
	}
}

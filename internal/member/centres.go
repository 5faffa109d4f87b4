package member

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

const (
	// beaconRanks is the number of members per data centre that step its
	// counter, each later than the one before it.
	beaconRanks = 3
	// maxCentres bounds the counters that an instance keeps.
	maxCentres = 64
)

// centreWatch tells whether whole data centres can be reached. Most members of
// another data centre have no link that crosses, so their silence would be
// noticed by nobody here; instead each data centre steps a counter that
// travels with all heartbeats.
type centreWatch struct {
	self    peer.Member
	timeout time.Duration
	known   map[string]centreCounter
	cut     map[string]bool
	// revision counts changes of cut.
	revision uint64
}

type centreCounter struct {
	value uint64
	// at is when this instance saw the counter rise.
	at time.Time
}

func newCentreWatch(self peer.Member, timeout time.Duration) *centreWatch {
	return &centreWatch{
		self:    self,
		timeout: timeout,
		known:   map[string]centreCounter{},
		cut:     map[string]bool{},
	}
}

// merge takes the counters of a heartbeat.
func (w *centreWatch) merge(counters map[string]uint64, now time.Time) {
	for centre, value := range counters {
		old, ok := w.known[centre]
		if (ok && value <= old.value) || (!ok && len(w.known) >= maxCentres) {
			continue
		}
		w.known[centre] = centreCounter{value, now}
		w.setCut(centre, false)
	}
}

// step advances the own data centre's counter if it is this instance's turn,
// and finds the data centres that cannot be reached.
func (w *centreWatch) step(now time.Time, t *table) {
	w.stepOwn(now, t)
	for _, e := range t.entries {
		if _, ok := w.known[e.DataCentre]; !ok && len(w.known) < maxCentres {
			w.known[e.DataCentre] = centreCounter{at: now}
		}
	}
	for centre, counter := range w.known {
		if centre != w.self.DataCentre && now.Sub(counter.at) > w.timeout {
			w.setCut(centre, true)
		}
	}
}

// stepOwn: the member of rank r steps the counter if it stood still for r+1
// intervals.
func (w *centreWatch) stepOwn(now time.Time, t *table) {
	own, ok := w.known[w.self.DataCentre]
	if ok && now.Sub(own.at) < counterInterval {
		return
	}
	rank := w.rank(t)
	if ok && now.Sub(own.at) < time.Duration(rank+1)*counterInterval || rank >= beaconRanks {
		return
	}
	w.known[w.self.DataCentre] = centreCounter{own.value + 1, now}
}

// rank is the number of members of the own data centre that come before self.
func (w *centreWatch) rank(t *table) int {
	rank := 0
	for _, e := range t.entries {
		if e.Status != statusDead && e.DataCentre == w.self.DataCentre && e.ID < w.self.ID {
			rank++
		}
	}
	return rank
}

func (w *centreWatch) setCut(centre string, cut bool) {
	if w.cut[centre] == cut {
		return
	}
	if cut {
		log.WithField("data_centre", centre).Warn("The data centre cannot be reached.")
		w.cut[centre] = true
	} else {
		log.WithField("data_centre", centre).Info("The data centre can be reached again.")
		delete(w.cut, centre)
	}
	w.revision++
}

func (w *centreWatch) postpone(pause time.Duration) {
	for centre, counter := range w.known {
		counter.at = counter.at.Add(pause)
		w.known[centre] = counter
	}
}

// unreachable returns the data centres that cannot be reached.
func (w *centreWatch) unreachable() map[string]bool { return w.cut }

// counters returns a copy of all counters for a heartbeat.
func (w *centreWatch) counters() map[string]uint64 {
	counters := make(map[string]uint64, len(w.known))
	for centre, counter := range w.known {
		if counter.value > 0 {
			counters[centre] = counter.value
		}
	}
	return counters
}

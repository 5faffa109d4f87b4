package member

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

const (
	// maxIncrementers is the number of members per data centre that increment its
	// counter: the first by ID, and the others as fallbacks with longer delays.
	maxIncrementers = 3
	// maxCentres bounds the number of counters that an instance keeps.
	maxCentres = 64
)

// centreMonitor detects whole data centres that cannot be reached. Most members of
// another data centre have no link to this one, so nobody here would detect
// their failure; instead each data centre increments a counter that travels
// with all heartbeats.
type centreMonitor struct {
	self               peer.Member
	timeout            time.Duration
	known              map[string]centreCounter
	unreachableCentres map[string]bool
	// revision counts changes of unreachableCentres.
	revision uint64
}

type centreCounter struct {
	value uint64
	// at is when this instance last saw the counter increase.
	at time.Time
}

func newCentreMonitor(self peer.Member, timeout time.Duration) *centreMonitor {
	return &centreMonitor{
		self:               self,
		timeout:            timeout,
		known:              map[string]centreCounter{},
		unreachableCentres: map[string]bool{},
	}
}

// merge applies the counters of a heartbeat. Lower values are ignored.
func (m *centreMonitor) merge(counters map[string]uint64, now time.Time) {
	for centre, value := range counters {
		old, ok := m.known[centre]
		if (ok && value <= old.value) || (!ok && len(m.known) >= maxCentres) {
			continue
		}
		m.known[centre] = centreCounter{value, now}
		m.setUnreachable(centre, false)
	}
}

// update increments the counter of this instance's data centre if it is this
// instance's turn, and marks the data centres whose counters have not changed
// within the timeout as unreachable.
func (m *centreMonitor) update(now time.Time, t *table) {
	m.incrementOwn(now, t)
	for _, e := range t.entries {
		if _, ok := m.known[e.DataCentre]; !ok && len(m.known) < maxCentres {
			m.known[e.DataCentre] = centreCounter{at: now}
		}
	}
	for centre, counter := range m.known {
		if centre != m.self.DataCentre && now.Sub(counter.at) > m.timeout {
			m.setUnreachable(centre, true)
		}
	}
}

// incrementOwn increments the counter of this instance's data centre. The member
// of rank r does so once the counter has not changed for r+1 intervals.
func (m *centreMonitor) incrementOwn(now time.Time, t *table) {
	own, ok := m.known[m.self.DataCentre]
	if ok && now.Sub(own.at) < counterInterval {
		return
	}
	rank := m.rank(t)
	if ok && now.Sub(own.at) < time.Duration(rank+1)*counterInterval || rank >= maxIncrementers {
		return
	}
	m.known[m.self.DataCentre] = centreCounter{own.value + 1, now}
}

// rank returns the number of live members of this instance's data centre with a
// lower ID.
func (m *centreMonitor) rank(t *table) int {
	rank := 0
	for _, e := range t.entries {
		if e.Status != statusDead && e.DataCentre == m.self.DataCentre && e.ID < m.self.ID {
			rank++
		}
	}
	return rank
}

func (m *centreMonitor) setUnreachable(centre string, unreachable bool) {
	if m.unreachableCentres[centre] == unreachable {
		return
	}
	if unreachable {
		log.WithField("data_centre", centre).Warn("data centre unreachable")
		m.unreachableCentres[centre] = true
	} else {
		log.WithField("data_centre", centre).Info("data centre reachable again")
		delete(m.unreachableCentres, centre)
	}
	m.revision++
}

// postpone extends all deadlines after a pause of this process.
func (m *centreMonitor) postpone(pause time.Duration) {
	for centre, counter := range m.known {
		counter.at = counter.at.Add(pause)
		m.known[centre] = counter
	}
}

// unreachable returns the data centres that cannot be reached.
func (m *centreMonitor) unreachable() map[string]bool { return m.unreachableCentres }

// counters returns a copy of all counters for a heartbeat.
func (m *centreMonitor) counters() map[string]uint64 {
	counters := make(map[string]uint64, len(m.known))
	for centre, counter := range m.known {
		if counter.value > 0 {
			counters[centre] = counter.value
		}
	}
	return counters
}

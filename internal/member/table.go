package member

import (
	"sort"
	"time"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/peer"
)

// Events and actions of charts/instance.yaml.
const (
	eventAliveReceived    chart.Event = "heard-alive"
	eventSuspected        chart.Event = "suspected"
	eventSuspicionExpired chart.Event = "suspicion-expired"
	eventDeadReceived     chart.Event = "heard-dead"
	eventForgotten        chart.Event = "forgotten"

	actionGossip         chart.Action = "spread"
	actionStartSuspicion chart.Action = "start-suspicion"
	actionRecordDeath    chart.Action = "stamp-death"
)

// maxEntries bounds the number of instances in the table, whatever others send.
const maxEntries = 4096

var stateOf = map[status]chart.State{
	statusAlive:   "alive",
	statusSuspect: "suspect",
	statusDead:    "dead",
}

var statusOf = map[chart.State]status{
	"alive":   statusAlive,
	"suspect": statusSuspect,
	"dead":    statusDead,
}

// entry is a record with this instance's local state about it.
type entry struct {
	record
	// firstSeen is when this instance first received a record of the incarnation.
	firstSeen time.Time
	// deadline is when a suspicion expires.
	deadline time.Time
	// died is when the instance was declared dead.
	died time.Time
}

// table holds the records of all known instances. It has no clock and does no
// I/O; only the control goroutine uses it.
type table struct {
	chart   *chart.Chart
	self    record
	entries map[string]*entry
	// digest is the XOR of the checksums of all records, including self.
	digest uint64
	// changed holds the IDs whose records changed since the last takeChanged.
	changed          map[string]bool
	suspicionTimeout time.Duration
	deadRetention    time.Duration
	listLag          time.Duration
	started          time.Time
	// revision counts changes that may affect the member list.
	revision uint64
}

func newTable(self peer.Member, timing Timing, now time.Time) (*table, error) {
	c, err := chart.Load(charts.FS, "instance")
	if err != nil {
		return nil, err
	}
	t := &table{
		chart:            c,
		self:             recordOf(self),
		entries:          map[string]*entry{},
		changed:          map[string]bool{self.ID: true},
		suspicionTimeout: timing.SuspicionTimeout,
		deadRetention:    timing.DeadRetention,
		listLag:          timing.ListLag,
		started:          now,
	}
	t.digest = t.self.checksum()
	return t, nil
}

// merge applies a record that was received or read from the platform's list.
// An unknown instance that is dead is not added.
func (t *table) merge(r record, now time.Time) {
	if !r.valid() {
		return
	}
	if r.ID == t.self.ID {
		t.mergeSelf(r, now)
		return
	}
	e, ok := t.entries[r.ID]
	if !ok {
		if r.Status != statusDead && len(t.entries) < maxEntries {
			t.insert(r, now)
		}
		return
	}
	if r.newerThan(e.record) {
		t.replace(e, r, now)
		return
	}
	if !r.sameVersion(e.record) {
		return
	}
	if r.Leaving && !e.Leaving {
		t.setLeaving(e)
	}
	switch r.Status {
	case statusSuspect:
		t.fire(e, eventSuspected, now)
	case statusDead:
		t.fire(e, eventDeadReceived, now)
	}
}

// mergeSelf handles a record of this instance and refutes a suspicion or death by
// a higher sequence number. Leaving is accepted, but refuted shortly after the
// start, when the platform's list may still show an earlier process with the same
// ID.
func (t *table) mergeSelf(r record, now time.Time) {
	if r.Incarnation > t.self.Incarnation || t.self.newerThan(r) || t.self.Status == statusDead {
		return
	}
	if r.Status != statusAlive {
		t.setSelf(func(self *record) { self.Seq = r.Seq + 1 })
		return
	}
	if !r.Leaving || t.self.Leaving {
		return
	}
	if now.Sub(t.started) < t.listLag {
		t.setSelf(func(self *record) { self.Seq = r.Seq + 1 })
		return
	}
	t.setSelf(func(self *record) { self.Leaving = true })
}

// setSelf changes the instance's own record and marks it for gossip.
func (t *table) setSelf(change func(*record)) {
	t.digest ^= t.self.checksum()
	change(&t.self)
	t.digest ^= t.self.checksum()
	t.changed[t.self.ID] = true
	t.revision++
}

func (t *table) insert(r record, now time.Time) {
	e := &entry{record: r, firstSeen: now}
	t.setTimes(e, now)
	t.entries[r.ID] = e
	t.digest ^= r.checksum()
	t.markChanged(r.ID)
}

// replace replaces a record by a newer version.
func (t *table) replace(e *entry, r record, now time.Time) {
	if r.Incarnation > e.Incarnation {
		e.firstSeen = now
	}
	t.fire(e, eventAliveReceived, now)
	t.digest ^= e.checksum()
	e.record = r
	t.digest ^= e.checksum()
	t.setTimes(e, now)
	t.markChanged(r.ID)
}

// setTimes sets the entry's deadline or time of death according to its status.
func (t *table) setTimes(e *entry, now time.Time) {
	switch e.Status {
	case statusSuspect:
		e.deadline = now.Add(t.suspicionTimeout)
	case statusDead:
		e.died = now
	}
}

func (t *table) setLeaving(e *entry) {
	t.digest ^= e.checksum()
	e.Leaving = true
	t.digest ^= e.checksum()
	t.markChanged(e.ID)
}

// fire applies the chart's transition for event to e.
func (t *table) fire(e *entry, event chart.Event, now time.Time) {
	transition, err := t.chart.Next(stateOf[e.Status], event)
	if err != nil || len(transition.Do) == 0 {
		return
	}
	t.digest ^= e.checksum()
	e.Status = statusOf[transition.To]
	t.digest ^= e.checksum()
	for _, action := range transition.Do {
		switch action {
		case actionGossip:
			t.markChanged(e.ID)
		case actionStartSuspicion:
			e.deadline = now.Add(t.suspicionTimeout)
		case actionRecordDeath:
			e.died = now
		}
	}
}

// markChanged marks a record as changed, to be gossiped and published.
func (t *table) markChanged(id string) {
	t.changed[id] = true
	t.revision++
}

// suspect makes an alive instance a suspect and reports whether it did.
func (t *table) suspect(id string, now time.Time) bool {
	e, ok := t.entries[id]
	if !ok || e.Status != statusAlive {
		return false
	}
	t.fire(e, eventSuspected, now)
	return true
}

// expire declares suspects dead whose deadline has passed, and removes instances
// that have been dead for longer than deadRetention.
func (t *table) expire(now time.Time) {
	for id, e := range t.entries {
		if e.Status == statusSuspect && !now.Before(e.deadline) {
			t.fire(e, eventSuspicionExpired, now)
		}
		if e.Status == statusDead && now.Sub(e.died) > t.deadRetention {
			t.digest ^= e.checksum()
			delete(t.entries, id)
			delete(t.changed, id)
		}
	}
}

// postpone extends all suspicion deadlines after a pause of this process.
func (t *table) postpone(pause time.Duration) {
	for _, e := range t.entries {
		e.deadline = e.deadline.Add(pause)
	}
}

// takeChanged returns the records that changed since the last call, sorted by ID.
func (t *table) takeChanged() []record {
	records := make([]record, 0, len(t.changed))
	for id := range t.changed {
		if id == t.self.ID {
			records = append(records, t.self)
		} else if e, ok := t.entries[id]; ok {
			records = append(records, e.record)
		}
	}
	clear(t.changed)
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
	return records
}

// all returns every record, including self.
func (t *table) all() []record {
	records := make([]record, 0, len(t.entries)+1)
	records = append(records, t.self)
	for _, e := range t.entries {
		records = append(records, e.record)
	}
	return records
}

// members returns the instances that are alive or suspect, including self, sorted
// by ID. Those in unreachable data centres are omitted.
func (t *table) members(unreachable map[string]bool) []peer.Member {
	members := make([]peer.Member, 0, len(t.entries)+1)
	members = append(members, t.self.member())
	for _, e := range t.entries {
		if e.Status != statusDead && !unreachable[e.DataCentre] {
			members = append(members, e.member())
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

package member

import (
	"sort"
	"time"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/peer"
)

// States and events of charts/instance.yaml.
const (
	eventHeardAlive chart.Event = "heard-alive"
	eventSuspected  chart.Event = "suspected"
	eventExpired    chart.Event = "suspicion-expired"
	eventHeardDead  chart.Event = "heard-dead"
	eventForgotten  chart.Event = "forgotten"

	actionSpread         chart.Action = "spread"
	actionStartSuspicion chart.Action = "start-suspicion"
	actionStampDeath     chart.Action = "stamp-death"
)

// maxEntries bounds the table, whatever other instances send.
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

// entry is a record with what this instance knows about it locally.
type entry struct {
	record
	// learned is when this instance first heard of the incarnation.
	learned time.Time
	// deadline is when a suspicion expires.
	deadline time.Time
	// died is when the instance was declared dead.
	died time.Time
}

// table holds all known instances. It has no clock and does no I/O; only the
// control goroutine uses it.
type table struct {
	chart   *chart.Chart
	self    record
	entries map[string]*entry
	// sum is the XOR of the checksums of all records, including self.
	sum uint64
	// fresh lists the IDs whose records changed since the last takeFresh.
	fresh            map[string]bool
	suspicionTimeout time.Duration
	forgetAfter      time.Duration
	listLag          time.Duration
	started          time.Time
	// revision counts changes that matter to readers of the member list.
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
		fresh:            map[string]bool{self.ID: true},
		suspicionTimeout: timing.SuspicionTimeout,
		forgetAfter:      timing.ForgetAfter,
		listLag:          timing.ListLag,
		started:          now,
	}
	t.sum = t.self.checksum()
	return t, nil
}

// merge takes a record from another instance.
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
		t.fire(e, eventHeardDead, now)
	}
}

// mergeSelf refutes what others wrongly say about this instance. That it is
// leaving is believed unless the platform's list may still mean an earlier
// process with the same ID.
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

// setSelf changes the instance's own record and spreads it.
func (t *table) setSelf(change func(*record)) {
	t.sum ^= t.self.checksum()
	change(&t.self)
	t.sum ^= t.self.checksum()
	t.fresh[t.self.ID] = true
	t.revision++
}

func (t *table) insert(r record, now time.Time) {
	e := &entry{record: r, learned: now}
	t.stamp(e, now)
	t.entries[r.ID] = e
	t.sum ^= r.checksum()
	t.touch(r.ID)
}

// replace installs a newer version of a record.
func (t *table) replace(e *entry, r record, now time.Time) {
	if r.Incarnation > e.Incarnation {
		e.learned = now
	}
	t.fire(e, eventHeardAlive, now)
	t.sum ^= e.checksum()
	e.record = r
	t.sum ^= e.checksum()
	t.stamp(e, now)
	t.touch(r.ID)
}

// stamp sets the local times that the record's status needs.
func (t *table) stamp(e *entry, now time.Time) {
	switch e.Status {
	case statusSuspect:
		e.deadline = now.Add(t.suspicionTimeout)
	case statusDead:
		e.died = now
	}
}

func (t *table) setLeaving(e *entry) {
	t.sum ^= e.checksum()
	e.Leaving = true
	t.sum ^= e.checksum()
	t.touch(e.ID)
}

// fire runs the chart's transition of event for e.
func (t *table) fire(e *entry, event chart.Event, now time.Time) {
	transition, err := t.chart.Next(stateOf[e.Status], event)
	if err != nil || len(transition.Do) == 0 {
		return
	}
	t.sum ^= e.checksum()
	e.Status = statusOf[transition.To]
	t.sum ^= e.checksum()
	for _, action := range transition.Do {
		switch action {
		case actionSpread:
			t.touch(e.ID)
		case actionStartSuspicion:
			e.deadline = now.Add(t.suspicionTimeout)
		case actionStampDeath:
			e.died = now
		}
	}
}

// touch marks a record as changed.
func (t *table) touch(id string) {
	t.fresh[id] = true
	t.revision++
}

// suspect raises a suspicion against the present version of id.
func (t *table) suspect(id string, now time.Time) bool {
	e, ok := t.entries[id]
	if !ok || e.Status != statusAlive {
		return false
	}
	t.fire(e, eventSuspected, now)
	return true
}

// expire declares overdue suspects dead and forgets the long dead.
func (t *table) expire(now time.Time) {
	for id, e := range t.entries {
		if e.Status == statusSuspect && !now.Before(e.deadline) {
			t.fire(e, eventExpired, now)
		}
		if e.Status == statusDead && now.Sub(e.died) > t.forgetAfter {
			t.sum ^= e.checksum()
			delete(t.entries, id)
			delete(t.fresh, id)
		}
	}
}

// postpone moves all suspicion deadlines, after this process was paused.
func (t *table) postpone(pause time.Duration) {
	for _, e := range t.entries {
		e.deadline = e.deadline.Add(pause)
	}
}

// takeFresh returns the records that changed since the last call.
func (t *table) takeFresh() []record {
	records := make([]record, 0, len(t.fresh))
	for id := range t.fresh {
		if id == t.self.ID {
			records = append(records, t.self)
		} else if e, ok := t.entries[id]; ok {
			records = append(records, e.record)
		}
	}
	clear(t.fresh)
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

// alive returns the members that are not dead, including self, sorted by ID.
// Members of the data centres in "unreachable" are left out.
func (t *table) alive(unreachable map[string]bool) []peer.Member {
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

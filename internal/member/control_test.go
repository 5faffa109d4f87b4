package member

import (
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// newTestControl returns the control state of instance "self", which knows
// instance "other" in another data centre. No goroutine runs.
func newTestControl(t *testing.T, now time.Time) *control {
	t.Helper()
	o, err := New(Options{Self: peer.Member{ID: "self", Incarnation: 5, Address: "x", DataCentre: "a"}, Secret: []byte("s")})
	if err != nil {
		t.Fatal(err)
	}
	c, err := newControl(o, now)
	if err != nil {
		t.Fatal(err)
	}
	c.table.merge(record{ID: "other", Incarnation: 1, Address: "y", DataCentre: "b"}, now)
	c.tick(now)
	return c
}

// TestPauseExtendsTimeouts checks that a pause of this process does not count
// towards the timeouts of suspects and data centres: without the extension the
// instance would declare all others dead when it continues.
func TestPauseExtendsTimeouts(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestControl(t, now)
	c.table.suspect("other", now)
	c.tick(now.Add(time.Minute))
	if got := len(c.o.Members()); got != 2 {
		t.Fatalf("%d members after a pause, want 2", got)
	}
	c.tick(now.Add(time.Minute + time.Second))
	c.tick(now.Add(time.Minute + 2*time.Second))
	c.tick(now.Add(time.Minute + 4*time.Second))
	if got := len(c.o.Members()); got != 1 {
		t.Fatalf("%d members after the suspicion expired, want 1", got)
	}
}

// TestListedLeavingIsIgnoredForNewIncarnation checks that a listed phase
// "leaving" is ignored until the incarnation has been known for ListLag: before
// that, the list may still show an earlier process with the same ID.
func TestListedLeavingIsIgnoredForNewIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestControl(t, now)
	list := []platform.LiveListEntry{{ID: "other", Role: "instance", Phase: platform.Leaving}}
	c.listRead(list, now.Add(c.timing.ListLag/2))
	if c.table.entries["other"].Leaving {
		t.Fatal("leaving was applied from a list that may not show the current incarnation yet")
	}
	c.listRead(list, now.Add(2*c.timing.ListLag))
	if !c.table.entries["other"].Leaving {
		t.Fatal("leaving was not applied from the list")
	}
}

// TestListAddsMembersOnlyDuringListTrustPeriod checks that listed instances
// become members during ListTrustPeriod after the start and not later, and that a
// record from the instance itself replaces the listed one.
func TestListAddsMembersOnlyDuringListTrustPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []platform.LiveListEntry{{ID: "listed", Role: "instance", Address: "z", DataCentre: "a", Phase: platform.Live}}
	for _, test := range []struct {
		trust, age time.Duration
		want       int
	}{{5 * time.Second, time.Second, 3}, {5 * time.Second, 6 * time.Second, 2}, {0, 0, 2}} {
		c := newTestControl(t, now)
		c.timing.ListTrustPeriod = test.trust
		c.handle(listRead{list}, now.Add(test.age))
		if got := len(c.o.Members()); got != test.want {
			t.Errorf("trust %v, age %v: %d members, want %d", test.trust, test.age, got, test.want)
		}
		c.table.merge(record{ID: "listed", Incarnation: 7, Address: "z", DataCentre: "a"}, now)
		if got := c.table.entries["listed"].Incarnation; got != 7 {
			t.Errorf("the instance's own record did not replace the listed one: incarnation %d", got)
		}
	}
}

// TestOwnLeavingIsRefutedOnlyDuringListLag checks that shortly after its start an
// instance refutes a record that marks it as leaving, since the record may be of an
// earlier process, and that it accepts such a record later.
func TestOwnLeavingIsRefutedOnlyDuringListLag(t *testing.T) {
	now := time.Unix(1000, 0)
	for age, want := range map[time.Duration]bool{5 * time.Second: false, time.Minute: true} {
		c := newTestControl(t, now)
		received := c.table.self
		received.Leaving = true
		c.table.merge(received, now.Add(age))
		if c.table.self.Leaving != want {
			t.Errorf("%v after the start: leaving is %v, want %v", age, !want, want)
		}
		if refuted := c.table.self.Seq > received.Seq; refuted == want {
			t.Errorf("%v after the start: the record was refuted: %v", age, refuted)
		}
	}
}

// TestOlderRecordsAreIgnored checks that an older version of a record never
// replaces a newer one, in whatever order they arrive.
func TestOlderRecordsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestControl(t, now)
	c.table.merge(record{ID: "other", Incarnation: 2, Seq: 1, Address: "z", DataCentre: "b"}, now)
	for _, old := range []record{
		{ID: "other", Address: "y", Incarnation: 1, Seq: 9, Status: statusDead},
		{ID: "other", Address: "y", Incarnation: 2, Seq: 0, Status: statusSuspect},
	} {
		c.table.merge(old, now)
	}
	e := c.table.entries["other"]
	if e.Status != statusAlive || e.Incarnation != 2 || e.Seq != 1 || e.Address != "z" {
		t.Fatalf("record %+v", e.record)
	}
}

package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// TestBrokenConnectionIsNotACrash checks that a request which lost its connection is
// cleared by a later report of the same incarnation, but not by an earlier one.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	x := NewTable()
	x.Lost("e1", "b1", 7, true, epoch)
	if v, _ := x.Verdict(7, epoch); v != Suspect {
		t.Errorf("verdict %d while the loss is pending, want suspect", v)
	}
	x.Dismiss("e1", epoch.Add(-1), false)
	if v, _ := x.Verdict(7, epoch); v != Suspect {
		t.Errorf("verdict %d after a report from before the loss, want suspect", v)
	}
	x.Dismiss("e1", epoch.Add(1), false)
	if v, _ := x.Verdict(7, epoch); v != Clear {
		t.Errorf("verdict %d after a report from after the loss, want clear", v)
	}
}

// TestSuspectWaitsWhileLossIsPending checks that a suspect which is lost again must
// wait until the loss is resolved, that the second crash quarantines it, and that
// the quarantine ends.
func TestSuspectWaitsWhileLossIsPending(t *testing.T) {
	x := NewTable()
	x.Lost("e1", "b1", 7, false, epoch)
	x.Confirm("e1", epoch)
	x.Lost("e2", "b1", 7, true, epoch)
	if v, _ := x.Verdict(7, epoch); v != Pending {
		t.Errorf("verdict %d, want pending", v)
	}
	x.Confirm("e2", epoch)
	if v, left := x.Verdict(7, epoch); v != Quarantined || left != quarantineTime {
		t.Errorf("verdict %d with %s left, want quarantined for the whole quarantine time", v, left)
	}
	if v, _ := x.Verdict(7, epoch.Add(quarantineTime+1)); v != Clear {
		t.Errorf("verdict %d after the quarantine, want clear", v)
	}
}

// TestOutageBlamesOnlyRepeatedRequests checks that when many engines crash together
// their requests do not become suspects, except one that was in flight on several
// of them.
func TestOutageBlamesOnlyRepeatedRequests(t *testing.T) {
	x := NewTable()
	const repeated = 1000
	for e := range 20 {
		id := fmt.Sprint(e)
		x.Lost(id, "b", uint64(e), false, epoch)
		x.Lost(id, "b", repeated, false, epoch)
		x.Confirm(id, epoch)
	}
	blamed := 0
	for e := range uint64(20) {
		if v, _ := x.Verdict(e, epoch); v != Clear {
			blamed++
		}
	}
	if blamed >= outageUpstreams {
		t.Errorf("%d of 20 requests are suspects, want only those lost before the outage was recognised", blamed)
	}
	if v, _ := x.Verdict(repeated, epoch); v != Quarantined {
		t.Errorf("verdict %d on the request that was in all crashes, want quarantined", v)
	}
}

// TestNoticesRoundTrip checks that notices of crashes and of cleared suspects take
// effect on another instance, and that an invalid payload is rejected.
func TestNoticesRoundTrip(t *testing.T) {
	x, y := NewTable(), NewTable()
	x.Lost("e1", "b1", 7, false, epoch)
	data, err := Encode(x.Confirm("e1", epoch))
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // a repeated notice counts once
		notices, err := Decode("peer", data)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range notices {
			y.Observe(n, epoch)
		}
	}
	if v, _ := y.Verdict(7, epoch); v != Suspect {
		t.Errorf("verdict %d after the notice of a crash, want suspect", v)
	}
	n, ok := x.Completed(7)
	if !ok {
		t.Fatal("no notice of a cleared suspect")
	}
	y.Observe(n, epoch)
	if v, _ := y.Verdict(7, epoch); v != Clear {
		t.Errorf("verdict %d after the notice that the suspect is cleared, want clear", v)
	}
	if _, err := Decode("peer", []byte{0x1b}); err == nil {
		t.Error("an invalid payload was accepted")
	}
}

// simulation models instances that send requests to engines. A request whose
// fingerprint is in poisonous crashes the engine on which it starts, with all
// requests in flight there.
type simulation struct {
	t         *rapid.T
	tables    []*Table
	poisonous map[uint64]bool
	inFlight  [][]uint64 // fingerprints by engine
	boots     []int
	crashes   map[uint64]int // crashed engines by the fingerprint that caused it
	refused   map[uint64]bool
	now       time.Time
}

// send sends a request through an instance, which treats it by its verdict as the
// scheduler does.
func (s *simulation) send(instance int, fp uint64, engine int) {
	switch verdict, _ := s.tables[instance].Verdict(fp, s.now); verdict {
	case Quarantined:
		s.refused[fp] = true
	case Suspect:
		for e := range s.inFlight {
			if len(s.inFlight[e]) == 0 {
				s.start(instance, fp, e, true)
				s.finish(e)
				return
			}
		}
	case Clear:
		s.start(instance, fp, engine, false)
	}
}

// start starts a request on an engine, which crashes if the request is poisonous.
func (s *simulation) start(instance int, fp uint64, engine int, alone bool) {
	s.inFlight[engine] = append(s.inFlight[engine], fp)
	if !s.poisonous[fp] {
		return
	}
	s.crashes[fp]++
	id, boot := fmt.Sprint(engine), fmt.Sprint(s.boots[engine])
	for _, victim := range s.inFlight[engine] {
		s.tables[instance].Lost(id, boot, victim, alone, s.now)
	}
	s.boots[engine]++
	s.inFlight[engine] = nil
	for _, n := range s.tables[instance].Confirm(id, s.now) {
		s.publish(instance, n)
	}
}

// finish completes the requests in flight on an engine.
func (s *simulation) finish(engine int) {
	for _, fp := range s.inFlight[engine] {
		for i, table := range s.tables {
			if n, ok := table.Completed(fp); ok {
				s.publish(i, n)
			}
		}
	}
	s.inFlight[engine] = nil
}

// publish passes a notice of one instance to all others.
func (s *simulation) publish(from int, n Notice) {
	for i, table := range s.tables {
		if i != from {
			table.Observe(n, s.now)
		}
	}
}

// TestOnlyPoisonIsRefused checks on random schedules that a poisonous request crashes
// at most quarantineCrashes engines, through whichever instances it is sent, and
// that no other request is refused.
func TestOnlyPoisonIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, poisonous: map[uint64]bool{1: true, 2: true}, crashes: map[uint64]int{}, refused: map[uint64]bool{}, now: epoch}
		instances := rapid.IntRange(1, 7).Draw(t, "instances")
		engines := rapid.IntRange(2, 15).Draw(t, "engines")
		for range instances {
			s.tables = append(s.tables, NewTable())
		}
		s.inFlight, s.boots = make([][]uint64, engines), make([]int, engines)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			engine := rapid.IntRange(0, engines-1).Draw(t, "engine")
			if rapid.IntRange(0, 3).Draw(t, "finish") == 0 {
				s.finish(engine)
				continue
			}
			instance := rapid.IntRange(0, instances-1).Draw(t, "instance")
			s.send(instance, rapid.Uint64Range(1, 30).Draw(t, "fingerprint"), engine)
		}
		for fp, engines := range s.crashes {
			if engines > quarantineCrashes {
				t.Fatalf("fingerprint %d crashed %d engines", fp, engines)
			}
		}
		for fp := range s.refused {
			if !s.poisonous[fp] {
				t.Fatalf("fingerprint %d, which crashed no engine, was refused", fp)
			}
		}
	})
}

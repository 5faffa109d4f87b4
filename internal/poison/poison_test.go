package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func TestCutConnectionIsNotACrash(t *testing.T) {
	x := NewTable()
	x.Lost("e1", "b1", 7, true, epoch)
	if v, _ := x.Verdict(7, epoch); v != Suspect {
		t.Errorf("verdict %d before the judgement", v)
	}
	x.Dismiss("e1", epoch.Add(-1))
	if v, _ := x.Verdict(7, epoch); v != Suspect {
		t.Errorf("verdict %d after a report from before the loss", v)
	}
	x.Dismiss("e1", epoch.Add(1))
	if v, _ := x.Verdict(7, epoch); v != Clear {
		t.Errorf("verdict %d after it", v)
	}
}

func TestSuspectWaitsForTheJudgement(t *testing.T) {
	x := NewTable()
	x.Lost("e1", "b1", 7, false, epoch)
	x.Confirm("e1", epoch)
	x.Lost("e2", "b1", 7, true, epoch)
	if v, _ := x.Verdict(7, epoch); v != Pending {
		t.Errorf("verdict %d, want pending", v)
	}
	x.Confirm("e2", epoch)
	if v, left := x.Verdict(7, epoch); v != Condemned || left != refuseTime {
		t.Errorf("verdict %d for %s, want condemned", v, left)
	}
	if v, _ := x.Verdict(7, epoch.Add(refuseTime+1)); v != Clear {
		t.Errorf("verdict %d after the time", v)
	}
}

// TestOutageCondemnsNobody crashes many engines at once: their requests are not
// blamed, except one that was in flight on several of them.
func TestOutageCondemnsNobody(t *testing.T) {
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
		t.Errorf("%d of 20 requests are suspects", blamed)
	}
	if v, _ := x.Verdict(repeated, epoch); v != Condemned {
		t.Errorf("verdict %d on the request that was in each crash", v)
	}
}

func TestNoticesRoundTrip(t *testing.T) {
	x, y := NewTable(), NewTable()
	x.Lost("e1", "b1", 7, false, epoch)
	data, err := Encode(x.Confirm("e1", epoch))
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // a repeated notice counts once
		notices, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range notices {
			y.Observe(n, epoch)
		}
	}
	if v, _ := y.Verdict(7, epoch); v != Suspect {
		t.Errorf("verdict %d", v)
	}
	n, ok := x.Completed(7)
	if !ok {
		t.Fatal("nothing to tell of a cleared suspect")
	}
	y.Observe(n, epoch)
	if v, _ := y.Verdict(7, epoch); v != Clear {
		t.Errorf("verdict %d after clearing", v)
	}
	if _, err := Decode([]byte{0x1b}); err == nil {
		t.Error("a broken message was taken")
	}
}

// run is a small model of instances that send requests to engines: a request
// whose fingerprint is in poisonous crashes the engine it starts on, with every
// request in flight there.
type run struct {
	t         *rapid.T
	tables    []*Table
	poisonous map[uint64]bool
	flight    [][]uint64 // fingerprints in flight, by engine
	boots     []int
	lost      map[uint64]int // engines lost, by the fingerprint to blame
	refused   map[uint64]bool
	now       time.Time
}

// send runs a fingerprint through an instance as the scheduler would.
func (r *run) send(instance int, fp uint64, engine int) {
	switch verdict, _ := r.tables[instance].Verdict(fp, r.now); verdict {
	case Condemned:
		r.refused[fp] = true
	case Suspect:
		for e := range r.flight {
			if len(r.flight[e]) == 0 {
				r.start(instance, fp, e, true)
				r.finish(e)
				return
			}
		}
	case Clear:
		r.start(instance, fp, engine, false)
	}
}

func (r *run) start(instance int, fp uint64, engine int, alone bool) {
	r.flight[engine] = append(r.flight[engine], fp)
	if !r.poisonous[fp] {
		return
	}
	r.lost[fp]++
	id, boot := fmt.Sprint(engine), fmt.Sprint(r.boots[engine])
	for _, victim := range r.flight[engine] {
		r.tables[instance].Lost(id, boot, victim, alone, r.now)
	}
	r.boots[engine]++
	r.flight[engine] = nil
	for _, n := range r.tables[instance].Confirm(id, r.now) {
		r.tell(instance, n)
	}
}

// finish completes what is in flight on an engine.
func (r *run) finish(engine int) {
	for _, fp := range r.flight[engine] {
		for i, table := range r.tables {
			if n, ok := table.Completed(fp); ok {
				r.tell(i, n)
			}
		}
	}
	r.flight[engine] = nil
}

func (r *run) tell(from int, n Notice) {
	for i, table := range r.tables {
		if i != from {
			table.Observe(n, r.now)
		}
	}
}

// TestDiscrimination checks on random schedules that a poisonous fingerprint
// costs at most condemnCrashes engines, through whichever instances it comes,
// and that no bystander is ever refused.
func TestDiscrimination(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &run{t: t, poisonous: map[uint64]bool{1: true, 2: true}, lost: map[uint64]int{}, refused: map[uint64]bool{}, now: epoch}
		instances := rapid.IntRange(1, 7).Draw(t, "instances")
		engines := rapid.IntRange(2, 15).Draw(t, "engines")
		for range instances {
			r.tables = append(r.tables, NewTable())
		}
		r.flight, r.boots = make([][]uint64, engines), make([]int, engines)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			engine := rapid.IntRange(0, engines-1).Draw(t, "engine")
			if rapid.IntRange(0, 3).Draw(t, "finish") == 0 {
				r.finish(engine)
				continue
			}
			instance := rapid.IntRange(0, instances-1).Draw(t, "instance")
			r.send(instance, rapid.Uint64Range(1, 30).Draw(t, "fingerprint"), engine)
		}
		for fp, engines := range r.lost {
			if engines > condemnCrashes {
				t.Fatalf("fingerprint %d cost %d engines", fp, engines)
			}
		}
		for fp := range r.refused {
			if !r.poisonous[fp] {
				t.Fatalf("bystander %d was refused", fp)
			}
		}
	})
}

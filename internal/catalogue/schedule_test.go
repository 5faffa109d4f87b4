package catalogue

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

// scheduleSeed makes the schedules the same in each run, unless -rapid.seed is
// set.
const scheduleSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set(scheduleSeed)
	}
	flag.Lookup("rapid.nofailfile").Value.Set("true")
	os.Exit(m.Run())
}

// stepKind is one kind of step of a schedule.
type stepKind string

const (
	stepEdit        stepKind = "edit"
	stepRepeat      stepKind = "repeat"
	stepLoseAnswers stepKind = "lose-answers"
	stepLoseWrites  stepKind = "lose-writes"
	stepDown        stepKind = "store-down"
	stepSlow        stepKind = "store-slow"
	stepUp          stepKind = "store-up"
	stepIsolate     stepKind = "isolate"
	stepRejoin      stepKind = "rejoin"
	stepRestart     stepKind = "restart"
	stepWait        stepKind = "wait"
)

var stepKinds = []stepKind{stepEdit, stepEdit, stepEdit, stepEdit, stepRepeat, stepLoseAnswers, stepLoseWrites,
	stepDown, stepSlow, stepUp, stepUp, stepIsolate, stepRejoin, stepRejoin, stepRestart, stepWait, stepWait}

// step is one step of a schedule: its instance, the entry that it edits (in
// some kinds the number of an edit or the size of a fault), and the pause after
// it.
type step struct {
	kind  stepKind
	node  int
	entry int
	pause time.Duration
}

const (
	scheduleNodes   = 5
	scheduleEntries = 4
)

func drawSchedule(rt *rapid.T) []step {
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(stepKinds).Draw(rt, "kind"),
			node:  rapid.IntRange(0, scheduleNodes-1).Draw(rt, "node"),
			entry: rapid.IntRange(0, scheduleEntries-1).Draw(rt, "entry"),
			pause: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 3, 30, 500, 4000}).Draw(rt, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 5, 40).Draw(rt, "steps")
}

// outcome is the result that the operator got for one edit.
type outcome struct {
	edit    Edit
	applied Applied
	err     error
}

// refusedNotRun reports whether the edit failed with an error that says that it was
// not accepted.
func (o outcome) refusedNotRun() bool {
	return o.err != nil && result.From(o.err).Execution == result.NotRun
}

// scheduleRun is one run of a schedule.
type scheduleRun struct {
	*fleet
	mu       sync.Mutex
	outcomes []outcome
	pending  sync.WaitGroup
	// ended holds the instances that were stopped by a restart.
	ended []*node
}

func (r *scheduleRun) do(s step) {
	id := fmt.Sprintf("i%d", s.node)
	switch s.kind {
	case stepEdit:
		r.edits++
		version := fmt.Sprintf("v%d", r.edits)
		r.send(id, Edit{ID: version, Base: r.nodes[id].Revision(), By: admin, Puts: []Entry{model(fmt.Sprintf("m%d", s.entry), version)}})
	case stepRepeat:
		r.mu.Lock()
		n := len(r.outcomes)
		if n == 0 {
			r.mu.Unlock()
			return
		}
		edit := r.outcomes[(n+s.entry)%n].edit
		r.mu.Unlock()
		r.send(id, edit)
	case stepLoseAnswers:
		r.table.SetFaults(memstore.Faults{LoseAnswers: 1 + s.entry, Delay: time.Millisecond})
	case stepLoseWrites:
		r.table.SetFaults(memstore.Faults{LoseWrites: 1 + s.entry, Delay: time.Millisecond})
	case stepDown:
		r.table.SetFaults(memstore.Faults{Down: true})
	case stepSlow:
		r.table.SetFaults(memstore.Faults{Delay: time.Duration(s.entry) * 200 * time.Millisecond})
	case stepUp:
		r.table.SetFaults(memstore.Faults{})
	case stepIsolate:
		r.isolate(id, true)
	case stepRejoin:
		r.isolate(id, false)
	case stepRestart:
		r.ended = append(r.ended, r.nodes[id])
		r.start(id)
	}
}

// send applies an edit through an instance in the background, as an operator.
func (r *scheduleRun) send(id string, edit Edit) {
	n := r.nodes[id]
	r.pending.Go(func() {
		ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
		defer cancel()
		applied, err := n.Apply(ctx, edit)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.outcomes = append(r.outcomes, outcome{edit, applied, err})
	})
}

// run runs a schedule, removes all faults, and checks the instances and the
// history.
func (r *scheduleRun) run(steps []step) error {
	settle(time.Second)
	for _, s := range steps {
		r.do(s)
		settle(s.pause)
	}
	r.pending.Wait()
	r.table.SetFaults(memstore.Faults{})
	for i := range scheduleNodes {
		r.isolate(fmt.Sprintf("i%d", i), false)
	}
	settle(pollOnlyTimeout)
	return errors.Join(r.checkFleet(), r.checkHistory())
}

// checkFleet verifies that all instances have the head's content and that none
// ever installed a lower revision.
func (r *scheduleRun) checkFleet() error {
	h, _, err := readHead(r.t.Context(), r.table)
	if err != nil {
		return err
	}
	runs := r.ended
	synctest.Wait()
	for id, n := range r.nodes {
		runs = append(runs, n)
		if snap := n.Snapshot(); snap == nil || snap.revision != h.Revision || snap.digest != h.Digest || digestOf(snap.records) != h.Digest {
			return fmt.Errorf("%s does not have the content of the store's head, revision %d", id, h.Revision)
		}
	}
	for _, n := range runs {
		for i := 1; i < len(n.installed); i++ {
			if n.installed[i] <= n.installed[i-1] {
				return fmt.Errorf("an instance installed revision %d and then %d", n.installed[i-1], n.installed[i])
			}
		}
	}
	return nil
}

// checkHistory verifies that each accepted edit is in the history once, at the
// revision that its operator got, that refused edits are not, and that no edit
// overwrote a change made after its base.
func (r *scheduleRun) checkHistory() error {
	snap, err := NewStore(r.table).Load(r.t.Context())
	if err != nil {
		return err
	}
	changes, err := readChanges(r.t.Context(), r.table, 1, snap.revision)
	if err != nil {
		return err
	}
	found := map[string]Revision{}
	lastChange := map[Key]Change{}
	for _, c := range changes {
		if earlier, twice := found[c.EditID]; twice {
			return fmt.Errorf("edit %s is in the history twice, as revisions %d and %d", c.EditID, earlier, c.Revision)
		}
		found[c.EditID] = c.Revision
		lastChange[c.Updates[0].Key] = c
	}
	for key, c := range lastChange {
		if got := snap.Entry(key).Model.Version; got != c.EditID {
			return fmt.Errorf("%s has the content of edit %s; its last edit in the history is %s", key, got, c.EditID)
		}
	}
	return errors.Join(r.checkOutcomes(found), r.checkOverwrites(changes))
}

// checkOutcomes compares the operators' results with the history. An edit must
// not be there if it was refused as "not run" each time it was sent, or if it
// was refused because of a conflict.
func (r *scheduleRun) checkOutcomes(found map[string]Revision) error {
	mayBeAccepted := map[string]bool{}
	for _, o := range r.outcomes {
		mayBeAccepted[o.edit.ID] = mayBeAccepted[o.edit.ID] || !o.refusedNotRun()
		if o.err == nil && found[o.edit.ID] != o.applied.Revision {
			return fmt.Errorf("edit %s was accepted as revision %d, but is revision %d in the history", o.edit.ID, o.applied.Revision, found[o.edit.ID])
		}
	}
	for _, o := range r.outcomes {
		conflict := o.err != nil && result.From(o.err).Code == result.EditConflict
		if found[o.edit.ID] != 0 && (conflict || !mayBeAccepted[o.edit.ID]) {
			return fmt.Errorf("edit %s was refused, but is revision %d in the history: %v", o.edit.ID, found[o.edit.ID], o.err)
		}
	}
	return nil
}

// checkOverwrites verifies that no edit overwrote a change of the same entry
// made after the edit's base.
func (r *scheduleRun) checkOverwrites(changes []Change) error {
	base := map[string]Revision{}
	for _, o := range r.outcomes {
		base[o.edit.ID] = o.edit.Base
	}
	last := map[Key]Revision{}
	for _, c := range changes {
		key := c.Updates[0].Key
		if last[key] > base[c.EditID] {
			return fmt.Errorf("edit %s with base %d overwrote revision %d of %s", c.EditID, base[c.EditID], last[key], key)
		}
		last[key] = c.Revision
	}
	return nil
}

// TestSchedules checks random schedules of edits, repeated edits, restarts,
// isolated instances and faults of the store.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSchedule(rt)
		var err error
		synctest.Test(t, func(t *testing.T) {
			r := &scheduleRun{fleet: newFleet(t, scheduleNodes)}
			err = r.run(steps)
		})
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

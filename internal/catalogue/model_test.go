package catalogue

import (
	"fmt"
	"testing"

	"github.com/banyanroute/banyanroute/internal/modelcheck"
)

// Bounds of the model of the protocol that commits and replicates edits. Editors
// commit edits based on the head that they have read; two of them send the same
// edit through two instances. The store's answers may be lost. Replicas install
// revisions from broadcasts, peers and the store, in any order and any number of
// times. All states within the bounds are visited.
const (
	modelEditors  = 3
	modelReplicas = 2
	maxModelHead  = 3
	maxModelTries = 2
	// modelStates is the number of reachable states of the whole protocol.
	modelStates = 284_264
	// maxModelStates bounds an exploration, also of a protocol with a
	// mechanism switched off.
	maxModelStates = 4 * modelStates
)

// modelEdits is the edit of each editor; edits are numbered from 1.
var modelEdits = [modelEditors]uint8{1, 1, 2}

// editorPhase is an editor's progress with its one edit.
type editorPhase uint8

const (
	editorIdle editorPhase = iota
	editorLoaded
	editorNotFound
	editorUnknown
	editorAccepted
	editorConflict
)

type modelEditor struct {
	phase editorPhase
	seen  uint8
	tries uint8
	// answered is the revision in the answer to the operator.
	answered uint8
}

// modelState is comparable. history[r] is the edit of revision r.
type modelState struct {
	head     uint8
	history  [maxModelHead + 1]uint8
	editors  [modelEditors]modelEditor
	replicas [modelReplicas]uint8
	ready    [modelReplicas]bool
	// broadcast is the bit set of the revisions that were broadcast.
	broadcast uint8
	// down reports whether the store is unavailable.
	down bool
	// reverted records that a replica installed a lower revision.
	reverted bool
}

// mechanisms are the parts of the protocol that can be switched off in the
// model.
type mechanisms struct {
	// headCondition is the condition on the head row, idCondition the one on
	// the edit ID's row.
	headCondition, idCondition bool
	// lookUp is the lookup by edit ID; lookUpLast puts it after the load.
	lookUp, lookUpLast bool
	// revisionGuard makes replicas ignore revisions that are not higher.
	revisionGuard bool
}

var allMechanisms = mechanisms{true, true, true, true, true}

// modelStep is one transition of the model.
type modelStep = modelcheck.Step[modelState]

// install lets a replica install a revision.
func (s modelState) install(m mechanisms, replica int, rev uint8) modelState {
	if s.ready[replica] && m.revisionGuard && rev <= s.replicas[replica] {
		return s
	}
	if s.ready[replica] && rev < s.replicas[replica] {
		s.reverted = true
	}
	s.replicas[replica] = rev
	s.ready[replica] = true
	return s
}

// steps returns all transitions of a state.
func (s modelState) steps(m mechanisms) []modelStep {
	toggled := s
	toggled.down = !s.down
	next := []modelStep{{Name: "the store fails or recovers", To: toggled}}
	for e := range s.editors {
		next = append(next, s.editorSteps(m, e)...)
	}
	for r := range s.replicas {
		next = append(next, s.replicaSteps(m, r)...)
	}
	return next
}

// editorSteps returns the transitions of one editor; each needs the store.
func (s modelState) editorSteps(m mechanisms, e int) []modelStep {
	ed := s.editors[e]
	if s.down || ed.tries > maxModelTries {
		return nil
	}
	switch {
	case ed.phase == editorAccepted:
		return nil
	case ed.phase == editorNotFound && m.lookUpLast, ed.phase == editorLoaded && !m.lookUpLast:
		return s.commits(m, e)
	case ed.phase == editorLoaded, ed.phase == editorNotFound:
		return []modelStep{s.secondStep(m, e)}
	}
	s.editors[e].tries++
	return []modelStep{s.firstStep(m, e)}
}

// editorStep names a transition of an editor.
func editorStep(e int, action string, to modelState) modelStep {
	return modelStep{Name: fmt.Sprintf("editor %d %s", e, action), To: to}
}

// firstStep and secondStep return the load and the lookup in the order that m
// sets.
func (s modelState) firstStep(m mechanisms, e int) modelStep {
	if m.lookUpLast {
		return s.load(e)
	}
	return s.lookUp(m, e)
}

func (s modelState) secondStep(m mechanisms, e int) modelStep {
	if m.lookUpLast {
		return s.lookUp(m, e)
	}
	return s.load(e)
}

// load reads the head.
func (s modelState) load(e int) modelStep {
	s.editors[e].phase = editorLoaded
	s.editors[e].seen = s.head
	return editorStep(e, "loads the head", s)
}

// lookUp searches the history for the editor's edit.
func (s modelState) lookUp(m mechanisms, e int) modelStep {
	if rev := s.accepted(e); m.lookUp && rev != 0 {
		return editorStep(e, "finds its edit", s.accept(e, rev))
	}
	s.editors[e].phase = editorNotFound
	return editorStep(e, "does not find its edit", s)
}

// accepted returns the revision of an editor's edit, or zero.
func (s modelState) accepted(e int) uint8 {
	for rev := uint8(1); rev <= s.head; rev++ {
		if s.history[rev] == modelEdits[e] {
			return rev
		}
	}
	return 0
}

func (s modelState) accept(e int, rev uint8) modelState {
	s.editors[e].phase = editorAccepted
	s.editors[e].answered = rev
	s.broadcast |= 1 << rev
	return s
}

// commits returns the outcomes of a conditional write: it is refused or
// committed, in both cases with or without an answer, or the request is lost.
func (s modelState) commits(m mechanisms, e int) []modelStep {
	unknown := s
	unknown.editors[e].phase = editorUnknown
	noAnswer := editorStep(e, "gets no answer, nothing is written", unknown)
	if (m.headCondition && s.editors[e].seen != s.head) || (m.idCondition && s.accepted(e) != 0) {
		refused := s
		refused.editors[e].phase = editorConflict
		return []modelStep{editorStep(e, "is refused", refused), noAnswer}
	}
	rev := s.editors[e].seen + 1
	if rev > maxModelHead {
		return nil
	}
	s.history[rev] = modelEdits[e]
	s.head = max(s.head, rev)
	written := s
	written.editors[e].phase = editorUnknown
	return []modelStep{
		noAnswer,
		editorStep(e, "commits and gets no answer", written),
		editorStep(e, "commits", s.accept(e, rev)),
	}
}

// replicaSteps returns the transitions of one replica.
func (s modelState) replicaSteps(m mechanisms, r int) []modelStep {
	var next []modelStep
	add := func(action string, to modelState) {
		next = append(next, modelStep{Name: fmt.Sprintf("replica %d %s", r, action), To: to})
	}
	for rev := uint8(1); rev <= s.head; rev++ {
		if s.broadcast&(1<<rev) != 0 && s.ready[r] {
			add(fmt.Sprintf("receives the broadcast of revision %d", rev), s.install(m, r, rev))
		}
	}
	for other := range s.replicas {
		if other != r && s.ready[other] {
			add(fmt.Sprintf("fetches from replica %d", other), s.install(m, r, s.replicas[other]))
		}
	}
	if !s.down {
		add("loads the head", s.install(m, r, s.head))
	}
	restarted := s
	restarted.ready[r], restarted.replicas[r] = false, 0
	add("restarts", restarted)
	return next
}

// occurrences counts how often an edit is in the history.
func (s modelState) occurrences(edit uint8) int {
	count := 0
	for rev := uint8(1); rev <= s.head; rev++ {
		if s.history[rev] == edit {
			count++
		}
	}
	return count
}

var modelInvariants = []modelcheck.Invariant[modelState]{
	{Name: "an edit is in the history at most once", Holds: func(s modelState) bool {
		for _, edit := range modelEdits {
			if s.occurrences(edit) > 1 {
				return false
			}
		}
		return true
	}},
	{Name: "an accepted edit is in the history at the answered revision", Holds: func(s modelState) bool {
		for e, ed := range s.editors {
			if ed.phase == editorAccepted && s.history[ed.answered] != modelEdits[e] {
				return false
			}
		}
		return true
	}},
	{Name: "no replica is ahead of the head", Holds: func(s modelState) bool {
		for _, rev := range s.replicas {
			if rev > s.head {
				return false
			}
		}
		return true
	}},
	{Name: "no replica installs a lower revision", Holds: func(s modelState) bool { return !s.reverted }},
}

// explore visits the reachable states until all are visited or an invariant is
// violated.
func explore(t *testing.T, m mechanisms) modelcheck.Report[modelState] {
	t.Helper()
	report := modelcheck.Explore(modelcheck.Model[modelState]{
		Steps:      func(s modelState) []modelStep { return s.steps(m) },
		Invariants: modelInvariants,
		MaxStates:  maxModelStates,
	})
	if report.Violation == nil && !report.Complete {
		t.Fatalf("%+v: stopped after %d states", m, report.States)
	}
	return report
}

// TestModel checks that the invariants hold in all reachable states of the
// protocol.
func TestModel(t *testing.T) {
	report := explore(t, allMechanisms)
	if report.Violation != nil {
		t.Fatal(report.Violation)
	}
	if report.States != modelStates {
		t.Fatalf("%d states, want %d", report.States, modelStates)
	}
	t.Logf("%d states, %d steps", report.States, report.Steps)
}

// TestModelNeedsEachMechanism checks that the model detects a violation if a
// mechanism is switched off, together with the one that could replace it.
func TestModelNeedsEachMechanism(t *testing.T) {
	cases := map[string]mechanisms{
		"condition on the head":        {false, true, true, true, true},
		"lookup by edit ID":            {true, false, false, true, true},
		"lookup after the load":        {true, false, true, false, true},
		"guard against lower revision": {true, true, true, true, false},
	}
	for name, m := range cases {
		report := explore(t, m)
		if report.Violation == nil {
			t.Errorf("no invariant is violated without the %s", name)
			continue
		}
		t.Logf("without the %s: %s", name, report.Violation)
	}
}

// TestModelHasRedundantMechanism checks that the condition on the edit ID's row
// and the lookup after the load each suffice without the other.
func TestModelHasRedundantMechanism(t *testing.T) {
	for _, m := range []mechanisms{{true, false, true, true, true}, {true, true, true, false, true}} {
		if report := explore(t, m); report.Violation != nil {
			t.Errorf("%+v: %s", m, report.Violation)
		}
	}
}

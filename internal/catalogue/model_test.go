package catalogue

import (
	"fmt"
	"testing"
)

// The model of the protocol: editors that commit edits on the head that they
// have seen, two of them the same edit through two instances; answers that are
// lost; and replicas that install what they hear
// from pushes, peers and the store, in any order and any number of times.
// All states of a small bound are visited.

const (
	modelEditors  = 3
	modelReplicas = 2
	modelMaxHead  = 3
	modelTries    = 2
)

// modelEdits are the edits of the editors, counted from 1.
var modelEdits = [modelEditors]uint8{1, 1, 2}

// editorPhase is where an editor is with its one edit.
type editorPhase uint8

const (
	editorIdle editorPhase = iota
	editorLoaded
	editorLooked
	editorUnsure
	editorAccepted
	editorLost
)

type modelEditor struct {
	phase editorPhase
	seen  uint8
	tries uint8
	// told is the revision that the operator was told.
	told uint8
}

// modelState is comparable. history[r] is the edit of revision r.
type modelState struct {
	head     uint8
	history  [modelMaxHead + 1]uint8
	editors  [modelEditors]modelEditor
	replicas [modelReplicas]uint8
	ready    [modelReplicas]bool
	// pushed is the set of revisions that were broadcast.
	pushed uint8
	down   bool
	// reverted records a replica that went back.
	reverted bool
}

// mechanisms are the parts of the protocol that the model can leave out.
type mechanisms struct {
	// condition is the condition on the head row, idCondition that on the
	// edit ID's row.
	condition, idCondition bool
	// lookUp is the look-up by edit ID; lookUpLast puts it after the load.
	lookUp, lookUpLast bool
	// guard refuses lower revisions.
	guard bool
}

var allMechanisms = mechanisms{true, true, true, true, true}

// install lets a replica install a revision.
func (s modelState) install(m mechanisms, replica int, rev uint8) modelState {
	if s.ready[replica] && m.guard && rev <= s.replicas[replica] {
		return s
	}
	if s.ready[replica] && rev < s.replicas[replica] {
		s.reverted = true
	}
	s.replicas[replica] = rev
	s.ready[replica] = true
	return s
}

// successors returns all next states.
func (s modelState) successors(m mechanisms) []modelState {
	var next []modelState
	toggled := s
	toggled.down = !s.down
	next = append(next, toggled)
	for e := range s.editors {
		next = append(next, s.editorSteps(m, e)...)
	}
	for r := range s.replicas {
		next = append(next, s.replicaSteps(m, r)...)
	}
	return next
}

// editorSteps are those of one editor; each needs the store.
func (s modelState) editorSteps(m mechanisms, e int) []modelState {
	ed := s.editors[e]
	if s.down || ed.tries > modelTries {
		return nil
	}
	switch {
	case ed.phase == editorAccepted:
		return nil
	case ed.phase == editorLooked && m.lookUpLast, ed.phase == editorLoaded && !m.lookUpLast:
		return s.commits(m, e)
	case ed.phase == editorLoaded, ed.phase == editorLooked:
		return []modelState{s.secondStep(m, e)}
	}
	s.editors[e].tries++
	return []modelState{s.firstStep(m, e)}
}

// firstStep and secondStep are the load and the look-up, in the order of m.
func (s modelState) firstStep(m mechanisms, e int) modelState {
	if m.lookUpLast {
		return s.load(e)
	}
	return s.look(m, e)
}

func (s modelState) secondStep(m mechanisms, e int) modelState {
	if m.lookUpLast {
		return s.look(m, e)
	}
	return s.load(e)
}

// load reads the head.
func (s modelState) load(e int) modelState {
	s.editors[e].phase = editorLoaded
	s.editors[e].seen = s.head
	return s
}

// look looks for an earlier acceptance.
func (s modelState) look(m mechanisms, e int) modelState {
	if rev := s.accepted(e); m.lookUp && rev != 0 {
		return s.accept(e, rev)
	}
	s.editors[e].phase = editorLooked
	return s
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
	s.editors[e].told = rev
	s.pushed |= 1 << rev
	return s
}

// commits are the outcomes of a conditional write: refused, lost before or
// after it took effect, or answered.
func (s modelState) commits(m mechanisms, e int) []modelState {
	unsure := s
	unsure.editors[e].phase = editorUnsure
	if (m.condition && s.editors[e].seen != s.head) || (m.idCondition && s.accepted(e) != 0) {
		lost := s
		lost.editors[e].phase = editorLost
		return []modelState{lost, unsure}
	}
	rev := s.editors[e].seen + 1
	if rev > modelMaxHead {
		return nil
	}
	s.history[rev] = modelEdits[e]
	s.head = max(s.head, rev)
	taken := s
	taken.editors[e].phase = editorUnsure
	return []modelState{unsure, taken, s.accept(e, rev)}
}

// replicaSteps are those of one replica.
func (s modelState) replicaSteps(m mechanisms, r int) []modelState {
	var next []modelState
	for rev := uint8(1); rev <= s.head; rev++ {
		if s.pushed&(1<<rev) != 0 && s.ready[r] {
			next = append(next, s.install(m, r, rev))
		}
	}
	for other := range s.replicas {
		if other != r && s.ready[other] {
			next = append(next, s.install(m, r, s.replicas[other]))
		}
	}
	if !s.down {
		next = append(next, s.install(m, r, s.head))
	}
	restarted := s
	restarted.ready[r], restarted.replicas[r] = false, 0
	return append(next, restarted)
}

// broken returns the invariant that the state breaks, or "".
func (s modelState) broken() string {
	count := map[uint8]int{}
	for rev := uint8(1); rev <= s.head; rev++ {
		if s.history[rev] != 0 {
			count[s.history[rev]]++
		}
	}
	for e, ed := range s.editors {
		switch {
		case count[modelEdits[e]] > 1:
			return "an edit is in the history once"
		case ed.phase == editorAccepted && s.history[ed.told] != modelEdits[e]:
			return "an accepted edit is in the history where its operator was told"
		}
	}
	for r := range s.replicas {
		if s.replicas[r] > s.head {
			return "no replica is ahead of the head"
		}
	}
	if s.reverted {
		return "a replica never goes back"
	}
	return ""
}

// explore visits all reachable states, and returns their number and a broken
// invariant.
func explore(m mechanisms) (states int, broken string) {
	var initial modelState
	seen := map[modelState]bool{initial: true}
	work := []modelState{initial}
	for len(work) > 0 {
		s := work[0]
		work = work[1:]
		if b := s.broken(); b != "" {
			return len(seen), fmt.Sprintf("%s: %+v", b, s)
		}
		for _, next := range s.successors(m) {
			if !seen[next] {
				seen[next] = true
				work = append(work, next)
			}
		}
	}
	return len(seen), ""
}

func TestModel(t *testing.T) {
	states, broken := explore(allMechanisms)
	if broken != "" {
		t.Fatal(broken)
	}
	t.Logf("%d states", states)
}

func TestModelNeedsItsMechanisms(t *testing.T) {
	cases := map[string]mechanisms{
		"condition on the head":        {false, true, true, true, true},
		"look-up by edit ID":           {true, false, false, true, true},
		"look-up after the load":       {true, false, true, false, true},
		"guard against lower revision": {true, true, true, true, false},
	}
	for name, m := range cases {
		if _, broken := explore(m); broken == "" {
			t.Errorf("no invariant breaks without the %s", name)
		} else {
			t.Logf("without the %s: %s", name, broken)
		}
	}
}

// TestModelHasSpareMechanism shows that the condition on the edit ID's row and
// the order of load and look-up each suffice.
func TestModelHasSpareMechanism(t *testing.T) {
	for _, m := range []mechanisms{{true, false, true, true, true}, {true, true, true, false, true}} {
		if _, broken := explore(m); broken != "" {
			t.Errorf("%+v: %s", m, broken)
		}
	}
}

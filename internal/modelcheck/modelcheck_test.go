package modelcheck

import "testing"

// counter is a model that counts up to its goal, 5. If stuck is set, it can go from 3
// to a dead end, 100. The invariant keeps all other states below limit.
func counter(limit int, stuck bool) Model[int] {
	return Model[int]{
		Steps: func(s int) []Step[int] {
			switch {
			case s >= 100, s == 5:
				return nil
			case s == 3 && stuck:
				return []Step[int]{{Name: "up", To: 4}, {Name: "stick", To: 100}}
			}
			return []Step[int]{{Name: "up", To: s + 1}}
		},
		Invariants: []Invariant[int]{{Name: "below limit", Holds: func(s int) bool { return s < limit || s == 100 }}},
		Goal:       func(s int) bool { return s == 5 },
		MaxStates:  1000,
	}
}

// TestExplore checks complete and bounded explorations, and that a violated invariant
// and an unreachable goal are found.
func TestExplore(t *testing.T) {
	r := Explore(counter(6, false))
	if !r.Complete || r.Violation != nil || r.States != 6 || r.Depth != 5 {
		t.Fatalf("got %+v", r)
	}
	r = Explore(counter(4, false))
	if r.Violation == nil || r.Violation.State != 4 || len(r.Violation.Trace) != 4 {
		t.Fatalf("got %+v, want a violation after 4 steps", r)
	}
	r = Explore(counter(6, true))
	if r.Violation == nil || r.Violation.Invariant != "goal" || r.Violation.State != 100 {
		t.Fatalf("got %+v, want a state that cannot reach the goal", r)
	}
	m := counter(6, false)
	m.MaxStates = 2
	if r = Explore(m); r.Complete {
		t.Fatal("bounded exploration is reported as complete")
	}
}

// Package modelcheck is an explicit-state model checker. It explores all reachable
// states of a small protocol model breadth first and checks the invariants in each
// of them. A violation is reported with a shortest sequence of steps to it.
package modelcheck

import (
	"fmt"
	"strings"
)

// Step is one transition of a model: its name and the resulting state.
type Step[S comparable] struct {
	Name string
	To   S
}

// Invariant is a property that must hold in every reachable state.
type Invariant[S comparable] struct {
	Name  string
	Holds func(S) bool
}

// Model is a protocol whose states are comparable values.
type Model[S comparable] struct {
	Initial S
	// Steps returns all transitions from a state. It must be a pure function.
	Steps      func(S) []Step[S]
	Invariants []Invariant[S]
	// Goal, if set, reports whether a state is a goal. A goal must be reachable
	// from every reachable state; a state from which none is reachable is a
	// violation named "goal".
	Goal func(S) bool
	// MaxStates bounds the number of explored states.
	MaxStates int
}

// Violation is a violated invariant with a shortest trace of step names.
type Violation[S comparable] struct {
	Invariant string
	Trace     []string
	State     S
}

// String returns the invariant, the numbered steps and the last state.
func (v *Violation[S]) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "violated: %s", v.Invariant)
	for i, step := range v.Trace {
		fmt.Fprintf(&b, "\n%3d. %s", i+1, step)
	}
	fmt.Fprintf(&b, "\nstate: %+v", v.State)
	return b.String()
}

// Report is the outcome of an exploration.
type Report[S comparable] struct {
	// States and Steps count the distinct states and the transitions.
	States, Steps int
	// Depth is the largest distance of an explored state from the initial one,
	// in steps.
	Depth int
	// Complete reports whether all reachable states were explored.
	Complete bool
	// Violation is nil if no violation was found.
	Violation *Violation[S]
}

// node is one explored state with the step by which it was first reached.
type node[S comparable] struct {
	state S
	// parent is the index of the preceding node; -1 for the initial state.
	parent int
	step   string
	depth  int
}

// explorer holds the explored states in breadth-first order.
type explorer[S comparable] struct {
	model Model[S]
	// index holds the index in nodes of each state.
	index map[S]int
	nodes []node[S]
	// predecessors lists, for each node, the nodes with a step to it. It is
	// filled only if the model has a goal.
	predecessors [][]int
}

// Explore explores the model's reachable states until all are explored, an
// invariant is violated, or MaxStates is exceeded.
func Explore[S comparable](m Model[S]) Report[S] {
	e := &explorer[S]{model: m, index: map[S]int{}}
	var report Report[S]
	if v := e.add(m.Initial, -1, ""); v != nil {
		report.Violation = v
	}
	next := 0
	for next < len(e.nodes) && report.Violation == nil && len(e.nodes) <= m.MaxStates {
		steps, v := e.expand(next)
		report.Steps += steps
		report.Violation = v
		next++
	}
	report.States = len(e.nodes)
	report.Depth = e.nodes[len(e.nodes)-1].depth
	report.Complete = report.Violation == nil && next == len(e.nodes)
	if report.Complete && m.Goal != nil {
		report.Violation = e.checkGoal()
	}
	return report
}

// expand adds the successors of a node. It returns the number of steps from the
// node, and the violation in a successor, if any.
func (e *explorer[S]) expand(at int) (int, *Violation[S]) {
	steps := e.model.Steps(e.nodes[at].state)
	for _, step := range steps {
		if v := e.add(step.To, at, step.Name); v != nil {
			return len(steps), v
		}
	}
	return len(steps), nil
}

// add records a step to a state. If the state is new, it checks the invariants.
func (e *explorer[S]) add(state S, parent int, step string) *Violation[S] {
	at, seen := e.index[state]
	if !seen {
		at = len(e.nodes)
		e.index[state] = at
		depth := 0
		if parent >= 0 {
			depth = e.nodes[parent].depth + 1
		}
		e.nodes = append(e.nodes, node[S]{state: state, parent: parent, step: step, depth: depth})
		e.predecessors = append(e.predecessors, nil)
	}
	if parent >= 0 && e.model.Goal != nil {
		e.predecessors[at] = append(e.predecessors[at], parent)
	}
	if seen {
		return nil
	}
	for _, inv := range e.model.Invariants {
		if !inv.Holds(state) {
			return e.violation(inv.Name, at)
		}
	}
	return nil
}

// violation returns the violation of an invariant in a node, with its trace.
func (e *explorer[S]) violation(name string, at int) *Violation[S] {
	v := &Violation[S]{Invariant: name, State: e.nodes[at].state}
	for n := e.nodes[at]; n.parent >= 0; n = e.nodes[n.parent] {
		v.Trace = append([]string{n.step}, v.Trace...)
	}
	return v
}

// checkGoal searches backwards from the goal states and returns a violation for the
// first state that the search does not reach.
func (e *explorer[S]) checkGoal() *Violation[S] {
	reaches := make([]bool, len(e.nodes))
	var pending []int
	for at, n := range e.nodes {
		if e.model.Goal(n.state) {
			reaches[at] = true
			pending = append(pending, at)
		}
	}
	for len(pending) > 0 {
		at := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, p := range e.predecessors[at] {
			if !reaches[p] {
				reaches[p] = true
				pending = append(pending, p)
			}
		}
	}
	for at, ok := range reaches {
		if !ok {
			return e.violation("goal", at)
		}
	}
	return nil
}

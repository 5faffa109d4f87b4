// Package modelcheck explores all reachable states of a small protocol model,
// breadth first, and checks invariants in each of them. A violation comes with
// a shortest sequence of steps that leads to it.
package modelcheck

import (
	"fmt"
	"strings"
)

// Step is one transition of a model: its name and the state that it leads to.
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
	// Steps returns all transitions of a state. It must be a pure function.
	Steps      func(S) []Step[S]
	Invariants []Invariant[S]
	// Goal, if set, must be reachable from every reachable state; a state
	// that cannot reach it is a violation named "goal".
	Goal func(S) bool
	// MaxStates bounds the exploration.
	MaxStates int
}

// Violation is a broken invariant with a shortest trace of step names.
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
	// Depth is the length of the longest shortest trace.
	Depth int
	// Complete states whether all reachable states were explored.
	Complete bool
	// Violation is nil if every invariant holds.
	Violation *Violation[S]
}

// node is one explored state and how it was first reached.
type node[S comparable] struct {
	state  S
	parent int
	step   string
	depth  int
}

// explorer holds the explored states in breadth-first order.
type explorer[S comparable] struct {
	model Model[S]
	index map[S]int
	nodes []node[S]
	// from lists, for each state, the states with a step to it.
	from [][]int
}

// Explore walks the model's reachable states until all are seen, an invariant
// is broken, or MaxStates is reached.
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

// expand adds the successors of one state.
func (e *explorer[S]) expand(at int) (int, *Violation[S]) {
	steps := e.model.Steps(e.nodes[at].state)
	for _, step := range steps {
		if v := e.add(step.To, at, step.Name); v != nil {
			return len(steps), v
		}
	}
	return len(steps), nil
}

// add records a state and checks the invariants on a new one.
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
		e.from = append(e.from, nil)
	}
	if parent >= 0 && e.model.Goal != nil {
		e.from[at] = append(e.from[at], parent)
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

func (e *explorer[S]) violation(name string, at int) *Violation[S] {
	v := &Violation[S]{Invariant: name, State: e.nodes[at].state}
	for n := e.nodes[at]; n.parent >= 0; n = e.nodes[n.parent] {
		v.Trace = append([]string{n.step}, v.Trace...)
	}
	return v
}

// checkGoal walks backwards from the goal states and reports the first state
// that it does not meet.
func (e *explorer[S]) checkGoal() *Violation[S] {
	reaches := make([]bool, len(e.nodes))
	var work []int
	for at, n := range e.nodes {
		if e.model.Goal(n.state) {
			reaches[at] = true
			work = append(work, at)
		}
	}
	for len(work) > 0 {
		at := work[len(work)-1]
		work = work[:len(work)-1]
		for _, before := range e.from[at] {
			if !reaches[before] {
				reaches[before] = true
				work = append(work, before)
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

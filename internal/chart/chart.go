// Package chart loads, validates and runs state charts written in YAML.
//
// A chart is a pure transition table: states, events, and for each state the
// next state and the action names of each event that it handles. Events that a
// state ignores are listed under "ignore", so that the validation can tell an
// ignored event from a missing transition.
package chart

import (
	"bytes"
	"fmt"
	"io/fs"
	"sort"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Action names an action that the owner of a machine runs on a transition.
type Action string

// Transition is the reaction of one state to one event.
type Transition struct {
	// To is the next state; it may be the same state.
	To State `yaml:"to"`
	// Do lists the actions in the order in which they run.
	Do []Action `yaml:"do"`
}

// StateSpec defines one state of a chart.
type StateSpec struct {
	// Final marks a state without outgoing transitions.
	Final bool `yaml:"final"`
	// On maps each handled event to its transition.
	On map[Event]Transition `yaml:"on"`
	// Ignore lists the events that leave the state unchanged.
	Ignore []Event `yaml:"ignore"`
}

// Chart is a validated state chart.
type Chart struct {
	Name    string              `yaml:"name"`
	Initial State               `yaml:"initial"`
	Events  []Event             `yaml:"events"`
	States  map[State]StateSpec `yaml:"states"`
	// Invariants describes the conditions that hold in every reachable state.
	// They are prose; the model-checking tests refer to them.
	Invariants []string `yaml:"invariants"`
}

// Load reads and validates the named chart from its file, whose name has the
// suffix ".yaml".
func Load(files fs.FS, name string) (*Chart, error) {
	data, err := fs.ReadFile(files, name+".yaml")
	if err != nil {
		return nil, trace.Wrap(err, "reading chart %q", name)
	}
	return Parse(data)
}

// Parse decodes and validates a chart. Unknown fields are errors.
func Parse(data []byte) (*Chart, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var c Chart
	if err := decoder.Decode(&c); err != nil {
		return nil, trace.Wrap(err, "decoding chart")
	}
	if err := c.check(); err != nil {
		return nil, trace.Wrap(err, "validating chart %q", c.Name)
	}
	return &c, nil
}

// Next returns the transition of state on event. For an ignored event, or any
// event in a final state, it returns a transition to the same state without
// actions. An event that the state neither handles nor ignores is an error.
func (c *Chart) Next(state State, event Event) (Transition, error) {
	spec, ok := c.States[state]
	if !ok {
		return Transition{}, trace.BadParameter("chart %q has no state %q", c.Name, state)
	}
	if t, ok := spec.On[event]; ok {
		return t, nil
	}
	if spec.Final || contains(spec.Ignore, event) {
		return Transition{To: state}, nil
	}
	return Transition{}, trace.BadParameter("chart %q: state %q does not handle event %q", c.Name, state, event)
}

// Final reports whether state is final.
func (c *Chart) Final(state State) bool { return c.States[state].Final }

// check verifies that all references are declared, that every non-final state
// either handles or ignores every event, and that all states are reachable.
func (c *Chart) check() error {
	if _, ok := c.States[c.Initial]; !ok {
		return trace.BadParameter("initial state %q is not declared", c.Initial)
	}
	for _, name := range c.stateNames() {
		if err := c.checkState(name, c.States[name]); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkState(name State, spec StateSpec) error {
	if spec.Final {
		if len(spec.On)+len(spec.Ignore) > 0 {
			return trace.BadParameter("final state %q has transitions", name)
		}
		return nil
	}
	for event, t := range spec.On {
		if !contains(c.Events, event) {
			return trace.BadParameter("state %q handles undeclared event %q", name, event)
		}
		if _, ok := c.States[t.To]; !ok {
			return trace.BadParameter("state %q goes to undeclared state %q on %q", name, t.To, event)
		}
	}
	for _, event := range c.Events {
		_, handled := spec.On[event]
		if handled == contains(spec.Ignore, event) {
			return trace.BadParameter("state %q must either handle or ignore event %q", name, event)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	seen := map[State]bool{c.Initial: true}
	queue := []State{c.Initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, t := range c.States[state].On {
			if !seen[t.To] {
				seen[t.To] = true
				queue = append(queue, t.To)
			}
		}
	}
	for _, name := range c.stateNames() {
		if !seen[name] {
			return trace.BadParameter("state %q is unreachable", name)
		}
	}
	return nil
}

func (c *Chart) stateNames() []State {
	names := make([]State, 0, len(c.States))
	for name := range c.States {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

func contains(events []Event, event Event) bool {
	for _, e := range events {
		if e == event {
			return true
		}
	}
	return false
}

// Machine runs a chart and holds its current state. It is not safe for concurrent
// use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart) NewMachine() *Machine { return &Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Done reports whether the machine is in a final state.
func (m *Machine) Done() bool { return m.chart.Final(m.state) }

// Fire makes the transition on event and returns its actions, which the caller
// runs.
func (m *Machine) Fire(event Event) ([]Action, error) {
	t, err := m.chart.Next(m.state, event)
	if err != nil {
		return nil, fmt.Errorf("firing %q: %w", event, err)
	}
	m.state = t.To
	return t.Do, nil
}

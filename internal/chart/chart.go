// Package chart loads, checks and runs state charts written in YAML.
//
// A chart is a pure transition table: states, events, and for each state the
// next state and the action names of each event that it handles. An event that
// a state ignores on purpose is listed under "ignore", so that the check can
// tell an ignored event from a forgotten one.
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

// Action names something that the interpreter's owner does on a transition.
type Action string

// Transition is what one state does on one event.
type Transition struct {
	// To is the next state; the same state is allowed.
	To State `yaml:"to"`
	// Do lists the actions in order.
	Do []Action `yaml:"do"`
}

// StateSpec is one state of a chart file.
type StateSpec struct {
	// Final marks a state without outgoing transitions.
	Final bool `yaml:"final"`
	// On maps each handled event to its transition.
	On map[Event]Transition `yaml:"on"`
	// Ignore lists the events that leave the state unchanged.
	Ignore []Event `yaml:"ignore"`
}

// Chart is a checked state chart.
type Chart struct {
	Name    string              `yaml:"name"`
	Initial State               `yaml:"initial"`
	Events  []Event             `yaml:"events"`
	States  map[State]StateSpec `yaml:"states"`
	// Invariants states in prose what must hold in every reachable state;
	// the model-checking tests name them.
	Invariants []string `yaml:"invariants"`
}

// Load reads and checks NAME.yaml from files.
func Load(files fs.FS, name string) (*Chart, error) {
	data, err := fs.ReadFile(files, name+".yaml")
	if err != nil {
		return nil, trace.Wrap(err, "reading chart %q", name)
	}
	return Parse(data)
}

// Parse decodes and checks a chart. Unknown fields are errors.
func Parse(data []byte) (*Chart, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var c Chart
	if err := decoder.Decode(&c); err != nil {
		return nil, trace.Wrap(err, "decoding chart")
	}
	if err := c.check(); err != nil {
		return nil, trace.Wrap(err, "chart %q", c.Name)
	}
	return &c, nil
}

// Next returns the transition of state on event. An ignored event gives a
// transition to the same state without actions; an event that the chart does
// not declare for the state is an error.
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

// Final states whether state ends the chart.
func (c *Chart) Final(state State) bool { return c.States[state].Final }

// check verifies references, reachability and that every non-final state
// handles or ignores every event.
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
	work := []State{c.Initial}
	for len(work) > 0 {
		state := work[0]
		work = work[1:]
		for _, t := range c.States[state].On {
			if !seen[t.To] {
				seen[t.To] = true
				work = append(work, t.To)
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

// Machine runs a chart for one subject. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart) NewMachine() *Machine { return &Machine{chart: c, state: c.Initial} }

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Done states whether the machine is in a final state.
func (m *Machine) Done() bool { return m.chart.Final(m.state) }

// Fire takes the transition of event and returns its actions.
func (m *Machine) Fire(event Event) ([]Action, error) {
	t, err := m.chart.Next(m.state, event)
	if err != nil {
		return nil, fmt.Errorf("firing %q: %w", event, err)
	}
	m.state = t.To
	return t.Do, nil
}

package ledger

import (
	"fmt"
	"testing"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/modelcheck"
)

// Bounds of the model: two instances with one call each on one key, writes
// that arrive arbitrarily late, and pauses of any length between two steps.
const (
	modelHolders = 2
	modelWrites  = 2
	modelStates  = 3_000_000
)

// phase is what a holder of the model is doing.
type phase uint8

const (
	idle phase = iota
	claiming
	unknown
	holding
	sending
	ending
	abandoned
	finished
)

// modelWrite is a commit in flight; the zero event is a free slot.
type modelWrite struct {
	event  chart.Event
	expect uint8
	// awaited reports whether the instance still waits for the response.
	awaited bool
}

// holder is one instance's call.
type holder struct {
	phase  phase
	expect uint8
	// inTransit reports whether the call is on its way to the upstream.
	inTransit, executed, reportedNotRun bool
	writes                              [modelWrites]modelWrite
}

// claimState is a state of the model; claim is the index of the holder whose claim
// the row has, plus one.
type claimState struct {
	row     chart.State
	claim   uint8
	version uint8
	holders [modelHolders]holder
}

// claimModel interprets charts/claim.yaml; each of its switches disables one
// mechanism.
type claimModel struct {
	chart *chart.Chart
	// takeOver lets a holder claim a claimed row.
	takeOver bool
	// unconditional drops the condition of writes.
	unconditional bool
	// sendUnknown sends although the outcome of the claim's write is unknown.
	sendUnknown bool
	// deletesEarly lets the row be deleted at any time instead of after
	// Options.KeyRetention.
	deletesEarly bool
}

type claimStep = modelcheck.Step[claimState]

// commit applies a write to the row and reports whether it took effect.
func (m claimModel) commit(s *claimState, i int, w modelWrite) bool {
	if w.expect != s.version && !m.unconditional {
		return false
	}
	t, err := m.chart.Next(s.row, w.event)
	if err != nil {
		return false
	}
	s.row, s.claim = t.To, uint8(i+1)
	s.version++
	return true
}

// startWrite puts a write in flight. Without a free slot it returns false, and the
// step is omitted.
func (h *holder) startWrite(event chart.Event, expect uint8) bool {
	for i := range h.writes {
		if h.writes[i].event == "" {
			h.writes[i] = modelWrite{event: event, expect: expect, awaited: true}
			h.expect = expect
			return true
		}
	}
	return false
}

func (m claimModel) steps(s claimState) []claimStep {
	var steps []claimStep
	add := func(name string, i int, change func(*claimState, *holder) bool) {
		to := s
		if change(&to, &to.holders[i]) {
			steps = append(steps, claimStep{Name: fmt.Sprintf("instance %d: %s", i, name), To: to})
		}
	}
	for i := range s.holders {
		m.holderSteps(s.holders[i], func(name string, change func(*claimState, *holder) bool) { add(name, i, change) })
		for slot, w := range s.holders[i].writes {
			if w.event != "" {
				m.writeSteps(i, slot, w, func(name string, change func(*claimState, *holder) bool) { add(name, i, change) })
			}
		}
	}
	aged, err := m.chart.Next(s.row, eventAge)
	if err == nil && aged.To != s.row {
		to := s
		to.row, to.version = aged.To, s.version+1
		steps = append(steps, claimStep{Name: "sweeper ages the row", To: to})
	}
	if gone, err := m.chart.Next(s.row, eventForget); m.deletesEarly && err == nil && gone.To == stateAbsent && s.row != stateAbsent {
		to := s
		to.row, to.claim, to.version = stateAbsent, 0, 0
		steps = append(steps, claimStep{Name: "sweeper deletes the row", To: to})
	}
	return steps
}

// holderSteps are the steps that an instance takes by itself.
func (m claimModel) holderSteps(h holder, add func(string, func(*claimState, *holder) bool)) {
	if h.inTransit {
		add("upstream executes", func(_ *claimState, h *holder) bool { h.inTransit, h.executed = false, true; return true })
		add("call is lost", func(_ *claimState, h *holder) bool { h.inTransit = false; return true })
	}
	if h.phase != finished && h.phase != idle {
		add("crashes", func(_ *claimState, h *holder) bool { h.phase = finished; return true })
	}
	end := func(event chart.Event) func(*claimState, *holder) bool {
		return func(_ *claimState, h *holder) bool { h.phase = ending; return h.startWrite(event, h.expect) }
	}
	switch h.phase {
	case idle:
		add("begins", func(_ *claimState, h *holder) bool { h.phase = claiming; return h.startWrite(eventBegin, 0) })
	case unknown:
		add("commits again", func(_ *claimState, h *holder) bool { h.phase = claiming; return h.startWrite(eventBegin, h.expect) })
		add("abandons the claim", func(_ *claimState, h *holder) bool {
			h.phase, h.reportedNotRun = abandoned, true
			return h.startWrite(eventRefuse, h.expect)
		})
		if m.sendUnknown {
			add("sends without a response to its claim", func(_ *claimState, h *holder) bool { h.phase, h.inTransit = sending, true; return true })
		}
	case holding:
		add("sends", func(_ *claimState, h *holder) bool { h.phase, h.inTransit = sending, true; return true })
		add("does not send", func(s *claimState, h *holder) bool { h.reportedNotRun = true; return end(eventRefuse)(s, h) })
	case sending:
		if h.executed {
			add("gets the answer", end(eventFinish))
		}
		add("loses the upstream", end(eventLose))
	}
}

// writeSteps are the possible continuations of a commit in flight.
func (m claimModel) writeSteps(i, slot int, w modelWrite, add func(string, func(*claimState, *holder) bool)) {
	name := string(w.event)
	add(name+" is answered", func(s *claimState, h *holder) bool {
		if !w.awaited {
			return false
		}
		h.writes[slot] = modelWrite{}
		wrote := m.commit(s, i, w)
		return m.receive(s, i, w, wrote)
	})
	add(name+" is not answered yet", func(_ *claimState, h *holder) bool {
		h.writes[slot].awaited = false
		if h.phase == claiming && w.event == eventBegin {
			h.phase = unknown
		}
		return w.awaited
	})
	add(name+" takes effect after its timeout", func(s *claimState, h *holder) bool {
		h.writes[slot] = modelWrite{}
		m.commit(s, i, w)
		return !w.awaited
	})
	add(name+" is lost", func(_ *claimState, h *holder) bool { h.writes[slot] = modelWrite{}; return !w.awaited })
}

// receive handles the response to a write of an instance.
func (m claimModel) receive(s *claimState, i int, w modelWrite, wrote bool) bool {
	h := &s.holders[i]
	own := s.claim == uint8(i+1)
	switch {
	case h.phase == claiming && w.event == eventBegin && (wrote || own && s.row == stateClaimed):
		h.phase, h.expect = holding, s.version
	case h.phase == claiming && w.event == eventBegin:
		t, err := m.chart.Next(s.row, eventBegin)
		if err == nil && (t.To == stateClaimed && s.row != stateClaimed || m.takeOver && s.row == stateClaimed) {
			return h.startWrite(eventBegin, s.version)
		}
		h.phase = finished
	case !wrote && own && (h.phase == abandoned || h.phase == ending) && w.event != eventBegin && s.version != w.expect:
		t, err := m.chart.Next(s.row, w.event)
		if err == nil && t.To != s.row {
			return h.startWrite(w.event, s.version)
		}
	}
	return true
}

func (m claimModel) explore() modelcheck.Report[claimState] {
	executions := func(s claimState) int {
		n := 0
		for _, h := range s.holders {
			if h.executed || h.inTransit {
				n++
			}
		}
		return n
	}
	return modelcheck.Explore(modelcheck.Model[claimState]{
		Initial: claimState{row: m.chart.Initial},
		Steps:   m.steps,
		Invariants: []modelcheck.Invariant[claimState]{
			{Name: "at most one execution", Holds: func(s claimState) bool { return executions(s) <= 1 }},
			{Name: "a call reported as not run was not executed", Holds: func(s claimState) bool {
				for _, h := range s.holders {
					if h.reportedNotRun && (h.executed || h.inTransit) {
						return false
					}
				}
				return true
			}},
			{Name: "a claimable row has no call in flight", Holds: func(s claimState) bool {
				return s.row != stateNotRun || executions(s) == 0
			}},
		},
		MaxStates: modelStates,
	})
}

func loadClaimChart(t *testing.T) *chart.Chart {
	t.Helper()
	c, err := chart.Load(charts.FS, "claim")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestModelOfClaim checks the invariants in all states of the model.
func TestModelOfClaim(t *testing.T) {
	t.Parallel()
	r := claimModel{chart: loadClaimChart(t)}.explore()
	t.Logf("%d states, %d steps, depth %d, complete %v", r.States, r.Steps, r.Depth, r.Complete)
	if r.Violation != nil || !r.Complete {
		t.Fatalf("complete %v, %v", r.Complete, r.Violation)
	}
}

// TestModelOfClaimNeedsEachMechanism checks that the model finds a violation
// when one mechanism is disabled.
func TestModelOfClaimNeedsEachMechanism(t *testing.T) {
	c := loadClaimChart(t)
	for name, m := range map[string]claimModel{
		"claim taken over":      {chart: c, takeOver: true},
		"write without version": {chart: c, unconditional: true},
		"send before answer":    {chart: c, sendUnknown: true},
		"row deleted early":     {chart: c, deletesEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := m.explore()
			if r.Violation == nil {
				t.Fatalf("no violation in %d states", r.States)
			}
			t.Logf("%d states\n%v", r.States, r.Violation)
		})
	}
}

package order

import (
	"fmt"
	"testing"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/modelcheck"
)

// Bounds of the model: two instances that alternately hold the lease, one engine,
// one change of the declared version, and one order in flight per instance. The
// lease may expire at any time, also between a holder's last check of it and its
// order, which may arrive arbitrarily late or never.
const (
	modelInstances = 2
	modelFences    = 3
	modelVersions  = 2
)

// message is an order in flight; the zero value is none.
type message struct{ fence, version uint8 }

// issuer is one instance.
type issuer struct {
	state chart.State
	fence uint8
	// checked is set between the last check of the lease and the sending of the
	// order.
	checked  bool
	inFlight message
}

// orderState is a state of the model.
type orderState struct {
	// fence and holder are the token and the holder of the newest lease; leased
	// is false once it has expired.
	fence    uint8
	holder   uint8
	leased   bool
	declared uint8
	issuers  [modelInstances]issuer
	// engine is the version that the engine has; highest is the highest token
	// that it has seen, and regressed is set once it has executed an order with
	// an older one.
	engine, highest uint8
	regressed       bool
}

// orderModel is the protocol; each flag changes one rule.
type orderModel struct {
	chart *chart.Chart
	// ignoresTokens is set if the engine ignores tokens.
	ignoresTokens bool
	// skipsObservation is set if a holder sends orders until one has arrived,
	// whatever version the engine has then.
	skipsObservation bool
}

type orderStep = modelcheck.Step[orderState]

func (m orderModel) steps(s orderState) []orderStep {
	var steps []orderStep
	add := func(name string, change func(*orderState)) {
		to := s
		change(&to)
		steps = append(steps, orderStep{Name: name, To: to})
	}
	if s.declared < modelVersions {
		add("a new version is declared", func(to *orderState) { to.declared++ })
	}
	if s.leased {
		add("the lease expires", func(to *orderState) { to.leased = false })
	}
	for i := range s.issuers {
		if !s.leased && s.fence < modelFences {
			add(fmt.Sprintf("instance %d acquires the lease", i), func(to *orderState) {
				to.fence, to.holder, to.leased = s.fence+1, uint8(i), true
			})
		}
		m.issuerSteps(s, i, func(name string, change func(*orderState, *issuer)) {
			add(fmt.Sprintf("instance %d %s", i, name), func(to *orderState) { change(to, &to.issuers[i]) })
		})
	}
	return steps
}

func (m orderModel) issuerSteps(s orderState, i int, add func(string, func(*orderState, *issuer))) {
	is := s.issuers[i]
	holds := s.leased && s.holder == uint8(i)
	fire := func(name string, event chart.Event) {
		t, err := m.chart.Next(is.state, event)
		if err == nil && (t.To != is.state || len(t.Do) > 0) {
			add(name, func(_ *orderState, is *issuer) {
				is.state, is.fence = t.To, 0
				if holds {
					is.fence = s.fence
				}
			})
		}
	}
	if holds && is.fence != s.fence {
		fire("sees that it holds the lease", eventLeaseAcquired)
	}
	if holds && is.fence == s.fence {
		fire("has waited for older orders", eventWaited)
	}
	if !holds {
		fire("sees that its lease expired", eventLeaseExpired)
	}
	mayOrder := is.state == stateOrdering || is.state == stateWaiting && !m.ignoresTokens
	missing := s.engine != s.declared
	if m.skipsObservation {
		missing = s.highest < s.fence
	}
	if holds && is.fence == s.fence && mayOrder && missing && !is.checked && is.inFlight == (message{}) {
		add("decides to send an order", func(_ *orderState, is *issuer) { is.checked = true })
	}
	if is.checked {
		add("sends the order", func(to *orderState, is *issuer) {
			is.checked, is.inFlight = false, message{is.fence, to.declared}
		})
	}
	if is.inFlight != (message{}) {
		add("loses its order", func(_ *orderState, is *issuer) { is.inFlight = message{} })
		add("has its order arrive", func(to *orderState, is *issuer) { m.arrive(to, is) })
	}
}

// arrive executes an order at the engine, or refuses it.
func (m orderModel) arrive(s *orderState, is *issuer) {
	o := is.inFlight
	is.inFlight = message{}
	if !m.ignoresTokens && o.fence < s.highest {
		if t, err := m.chart.Next(is.state, eventFenced); err == nil && is.fence == o.fence {
			is.state = t.To
		}
		return
	}
	s.regressed = s.regressed || o.fence < s.highest
	s.highest = max(s.highest, o.fence)
	s.engine = o.version
}

func (m orderModel) explore() modelcheck.Report[orderState] {
	initial := orderState{declared: 1}
	for i := range initial.issuers {
		initial.issuers[i].state = m.chart.Initial
	}
	return modelcheck.Explore(modelcheck.Model[orderState]{
		Initial: initial,
		Steps:   m.steps,
		Invariants: []modelcheck.Invariant[orderState]{
			{Name: "no order with an older token is executed", Holds: func(s orderState) bool { return m.ignoresTokens || !s.regressed }},
		},
		// Under the last lease of the bound the engine reaches the declared
		// state, whatever older orders do.
		Goal: func(s orderState) bool {
			return s.fence == modelFences && (!s.leased || s.engine == modelVersions)
		},
		MaxStates: 2_000_000,
	})
}

// exploreLateOrder explores the states in which the last lease does not expire
// while an order of the previous holder is in flight: from each of them the
// engine must be able to reach the declared state.
func (m orderModel) exploreLateOrder() modelcheck.Report[orderState] {
	initial := orderState{declared: modelVersions, fence: modelFences, leased: true}
	for i := range initial.issuers {
		initial.issuers[i].state = m.chart.Initial
	}
	initial.issuers[1].inFlight = message{modelFences - 1, modelVersions - 1}
	return modelcheck.Explore(modelcheck.Model[orderState]{
		Initial: initial,
		Steps: func(s orderState) []orderStep {
			var kept []orderStep
			for _, step := range m.steps(s) {
				if step.To.leased {
					kept = append(kept, step)
				}
			}
			return kept
		},
		Goal: func(s orderState) bool {
			return s.engine == modelVersions && s.issuers[1].inFlight == (message{})
		},
		MaxStates: 2_000_000,
	})
}

// TestModelOfOrders checks the order protocol exhaustively within the bounds, and
// that the check finds a violation if holders do not observe the engine: then the
// late order of a previous holder would remain in effect.
func TestModelOfOrders(t *testing.T) {
	c, err := chart.Load(charts.FS, "order")
	if err != nil {
		t.Fatal(err)
	}
	for name, m := range map[string]orderModel{"honours tokens": {chart: c}, "ignores tokens": {chart: c, ignoresTokens: true}} {
		for _, r := range []modelcheck.Report[orderState]{m.explore(), m.exploreLateOrder()} {
			t.Logf("%s: %d states, %d steps, depth %d", name, r.States, r.Steps, r.Depth)
			if !r.Complete || r.Violation != nil {
				t.Errorf("%s: complete %v, %v", name, r.Complete, r.Violation)
			}
		}
	}
	if r := (orderModel{chart: c, ignoresTokens: true, skipsObservation: true}).exploreLateOrder(); r.Violation == nil {
		t.Errorf("orders without observation: no violation in %d states", r.States)
	} else {
		t.Logf("orders without observation: %v", r.Violation)
	}
}

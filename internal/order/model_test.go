package order

import (
	"fmt"
	"testing"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/modelcheck"
)

// Bounds of the model: two instances that hold the lease in turn, one engine,
// one change of the declared version, and one order under way per instance.
// The lease lapses at any moment, also between a holder's last check of it and
// its order, which may arrive arbitrarily late or never.
const (
	modelInstances = 2
	modelFences    = 3
	modelVersions  = 2
)

// message is an order under way; zero is none.
type message struct{ fence, version uint8 }

// issuer is one instance.
type issuer struct {
	state chart.State
	fence uint8
	// checked is set between the last check of the lease and the order.
	checked bool
	wire    message
}

// orderState is a state of the model.
type orderState struct {
	// fence is the newest lease's token and holder who has it; leased is
	// false after it has lapsed.
	fence    uint8
	holder   uint8
	leased   bool
	declared uint8
	issuers  [modelInstances]issuer
	// engine is the version that the engine has; highest is the highest
	// token that it has seen, and regressed whether it carried out an order
	// with an older one.
	engine, highest uint8
	regressed       bool
}

// orderModel is the protocol; its switches change one rule each.
type orderModel struct {
	chart *chart.Chart
	// ignores: the engine ignores tokens.
	ignores bool
	// once: a holder orders each version once and does not observe.
	once bool
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
		add("the lease lapses", func(to *orderState) { to.leased = false })
	}
	for i := range s.issuers {
		if !s.leased && s.fence < modelFences {
			add(fmt.Sprintf("instance %d takes the lease", i), func(to *orderState) {
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
		fire("sees its lease", eventAcquired)
	}
	if holds && is.fence == s.fence {
		fire("has waited", eventSpaced)
	}
	if !holds {
		fire("sees that it lapsed", eventLapsed)
	}
	may := is.state == stateOrdering || is.state == stateSpacing && !m.ignores
	missing := s.engine != s.declared
	if m.once {
		missing = s.highest < s.fence
	}
	if holds && is.fence == s.fence && may && missing && !is.checked && is.wire == (message{}) {
		add("decides to order", func(_ *orderState, is *issuer) { is.checked = true })
	}
	if is.checked {
		add("sends", func(to *orderState, is *issuer) {
			is.checked, is.wire = false, message{is.fence, to.declared}
		})
	}
	if is.wire != (message{}) {
		add("loses its order", func(_ *orderState, is *issuer) { is.wire = message{} })
		add("has its order arrive", func(to *orderState, is *issuer) { m.arrive(to, is) })
	}
}

// arrive carries an order out, or the engine refuses it.
func (m orderModel) arrive(s *orderState, is *issuer) {
	o := is.wire
	is.wire = message{}
	if !m.ignores && o.fence < s.highest {
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
			{Name: "no order with an older token is carried out", Holds: func(s orderState) bool { return m.ignores || !s.regressed }},
		},
		// While the last lease of the bound holds, the engine gets to the
		// declared state whatever older orders do.
		Goal: func(s orderState) bool {
			return s.fence == modelFences && (!s.leased || s.engine == modelVersions)
		},
		MaxStates: 2_000_000,
	})
}

// stuck explores the states in which the last lease does not lapse while an
// order of the holder before is under way: the engine must not be kept from the
// declared state for good.
func (m orderModel) stuck() modelcheck.Report[orderState] {
	initial := orderState{declared: modelVersions, fence: modelFences, leased: true}
	for i := range initial.issuers {
		initial.issuers[i].state = m.chart.Initial
	}
	initial.issuers[1].wire = message{modelFences - 1, modelVersions - 1}
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
			return s.engine == modelVersions && s.issuers[1].wire == (message{})
		},
		MaxStates: 2_000_000,
	})
}

func TestModelOfOrders(t *testing.T) {
	c, err := chart.Load(charts.FS, "order")
	if err != nil {
		t.Fatal(err)
	}
	for name, m := range map[string]orderModel{"honours tokens": {chart: c}, "ignores tokens": {chart: c, ignores: true}} {
		for _, r := range []modelcheck.Report[orderState]{m.explore(), m.stuck()} {
			t.Logf("%s: %d states, %d steps, depth %d", name, r.States, r.Steps, r.Depth)
			if !r.Complete || r.Violation != nil {
				t.Errorf("%s: complete %v, %v", name, r.Complete, r.Violation)
			}
		}
	}
	if r := (orderModel{chart: c, ignores: true, once: true}).stuck(); r.Violation == nil {
		t.Errorf("orders without observation: no violation in %d states", r.States)
	} else {
		t.Logf("orders without observation: %v", r.Violation)
	}
}

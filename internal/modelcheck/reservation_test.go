package modelcheck

import (
	"fmt"
	"testing"
)

// Bounds of the reservation model: two prompts from two instances that each
// need a part on each of three engines, and one short request at a time on
// each engine. An engine has two units of memory; a part needs two, a short
// request one.
const (
	reservePrompts = 2
	reserveEngines = 3
	engineUnits    = 2
	partUnits      = 2
)

type promptPhase uint8

const (
	acquiring promptPhase = iota
	running
	releasing
	finished
	crashed
)

// promptState is one prompt: its phase, how many parts it has requested, and
// which engines hold a part for it.
type promptState struct {
	phase promptPhase
	next  uint8
	held  [reserveEngines]bool
}

// reserveState is the state of all prompts, and the engines' short requests.
type reserveState struct {
	prompts [reservePrompts]promptState
	short   [reserveEngines]bool
}

func (s reserveState) free(engine int) int {
	free := engineUnits
	if s.short[engine] {
		free--
	}
	for _, p := range s.prompts {
		if p.held[engine] {
			free -= partUnits
		}
	}
	return free
}

// reserveModel is the protocol of package gang; its switches change one rule
// each.
type reserveModel struct {
	// anyOrder lets the second prompt reserve in the opposite order.
	anyOrder bool
	// keepsParts never releases held parts while it waits for another.
	keepsParts bool
	// crashes lets owners crash at any moment.
	crashes bool
	// noDeadline never releases the parts of a crashed owner.
	noDeadline bool
}

// engine returns the engine of a prompt's n-th part.
func (m reserveModel) engine(prompt, n int) int {
	if m.anyOrder && prompt == 1 {
		return reserveEngines - 1 - n
	}
	return n
}

func (m reserveModel) steps(s reserveState) []Step[reserveState] {
	var steps []Step[reserveState]
	add := func(name string, change func(*reserveState)) {
		to := s
		change(&to)
		steps = append(steps, Step[reserveState]{Name: name, To: to})
	}
	for e := range s.short {
		if s.short[e] {
			add(fmt.Sprint("short request ends on ", e), func(to *reserveState) { to.short[e] = false })
		} else if s.free(e) > 0 {
			add(fmt.Sprint("short request starts on ", e), func(to *reserveState) { to.short[e] = true })
		}
	}
	for i := range s.prompts {
		m.promptSteps(s, i, func(name string, change func(*promptState)) {
			add(fmt.Sprintf("prompt %d %s", i, name), func(to *reserveState) { change(&to.prompts[i]) })
		})
	}
	return steps
}

func (m reserveModel) promptSteps(s reserveState, i int, add func(string, func(*promptState))) {
	p := s.prompts[i]
	freeOne := func(name string) {
		for e, held := range p.held {
			if held {
				add(fmt.Sprint(name, " ", e), func(p *promptState) { p.held[e] = false })
			}
		}
	}
	switch p.phase {
	case acquiring:
		if p.next == reserveEngines {
			add("has all parts", func(p *promptState) { p.phase = running })
			break
		}
		e := m.engine(i, int(p.next))
		if s.free(e) >= partUnits {
			add(fmt.Sprint("reserves on ", e), func(p *promptState) { p.held[e] = true; p.next++ })
			add(fmt.Sprint("reserves without a response on ", e), func(p *promptState) { p.held[e] = true; p.phase = releasing })
		}
		if p.next > 0 && !m.keepsParts {
			add("releases its parts", func(p *promptState) { p.phase = releasing })
		}
	case running:
		add("ends", func(p *promptState) { p.phase = finished })
	case releasing, finished:
		freeOne("releases on")
		if p.held == [reserveEngines]bool{} && p.phase == releasing {
			add("retries", func(p *promptState) { *p = promptState{} })
		}
	case crashed:
		if !m.noDeadline {
			freeOne("meets its deadline on")
		}
	}
	if m.crashes && p.phase < finished {
		add("crashes", func(p *promptState) { p.phase = crashed })
	}
}

func (m reserveModel) explore() Report[reserveState] {
	return Explore(Model[reserveState]{
		Steps: m.steps,
		Invariants: []Invariant[reserveState]{
			{Name: "memory is not overcommitted", Holds: func(s reserveState) bool {
				for e := range s.short {
					if s.free(e) < 0 {
						return false
					}
				}
				return true
			}},
			{Name: "a prompt runs with all of its parts", Holds: func(s reserveState) bool {
				for _, p := range s.prompts {
					if p.phase == running && p.held != [reserveEngines]bool{true, true, true} {
						return false
					}
				}
				return true
			}},
		},
		Goal: func(s reserveState) bool {
			for e := range s.short {
				if s.free(e) != engineUnits {
					return false
				}
			}
			return s.prompts[0].phase >= finished && s.prompts[1].phase >= finished
		},
		MaxStates: 1_000_000,
	})
}

// TestModelOfReservation checks the protocol with and without the release of held parts:
// one global order alone must exclude deadlock, without a crash of an owner
// to end it.
func TestModelOfReservation(t *testing.T) {
	for name, m := range map[string]reserveModel{
		"gives parts up": {}, "keeps parts": {keepsParts: true}, "owners die": {crashes: true},
	} {
		r := m.explore()
		t.Logf("%s: %d states, %d steps, depth %d", name, r.States, r.Steps, r.Depth)
		if !r.Complete || r.Violation != nil {
			t.Errorf("%s: complete %v, %v", name, r.Complete, r.Violation)
		}
	}
}

func TestModelOfReservationNeedsEachMechanism(t *testing.T) {
	for name, m := range map[string]reserveModel{
		"no common order": {anyOrder: true, keepsParts: true},
		"no deadline":     {crashes: true, noDeadline: true},
	} {
		r := m.explore()
		if r.Violation == nil {
			t.Errorf("%s: no violation in %d states", name, r.States)
			continue
		}
		t.Logf("%s: %d states\n%v", name, r.States, r.Violation)
	}
}

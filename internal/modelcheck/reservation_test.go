package modelcheck

import (
	"fmt"
	"testing"
)

// Bounds of the reservation model: two prompts from two instances, each of which
// needs a part on each of three engines, and at most one short request at a time on
// each engine. An engine has two units of memory; a part needs two, a short request
// one.
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

// promptState is the state of one prompt: its phase, the number of parts requested
// so far, and which engines hold a part for it.
type promptState struct {
	phase     promptPhase
	requested uint8
	held      [reserveEngines]bool
}

// reserveState is the state of all prompts and of the engines' short requests.
type reserveState struct {
	prompts [reservePrompts]promptState
	short   [reserveEngines]bool
}

// free returns the free memory units of an engine.
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

// reserveModel models the reservation protocol of package gang. Each field changes
// one rule.
type reserveModel struct {
	// oppositeOrder makes the second prompt reserve in the opposite order.
	oppositeOrder bool
	// keepsParts keeps the held parts while a prompt waits for another part.
	keepsParts bool
	// crashes lets owners crash at any moment.
	crashes bool
	// noDeadline disables the deadline that releases the parts of a crashed owner.
	noDeadline bool
}

// engine returns the engine of a prompt's n-th part.
func (m reserveModel) engine(prompt, n int) int {
	if m.oppositeOrder && prompt == 1 {
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
	releaseOne := func(name string) {
		for e, held := range p.held {
			if held {
				add(fmt.Sprint(name, " ", e), func(p *promptState) { p.held[e] = false })
			}
		}
	}
	switch p.phase {
	case acquiring:
		if p.requested == reserveEngines {
			add("has all parts", func(p *promptState) { p.phase = running })
			break
		}
		e := m.engine(i, int(p.requested))
		if s.free(e) >= partUnits {
			add(fmt.Sprint("reserves on ", e), func(p *promptState) { p.held[e] = true; p.requested++ })
			add(fmt.Sprint("reserves with a lost response on ", e), func(p *promptState) { p.held[e] = true; p.phase = releasing })
		}
		if p.requested > 0 && !m.keepsParts {
			add("releases its parts", func(p *promptState) { p.phase = releasing })
		}
	case running:
		add("ends", func(p *promptState) { p.phase = finished })
	case releasing, finished:
		releaseOne("releases on")
		if p.held == [reserveEngines]bool{} && p.phase == releasing {
			add("retries", func(p *promptState) { *p = promptState{} })
		}
	case crashed:
		if !m.noDeadline {
			releaseOne("releases at its deadline on")
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

// TestModelOfReservation checks that no prompt runs without all of its parts, that
// memory is not overcommitted and that all prompts can end. The global order of
// engines alone must prevent deadlock, even if a prompt keeps its parts while it waits
// for another and no owner crashes, which would free parts.
func TestModelOfReservation(t *testing.T) {
	for name, m := range map[string]reserveModel{
		"held parts released": {}, "held parts kept": {keepsParts: true}, "owners crash": {crashes: true},
	} {
		r := m.explore()
		t.Logf("%s: %d states, %d steps, depth %d", name, r.States, r.Steps, r.Depth)
		if !r.Complete || r.Violation != nil {
			t.Errorf("%s: complete %v, violation %v", name, r.Complete, r.Violation)
		}
	}
}

// TestModelOfReservationNeedsEachMechanism checks that the model finds a violation
// without the global order of engines, or without the deadline of reservations.
func TestModelOfReservationNeedsEachMechanism(t *testing.T) {
	for name, m := range map[string]reserveModel{
		"no global order": {oppositeOrder: true, keepsParts: true},
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

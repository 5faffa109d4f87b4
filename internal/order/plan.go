package order

import (
	"math"
	"slices"
	"sort"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Bounds of a plan.
const (
	// enginesPerConcurrentLoad limits the engines of a model that load at a time
	// to one in this many, but at least one; the others keep serving.
	enginesPerConcurrentLoad = 4
	// minRoleEngines is the number of a model's engines below which all keep the
	// mixed role.
	minRoleEngines = 4
)

// Target is the number of engines that a model should have in the group, and the
// number of those that only prefill.
type Target struct {
	Engines int
	Prefill int
}

// Step is one order to one engine.
type Step struct {
	Engine Engine
	Order  upstream.Order
}

// Plan returns the orders that bring the observed engines closer to the declared
// state and the targets. It is a pure function; engines that were not observed or
// are leaving get no orders. Orders are idempotent.
func Plan(d Declared, observed map[string]upstream.ObservedState, targets map[string]Target) []Step {
	p := planner{declared: d, observed: observed, targets: targets}
	assigned := p.assign()
	var steps []Step
	for _, m := range d.Models {
		steps = append(steps, p.modelSteps(m, assigned[m.Name])...)
	}
	return steps
}

// planner holds the input of Plan.
type planner struct {
	declared Declared
	observed map[string]upstream.ObservedState
	targets  map[string]Target
}

// targetEngines returns a model's target number of engines, clamped to its
// declared bounds.
func (p *planner) targetEngines(m Model) int {
	return max(m.Min, min(p.targets[m.Name].Engines, m.Max))
}

// assign assigns each usable engine to at most one model. An engine keeps its
// current model unless that model is above its target and another is below.
func (p *planner) assign() map[string][]Engine {
	assigned := map[string][]Engine{}
	var spare []Engine
	for _, e := range p.declared.Engines {
		o, ok := p.observed[e.ID]
		if !ok || o.Leaving {
			continue
		}
		if model := p.currentModel(e, o); model != "" {
			assigned[model] = append(assigned[model], e)
		} else {
			spare = append(spare, e)
		}
	}
	spare = p.assignSpare(assigned, spare, p.targetEngines)
	p.rebalance(assigned)
	p.assignSpare(assigned, spare, func(m Model) int { return m.Max })
	return assigned
}

// currentModel returns the declared model that the engine serves or loads now,
// or "".
func (p *planner) currentModel(e Engine, o upstream.ObservedState) string {
	for _, l := range o.Models {
		for _, m := range p.declared.Models {
			if m.Name == l.Model && slices.Contains(e.Models, m.Name) {
				return m.Name
			}
		}
	}
	return ""
}

// assignSpare assigns spare engines to models below the limit and returns the
// engines that are left.
func (p *planner) assignSpare(assigned map[string][]Engine, spare []Engine, limit func(Model) int) []Engine {
	var rest []Engine
	for _, e := range spare {
		if m, ok := p.largestDeficit(assigned, e, limit); ok {
			assigned[m.Name] = append(assigned[m.Name], e)
		} else {
			rest = append(rest, e)
		}
	}
	return rest
}

// largestDeficit returns the model furthest below its limit that the engine may
// serve.
func (p *planner) largestDeficit(assigned map[string][]Engine, e Engine, limit func(Model) int) (Model, bool) {
	var best Model
	largest := 0
	for _, m := range p.declared.Models {
		deficit := limit(m) - len(assigned[m.Name])
		if deficit > largest && slices.Contains(e.Models, m.Name) {
			best, largest = m, deficit
		}
	}
	return best, largest > 0
}

// rebalance reassigns engines from models above their target to models below it.
func (p *planner) rebalance(assigned map[string][]Engine) {
	for _, from := range p.declared.Models {
		var kept []Engine
		surplus := len(assigned[from.Name]) - p.targetEngines(from)
		for _, e := range assigned[from.Name] {
			to, ok := p.largestDeficit(assigned, e, p.targetEngines)
			if surplus <= 0 || !ok || to.Name == from.Name {
				kept = append(kept, e)
				continue
			}
			assigned[to.Name] = append(assigned[to.Name], e)
			surplus--
		}
		assigned[from.Name] = kept
	}
}

// modelSteps returns the orders to the engines that are assigned to one model.
func (p *planner) modelSteps(m Model, engines []Engine) []Step {
	sort.Slice(engines, func(i, j int) bool { return engines[i].ID < engines[j].ID })
	loading := 0
	for _, e := range engines {
		for _, l := range p.observed[e.ID].Models {
			if l.Loading {
				loading++
				break
			}
		}
	}
	roles := p.roles(m, engines)
	var steps []Step
	for _, e := range engines {
		l, ok := loadedModel(p.observed[e.ID], m.Name, m.Version)
		switch {
		case !ok && loading < max(1, len(engines)/enginesPerConcurrentLoad):
			loading++
			steps = append(steps, Step{e, upstream.Order{Kind: upstream.OrderLoadModel, Model: m.Name, Version: m.Version}})
		case ok && !l.Loading:
			steps = append(steps, p.loadedSteps(m, e, l, roles[e.ID])...)
		}
	}
	return steps
}

// loadedSteps returns the orders to an engine that has its model loaded: to
// load missing adapters, unload other models, and set its role.
func (p *planner) loadedSteps(m Model, e Engine, l upstream.LoadedModel, role upstream.Role) []Step {
	var steps []Step
	for _, adapter := range m.Adapters {
		if !slices.Contains(l.Adapters, adapter) {
			steps = append(steps, Step{e, upstream.Order{
				Kind: upstream.OrderLoadAdapter, Model: m.Name, Version: m.Version, Adapter: adapter,
			}})
		}
	}
	for _, other := range p.observed[e.ID].Models {
		if other.Model != m.Name || other.Version != m.Version {
			steps = append(steps, Step{e, upstream.Order{
				Kind: upstream.OrderUnloadModel, Model: other.Model, Version: other.Version,
			}})
		}
	}
	if current := p.observed[e.ID].Role; role != "" && current != role {
		steps = append(steps, Step{e, upstream.Order{Kind: upstream.OrderSetRole, Role: role}})
	}
	return steps
}

// roles returns the target role of each engine. Engines that have the prefill role
// keep it, up to the target number.
func (p *planner) roles(m Model, engines []Engine) map[string]upstream.Role {
	roles := map[string]upstream.Role{}
	prefill := p.targets[m.Name].Prefill
	if len(engines) < minRoleEngines || prefill <= 0 || prefill >= len(engines) {
		for _, e := range engines {
			roles[e.ID] = upstream.RoleMixed
		}
		return roles
	}
	byRole := append([]Engine(nil), engines...)
	sort.SliceStable(byRole, func(i, j int) bool {
		return p.observed[byRole[i].ID].Role == upstream.RolePrefill && p.observed[byRole[j].ID].Role != upstream.RolePrefill
	})
	for i, e := range byRole {
		roles[e.ID] = upstream.RoleDecode
		if i < prefill {
			roles[e.ID] = upstream.RolePrefill
		}
	}
	return roles
}

// prefillEngines returns the number of prefill engines for a prefill share of the
// load.
func prefillEngines(engines int, share float64) int {
	if share <= 0 {
		return 0
	}
	return max(1, min(int(math.Round(share*float64(engines))), engines-1))
}

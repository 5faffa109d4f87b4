package engine

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// defaultVersion is the version of a model that is named without one.
const defaultVersion = "1"

// loadedModel is a model that is loaded, or is being loaded until readyAt.
type loadedModel struct {
	name    string
	version string
	readyAt time.Time
	// adapters holds the time at which each adapter is ready.
	adapters map[string]time.Time
}

// orderState is what the engine has loaded, from its settings and from orders.
type orderState struct {
	settings Settings
	models   []*loadedModel
	role     upstream.Role
	// fence is the highest accepted fencing token, if Settings.Fencing is set.
	fence uint64
	// executed holds the IDs of executed orders.
	executed map[string]bool
	applied  int
}

func newOrderState(s Settings) orderState {
	state := orderState{settings: s, role: upstream.RoleMixed, executed: map[string]bool{}}
	for _, spec := range s.Models {
		name, version, found := strings.Cut(spec, ":")
		if !found {
			version = defaultVersion
		}
		state.models = append(state.models, &loadedModel{name: name, version: version, adapters: map[string]time.Time{}})
	}
	return state
}

// usable reports whether some version of a model, or of an adapter given as
// "MODEL:ADAPTER", is ready.
func (s *orderState) usable(now time.Time, model string) bool {
	name, adapter, hasAdapter := strings.Cut(model, ":")
	for _, m := range s.models {
		if m.name != name || m.readyAt.After(now) {
			continue
		}
		readyAt, ok := m.adapters[adapter]
		if !hasAdapter || ok && !readyAt.After(now) {
			return true
		}
	}
	return false
}

// check refuses an order without a valid signature, or with a fencing token below
// the highest one accepted. A lower token comes from a former holder of the lease.
func (s *orderState) check(o upstream.Order) *Refusal {
	if len(s.settings.OrderKey) > 0 && !o.Verify(s.settings.OrderKey) {
		return refuse(http.StatusForbidden, "the order's signature is missing or wrong")
	}
	if s.settings.Fencing && o.Fence < s.fence {
		return refuse(http.StatusPreconditionFailed, "fencing number %d is below %d", o.Fence, s.fence)
	}
	return nil
}

// apply checks and executes an order. Repeating an order has no effect.
func (s *orderState) apply(now time.Time, o upstream.Order) *Refusal {
	if refusal := s.check(o); refusal != nil {
		return refusal
	}
	if s.settings.Fencing {
		s.fence = o.Fence
	}
	if s.executed[o.ID] {
		return nil
	}
	if refusal := s.execute(now, o); refusal != nil {
		return refusal
	}
	s.executed[o.ID] = true
	s.applied++
	return nil
}

func (s *orderState) execute(now time.Time, o upstream.Order) *Refusal {
	switch o.Kind {
	case upstream.OrderLoadModel:
		s.load(now, o)
	case upstream.OrderLoadAdapter:
		m := s.find(o.Model, o.Version)
		if m == nil {
			return refuse(http.StatusConflict, "model %q is not loaded", o.Model)
		}
		if _, ok := m.adapters[o.Adapter]; !ok {
			m.adapters[o.Adapter] = now.Add(s.settings.scaled(s.settings.LoadTime))
		}
	case upstream.OrderUnloadModel:
		s.models = slices.DeleteFunc(s.models, func(m *loadedModel) bool {
			return m.name == o.Model && (o.Version == "" || m.version == o.Version)
		})
	case upstream.OrderSetRole:
		s.role = o.Role
	default:
		return refuse(http.StatusBadRequest, "unknown order %q", o.Kind)
	}
	return nil
}

// find returns the given version of a model, or any version if version is empty.
func (s *orderState) find(name, version string) *loadedModel {
	for _, m := range s.models {
		if m.name == name && (version == "" || m.version == version) {
			return m
		}
	}
	return nil
}

func (s *orderState) load(now time.Time, o upstream.Order) {
	version := o.Version
	if version == "" {
		version = defaultVersion
	}
	if s.find(o.Model, version) != nil {
		return
	}
	readyAt := now.Add(s.settings.scaled(s.settings.LoadTime))
	s.models = append(s.models, &loadedModel{name: o.Model, version: version, readyAt: readyAt, adapters: map[string]time.Time{}})
}

func (s *orderState) observed(now time.Time) upstream.ObservedState {
	obs := upstream.ObservedState{Boot: s.settings.Boot, Role: s.role, Fence: s.fence, Models: []upstream.LoadedModel{}}
	for _, m := range s.models {
		model := upstream.LoadedModel{Model: m.name, Version: m.version, Loading: m.readyAt.After(now)}
		for adapter, readyAt := range m.adapters {
			if !readyAt.After(now) {
				model.Adapters = append(model.Adapters, adapter)
			}
		}
		slices.Sort(model.Adapters)
		obs.Models = append(obs.Models, model)
	}
	return obs
}

// Order executes an order. The error is a *Refusal.
func (e *Engine) Order(o upstream.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.orders.apply(time.Now(), o); refusal != nil {
		return refusal
	}
	return nil
}

// Observed returns the models, adapters and role that the engine has.
func (e *Engine) Observed() upstream.ObservedState {
	e.mu.Lock()
	defer e.mu.Unlock()
	obs := e.orders.observed(time.Now())
	obs.Leaving = !e.leaving.IsZero()
	return obs
}

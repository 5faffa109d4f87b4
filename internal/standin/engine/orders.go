package engine

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// defaultVersion is the version of a model that was named without one.
const defaultVersion = "1"

// loadedModel is a model that the engine has or is loading.
type loadedModel struct {
	name     string
	version  string
	readyAt  time.Time
	adapters map[string]time.Time
}

// orderBook is what the engine was ordered to have.
type orderBook struct {
	settings Settings
	models   []*loadedModel
	role     upstream.Role
	fence    uint64
	seen     map[string]bool
	applied  int
}

func newOrderBook(s Settings) orderBook {
	book := orderBook{settings: s, role: upstream.RoleMixed, seen: map[string]bool{}}
	for _, spec := range s.Models {
		name, version, found := strings.Cut(spec, ":")
		if !found {
			version = defaultVersion
		}
		book.models = append(book.models, &loadedModel{name: name, version: version, adapters: map[string]time.Time{}})
	}
	return book
}

// usable reports whether some version of a model, or of an adapter given as
// "MODEL:ADAPTER", is ready.
func (b *orderBook) usable(now time.Time, model string) bool {
	name, adapter, hasAdapter := strings.Cut(model, ":")
	for _, m := range b.models {
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

// check refuses an order that is not signed or that comes from an old holder.
func (b *orderBook) check(o upstream.Order) *Refusal {
	if len(b.settings.OrderKey) > 0 && !o.Verify(b.settings.OrderKey) {
		return refuse(http.StatusForbidden, "the order's signature is missing or wrong")
	}
	if b.settings.Fencing && o.Fence < b.fence {
		return refuse(http.StatusPreconditionFailed, "fencing number %d is below %d", o.Fence, b.fence)
	}
	return nil
}

// apply executes an order. A repeated order has no further effect.
func (b *orderBook) apply(now time.Time, o upstream.Order) *Refusal {
	if refusal := b.check(o); refusal != nil {
		return refusal
	}
	if b.settings.Fencing {
		b.fence = o.Fence
	}
	if b.seen[o.ID] {
		return nil
	}
	if refusal := b.execute(now, o); refusal != nil {
		return refusal
	}
	b.seen[o.ID] = true
	b.applied++
	return nil
}

func (b *orderBook) execute(now time.Time, o upstream.Order) *Refusal {
	switch o.Kind {
	case upstream.OrderLoadModel:
		b.load(now, o)
	case upstream.OrderLoadAdapter:
		m := b.find(o.Model, o.Version)
		if m == nil {
			return refuse(http.StatusConflict, "model %q is not loaded", o.Model)
		}
		if _, ok := m.adapters[o.Adapter]; !ok {
			m.adapters[o.Adapter] = now.Add(b.settings.scaled(b.settings.LoadTime))
		}
	case upstream.OrderUnloadModel:
		b.models = slices.DeleteFunc(b.models, func(m *loadedModel) bool {
			return m.name == o.Model && (o.Version == "" || m.version == o.Version)
		})
	case upstream.OrderSetRole:
		b.role = o.Role
	default:
		return refuse(http.StatusBadRequest, "unknown order %q", o.Kind)
	}
	return nil
}

// find returns the model of a version, or any version if that is empty.
func (b *orderBook) find(name, version string) *loadedModel {
	for _, m := range b.models {
		if m.name == name && (version == "" || m.version == version) {
			return m
		}
	}
	return nil
}

func (b *orderBook) load(now time.Time, o upstream.Order) {
	version := o.Version
	if version == "" {
		version = defaultVersion
	}
	if b.find(o.Model, version) != nil {
		return
	}
	readyAt := now.Add(b.settings.scaled(b.settings.LoadTime))
	b.models = append(b.models, &loadedModel{name: o.Model, version: version, readyAt: readyAt, adapters: map[string]time.Time{}})
}

func (b *orderBook) observed(now time.Time) upstream.ObservedState {
	obs := upstream.ObservedState{Boot: b.settings.Boot, Role: b.role, Fence: b.fence, Models: []upstream.LoadedModel{}}
	for _, m := range b.models {
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

// Observed returns what the engine has in memory.
func (e *Engine) Observed() upstream.ObservedState {
	e.mu.Lock()
	defer e.mu.Unlock()
	obs := e.orders.observed(time.Now())
	obs.Leaving = !e.leaving.IsZero()
	return obs
}

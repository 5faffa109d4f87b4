package order

import (
	"slices"
	"sort"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Model is a model that the catalogue declares, with the group's share of its
// bounds.
type Model struct {
	Name     string
	Version  string
	Adapters []string
	// Min and Max bound the number of the group's engines that have the model.
	// Without a maximum in the catalogue, Max is the number of engines that may
	// serve it.
	Min, Max int
}

// Engine is an engine of the group.
type Engine struct {
	ID  string
	URL string
	// Models are the models that the engine may serve.
	Models []string
	// Fencing is set if the engine refuses orders with an old fencing token.
	Fencing bool
	// ChecksIssuer is set if the engine refuses orders without a valid signature.
	ChecksIssuer bool
}

// Declared is the state that the catalogue declares for one group of engines.
type Declared struct {
	Models  []Model
	Engines []Engine
}

// Group returns the name of an engine's group, its data centre. Each group has
// its own lease, so that a data centre that is partitioned from the others, but
// not from the table, still gets orders.
func Group(e catalogue.Entry) string { return e.Upstream.DataCentre }

// declaredGroups returns the declared state of each group. A model's bounds are
// divided among the groups by the number of engines that may serve it, so that
// all lease holders compute the same shares from the same catalogue.
func declaredGroups(entries []catalogue.Entry) map[string]Declared {
	groups := map[string]Declared{}
	for _, e := range entries {
		if e.Kind != catalogue.KindUpstream || e.Upstream == nil || len(e.Upstream.Models) == 0 {
			continue
		}
		group := groups[Group(e)]
		group.Engines = append(group.Engines, Engine{
			ID: e.Name, URL: e.Upstream.URL, Models: e.Upstream.Models,
			Fencing: e.Upstream.Fencing, ChecksIssuer: e.Upstream.ChecksIssuer,
		})
		groups[Group(e)] = group
	}
	for _, e := range entries {
		if e.Kind == catalogue.KindModel && e.Model != nil {
			addModel(e, groups)
		}
	}
	for name, group := range groups {
		sort.Slice(group.Engines, func(i, j int) bool { return group.Engines[i].ID < group.Engines[j].ID })
		sort.Slice(group.Models, func(i, j int) bool { return group.Models[i].Name < group.Models[j].Name })
		groups[name] = group
	}
	return groups
}

// addModel adds a model to each group with engines that may serve it.
func addModel(e catalogue.Entry, groups map[string]Declared) {
	eligible := map[string]int{}
	for name, group := range groups {
		for _, engine := range group.Engines {
			if slices.Contains(engine.Models, e.Name) {
				eligible[name]++
			}
		}
	}
	minShares := apportion(e.Model.MinEngines, eligible)
	maxShares := apportion(e.Model.MaxEngines, eligible)
	for name, n := range eligible {
		m := Model{Name: e.Name, Version: e.Model.Version, Adapters: e.Model.Adapters, Min: minShares[name], Max: n}
		if e.Model.MaxEngines > 0 {
			m.Max = max(maxShares[name], m.Min)
		}
		group := groups[name]
		group.Models = append(group.Models, m)
		groups[name] = group
	}
}

// apportion divides total among groups in proportion to their weights, by the
// largest remainder method; ties are broken by name.
func apportion(total int, weights map[string]int) map[string]int {
	names := make([]string, 0, len(weights))
	sum := 0
	for name, w := range weights {
		names = append(names, name)
		sum += w
	}
	shares := map[string]int{}
	remainder := total
	for _, name := range names {
		shares[name] = total * weights[name] / sum
		remainder -= shares[name]
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := total*weights[names[i]]%sum, total*weights[names[j]]%sum
		return a > b || a == b && names[i] < names[j]
	})
	for i := range remainder {
		shares[names[i]]++
	}
	return shares
}

// candidatesPerGroup is the number of members that are candidates for a group's
// lease.
const candidatesPerGroup = 2

// isCandidate reports whether a member is a candidate for a group's lease. Only
// a few are, so that the number of reads of the lease does not grow with the
// fleet. Members of the group's data centre are preferred.
func isCandidate(group, self string, members []peer.Member) bool {
	ranked := peer.Ranked(members, group)
	sort.SliceStable(ranked, func(i, j int) bool {
		return ranked[i].DataCentre == group && ranked[j].DataCentre != group
	})
	for i := range min(candidatesPerGroup, len(ranked)) {
		if ranked[i].ID == self {
			return true
		}
	}
	return false
}

// loadedModel returns the engine's state of a version of a model, and false if
// it does not have it.
func loadedModel(o upstream.ObservedState, model, version string) (upstream.LoadedModel, bool) {
	for _, m := range o.Models {
		if m.Model == model && m.Version == version {
			return m, true
		}
	}
	return upstream.LoadedModel{}, false
}

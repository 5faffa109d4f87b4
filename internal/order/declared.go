package order

import (
	"slices"
	"sort"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Model is a declared model.
type Model struct {
	Name     string
	Version  string
	Adapters []string
	// Min and Max bound the number of the group's engines with the model;
	// Max is the number of engines if the catalogue sets none.
	Min, Max int
}

// Engine is an engine of the group.
type Engine struct {
	ID  string
	URL string
	// Models are the models that the engine may serve.
	Models []string
	// Fencing engines refuse an old fencing token.
	Fencing bool
	// ChecksIssuer engines refuse an order without a valid signature.
	ChecksIssuer bool
}

// Declared is what the catalogue wants of one group of engines.
type Declared struct {
	Models  []Model
	Engines []Engine
}

// Group returns the name of an engine's group, its data centre. Each group has
// its own lease, so that the orders of a data centre go on while it is cut off
// from the others but not from the table.
func Group(e catalogue.Entry) string { return e.Upstream.DataCentre }

// declare returns what the entries want of each group. A model's bounds are
// shared among the groups by the number of engines that may serve it, so that
// all holders compute the same shares from the same catalogue.
func declare(entries []catalogue.Entry) map[string]Declared {
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
			declareModel(e, groups)
		}
	}
	for name, group := range groups {
		sort.Slice(group.Engines, func(i, j int) bool { return group.Engines[i].ID < group.Engines[j].ID })
		sort.Slice(group.Models, func(i, j int) bool { return group.Models[i].Name < group.Models[j].Name })
		groups[name] = group
	}
	return groups
}

// declareModel adds a model to each group that may serve it.
func declareModel(e catalogue.Entry, groups map[string]Declared) {
	able := map[string]int{}
	for name, group := range groups {
		for _, engine := range group.Engines {
			if slices.Contains(engine.Models, e.Name) {
				able[name]++
			}
		}
	}
	least := split(e.Model.MinEngines, able)
	most := split(e.Model.MaxEngines, able)
	for name, n := range able {
		m := Model{Name: e.Name, Version: e.Model.Version, Adapters: e.Model.Adapters, Min: least[name], Max: n}
		if e.Model.MaxEngines > 0 {
			m.Max = max(most[name], m.Min)
		}
		group := groups[name]
		group.Models = append(group.Models, m)
		groups[name] = group
	}
}

// split shares total among groups in proportion to their weights, by largest
// remainder and then by name.
func split(total int, weights map[string]int) map[string]int {
	names := make([]string, 0, len(weights))
	sum := 0
	for name, w := range weights {
		names = append(names, name)
		sum += w
	}
	shares := map[string]int{}
	left := total
	for _, name := range names {
		shares[name] = total * weights[name] / sum
		left -= shares[name]
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := total*weights[names[i]]%sum, total*weights[names[j]]%sum
		return a > b || a == b && names[i] < names[j]
	})
	for i := range left {
		shares[names[i]]++
	}
	return shares
}

// contenders is the number of members that contend for a group's lease.
const contenders = 2

// contends states whether a member contends for a group's lease: only a few
// do, so that the reads of the lease do not grow with the fleet. Members of
// the group's data centre come first.
func contends(group, self string, members []peer.Member) bool {
	ranked := peer.Ranked(members, group)
	sort.SliceStable(ranked, func(i, j int) bool {
		return ranked[i].DataCentre == group && ranked[j].DataCentre != group
	})
	for i := range min(contenders, len(ranked)) {
		if ranked[i].ID == self {
			return true
		}
	}
	return false
}

// loaded returns the engine's state of a model's version.
func loaded(o upstream.Observed, model, version string) (upstream.LoadedModel, bool) {
	for _, m := range o.Models {
		if m.Model == model && m.Version == version {
			return m, true
		}
	}
	return upstream.LoadedModel{}, false
}

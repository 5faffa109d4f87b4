package deployment

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// View is an immutable snapshot of the deployment.
type View struct {
	// Config is the active configuration; nil until the first one is known.
	Config *Configuration
	// ConfigAt is when Config was installed.
	ConfigAt time.Time
	// Revision is the store's version of the list of upstreams.
	Revision Revision
	// ListedAt is when the list was last known to be complete: at its last update.
	ListedAt time.Time

	hosts     map[string][]*Route
	upstreams map[string]Upstream
	// listed holds the upstreams of each service that are not leaving, services those of them
	// that are not in an evacuated data centre.
	listed   map[string][]Upstream
	services map[string][]Upstream
	// evacuated holds the evacuated data centres and when each became known.
	evacuated map[string]time.Time
}

// RouteOf returns the route of a host, in lower case, with the longest prefix of path, or nil.
func (v *View) RouteOf(host, path string) *Route {
	for _, r := range v.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Upstream returns an upstream by its ID.
func (v *View) Upstream(id string) (Upstream, bool) {
	u, ok := v.upstreams[id]
	return u, ok
}

// UpstreamAt returns the upstream with an address, leaving ones included.
func (v *View) UpstreamAt(address string) (Upstream, bool) {
	for _, u := range v.upstreams {
		if u.Address == address {
			return u, true
		}
	}
	return Upstream{}, false
}

// Upstreams returns the upstreams of a service that may get new work: those that are not
// leaving and not in an evacuated data centre, sorted by ID. The slice must not be changed.
func (v *View) Upstreams(service string) []Upstream { return v.services[service] }

// Listed returns the upstreams of a service that are not leaving, those in evacuated data
// centres included, sorted by ID. The slice must not be changed.
func (v *View) Listed(service string) []Upstream { return v.listed[service] }

// Leaving returns the number of upstreams of a service that are leaving.
func (v *View) Leaving(service string) int {
	n := 0
	for _, u := range v.upstreams {
		if u.Leaving && u.Service == service {
			n++
		}
	}
	return n
}

// Count returns the number of upstreams, leaving ones included.
func (v *View) Count() int { return len(v.upstreams) }

// State holds the current View. Writers are serialized; readers take no lock.
type State struct {
	view atomic.Pointer[View]
	mu   sync.Mutex
	// leaving holds the upstreams that said that they leave, by ID.
	leaving map[string]leavingMark
	// notify is called after each change.
	notify []func(*View)
}

// NewState returns a State with an empty View.
func NewState() *State {
	s := &State{}
	s.view.Store(&View{})
	return s
}

// View returns the current View.
func (s *State) View() *View { return s.view.Load() }

// Subscribe registers f to be called after each change. It must be called before the
// first change; f must not block.
func (s *State) Subscribe(f func(*View)) { s.notify = append(s.notify, f) }

// SetConfiguration activates c unless the active version is at least as new. It reports
// whether c was activated.
func (s *State) SetConfiguration(c *Configuration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	if old.Config != nil && c.Version <= old.Config.Version {
		return false
	}
	next := *old
	next.Config, next.ConfigAt = c, now
	next.hosts = indexRoutes(c.Routes)
	s.publish(&next)
	return true
}

// indexRoutes orders the routes of each host by the length of their prefix,
// longest first.
func indexRoutes(routes []Route) map[string][]*Route {
	hosts := map[string][]*Route{}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		hosts[host] = append(hosts[host], &routes[i])
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return hosts
}

// ReplaceUpstreams installs a complete list as of a revision. Older lists are ignored,
// unless they are of another era, on which the caller decides. It reports whether the list
// was installed.
func (s *State) ReplaceUpstreams(list []Upstream, revision Revision, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	if revision.Era == old.Revision.Era && revision.Before(old.Revision) {
		return false
	}
	byID := make(map[string]Upstream, len(list))
	for _, u := range list {
		// A complete list repeats entries that are known.
		known := old.upstreams[u.ID]
		u.learnedAt = known.learnedAt
		if u != known {
			u.learnedAt = now
		}
		byID[u.ID] = u
	}
	s.setUpstreams(old, byID, revision, now)
	return true
}

// UpdateUpstreams applies changes up to a revision: upstreams that are new or changed,
// and IDs that were removed. Older changes are ignored.
func (s *State) UpdateUpstreams(changed []Upstream, gone []string, revision Revision, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	if revision.Before(old.Revision) {
		return
	}
	s.changeUpstreams(old, changed, gone, revision, now)
}

// AddUpstreams adds or replaces upstreams regardless of the revision.
func (s *State) AddUpstreams(list []Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	s.changeUpstreams(old, list, nil, old.Revision, now)
}

// RemoveUpstreams removes upstreams regardless of the revision.
func (s *State) RemoveUpstreams(gone []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	s.changeUpstreams(old, nil, gone, old.Revision, now)
}

func (s *State) changeUpstreams(old *View, changed []Upstream, gone []string, revision Revision, now time.Time) {
	byID := maps.Clone(old.upstreams)
	if byID == nil {
		byID = map[string]Upstream{}
	}
	for _, u := range changed {
		u.learnedAt = now
		byID[u.ID] = u
	}
	for _, id := range gone {
		delete(byID, id)
	}
	s.setUpstreams(old, byID, revision, now)
}

func (s *State) setUpstreams(old *View, byID map[string]Upstream, revision Revision, now time.Time) {
	s.applyLeaving(byID, now)
	next := *old
	next.Revision, next.ListedAt, next.upstreams = revision, now, byID
	next.indexUpstreams()
	s.publish(&next)
}

// indexUpstreams lists the upstreams of each service.
func (v *View) indexUpstreams() {
	v.listed = map[string][]Upstream{}
	for _, u := range v.upstreams {
		if !u.Leaving {
			v.listed[u.Service] = append(v.listed[u.Service], u)
		}
	}
	for _, list := range v.listed {
		slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	v.services = v.listed
	if len(v.evacuated) == 0 {
		return
	}
	v.services = make(map[string][]Upstream, len(v.listed))
	for name, list := range v.listed {
		v.services[name] = slices.DeleteFunc(slices.Clone(list), func(u Upstream) bool { return v.Evacuated(u.DataCentre) })
	}
}

func (s *State) publish(v *View) {
	s.view.Store(v)
	for _, f := range s.notify {
		f(v)
	}
}

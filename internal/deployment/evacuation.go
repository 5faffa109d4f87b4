package deployment

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Evacuation is a data centre whose upstreams get no new work, by order of the operator.
type Evacuation struct {
	DataCentre string
	// Since is when the evacuation became known, in Unix milliseconds; 0 if not stated.
	Since int64
}

// Evacuations are the evacuated data centres in an Update: all of them if it is complete, else
// the changes.
type Evacuations struct {
	Set     []Evacuation
	Revoked []string
}

// Evacuated reports whether the upstreams of a data centre get no new work.
func (v *View) Evacuated(dataCentre string) bool {
	_, evacuated := v.evacuated[dataCentre]
	return evacuated
}

// Evacuations returns the evacuated data centres with the time since when they are known,
// sorted by name.
func (v *View) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(v.evacuated))
	for _, name := range slices.Sorted(maps.Keys(v.evacuated)) {
		list = append(list, Evacuation{DataCentre: name, Since: v.evacuated[name].UnixMilli()})
	}
	return list
}

// OnlyEvacuated reports whether a service has upstreams and all of them are in evacuated data
// centres.
func (v *View) OnlyEvacuated(service string) bool {
	return len(v.services[service]) == 0 && len(v.listed[service]) > 0
}

// EvacuatedUpstreams returns the IDs of a service's upstreams in evacuated data centres.
func (v *View) EvacuatedUpstreams(service string) []string {
	if len(v.evacuated) == 0 {
		return nil
	}
	var ids []string
	for _, u := range v.listed[service] {
		if v.Evacuated(u.DataCentre) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// SetEvacuations applies all evacuations if complete is set, else changes of them. It returns
// the data centres whose evacuation took effect or was revoked.
func (s *State) SetEvacuations(e Evacuations, complete bool, now time.Time) (set, revoked []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	next := maps.Clone(old.evacuated)
	if next == nil || complete {
		next = map[string]time.Time{}
	}
	for _, name := range e.Revoked {
		delete(next, name)
	}
	for _, one := range e.Set {
		since, known := old.evacuated[one.DataCentre]
		switch {
		case known:
		case one.Since > 0:
			since = time.UnixMilli(one.Since)
		default:
			since = now
		}
		next[one.DataCentre] = since
	}
	for name := range next {
		if _, known := old.evacuated[name]; !known {
			set = append(set, name)
		}
	}
	for name := range old.evacuated {
		if _, remains := next[name]; !remains {
			revoked = append(revoked, name)
		}
	}
	if len(set)+len(revoked) > 0 {
		view := *old
		view.evacuated = next
		view.indexUpstreams()
		s.publish(&view)
	}
	slices.Sort(set)
	slices.Sort(revoked)
	return set, revoked
}

// applyEvacuations applies the evacuations of an update, and logs and counts what changes.
func (f *Follower) applyEvacuations(u Update, now time.Time) {
	if u.Evacuations == nil {
		return
	}
	set, revoked := f.state.SetEvacuations(*u.Evacuations, u.Complete, now)
	for _, name := range set {
		evacuatedGauge(name).Set(1)
		log.WithField("data_centre", name).WithField("revision", u.Revision).WithField("fetched", u.fetched).
			Warn("data centre evacuated; its upstreams get no new work")
	}
	for _, name := range revoked {
		evacuatedGauge(name).Set(0)
		log.WithField("data_centre", name).WithField("revision", u.Revision).WithField("fetched", u.fetched).
			Warn("evacuation of data centre revoked; its upstreams get work again")
	}
}

// evacuatedGauge returns the gauge of a data centre: 1 while it is evacuated.
func evacuatedGauge(dataCentre string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`banyanroute_data_centre_evacuated{data_centre=%q}`, dataCentre), nil)
}

// needsEvacuations reports whether snapshots of other instances are used only if they say which
// data centres are evacuated, unlike those of d3ebc58: the settings bound the time until an
// evacuation is in force, or one is known that may have been revoked.
func (f *Follower) needsEvacuations() bool {
	return f.source.Content() == Configurations && (f.evacuationBound() > 0 || len(f.state.View().evacuated) > 0)
}

// evacuationBound returns the time within which an evacuation must be in force; 0 if the
// settings do not state it.
func (f *Follower) evacuationBound() time.Duration {
	if f.options.EvacuationBound == nil {
		return 0
	}
	return f.options.EvacuationBound()
}

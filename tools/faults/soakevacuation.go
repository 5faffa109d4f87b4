package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Evacuations. Faults of the store overlap with them, so the users allow evacuationBound and
// evacuationOuterBound after the row was last written.
const (
	evacuationBound      = 5 * time.Second
	evacuationOuterBound = 6 * time.Second
	// evacuationWatch is for how long no request may arrive after that.
	evacuationWatch       = 2 * time.Second
	maxBetweenEvacuations = 3 * time.Second
	evacuatedZone         = "z2"
	evacuatedZoneRow      = "evacuate/" + evacuatedZone
	evacuatedZoneEach     = 2
)

// evacuate evacuates a data centre and takes it back, until ctx ends, and checks that nothing reaches it
// meanwhile, whatever faults run. Instances of the build before don't know evacuations, so there are none
// beside them.
func (s *soakRun) evacuate(ctx context.Context, r *rand.Rand) {
	if s.options.previous != "" {
		return
	}
	defer s.setEvacuated(false)
	for sleep.For(ctx, time.Duration(r.Int64N(int64(maxBetweenEvacuations)))) {
		s.report.fault("data centre " + evacuatedZone + " evacuated")
		s.setEvacuated(true)
		for ctx.Err() == nil {
			s.mu.Lock()
			written := s.evacuatedAt
			s.mu.Unlock()
			effect := written.Add(evacuationBound + evacuationOuterBound)
			if time.Now().Before(effect.Add(evacuationWatch)) {
				sleep.For(ctx, time.Until(effect.Add(evacuationWatch)))
				continue // the row may have been written again meanwhile
			}
			s.report.check(evacuationKept, s.arrivalsIn(evacuatedZone, effect, effect.Add(evacuationWatch)))
			break
		}
		s.setEvacuated(false)
		s.report.fault("evacuation of " + evacuatedZone + " revoked")
	}
}

// setEvacuated writes or deletes the row of the evacuation.
func (s *soakRun) setEvacuated(evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !evacuated {
		s.evacuatedAt = time.Time{}
		s.store.Delete("op", evacuatedZoneRow)
		return
	}
	s.store.Put("op", evacuatedZoneRow, []byte("{}"))
	s.evacuatedAt = time.Now()
}

// evacuateAgain writes the row of the evacuation anew if an older copy of the store lacks it, or deletes it
// if the copy has it and there is none. The caller must hold mu.
func (s *soakRun) evacuateAgain() {
	if s.evacuatedAt.IsZero() {
		s.store.Delete("op", evacuatedZoneRow)
		return
	}
	if !slices.Contains(s.store.Keys("op"), evacuatedZoneRow) {
		s.store.Put("op", evacuatedZoneRow, []byte("{}"))
		s.evacuatedAt = time.Now()
	}
}

// arrivalsIn describes the requests that arrived in a data centre in a time; empty if there were none.
func (s *soakRun) arrivalsIn(dataCentre string, from, to time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.DataCentre != dataCentre {
			continue
		}
		for _, at := range u.Received() {
			if at.After(from) && at.Before(to) {
				return fmt.Sprintf("%s got a request %s after the evacuation of %s must have been in force", u.ID, at.Sub(from), dataCentre)
			}
		}
	}
	return ""
}

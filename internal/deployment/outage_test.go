package deployment

import (
	"testing"
	"time"
)

// TestMissingEntriesAreHeldOnlyAfterAnOutage checks which missing entries may reappear after
// the calls to the store were answered or failed as given.
func TestMissingEntriesAreHeldOnlyAfterAnOutage(t *testing.T) {
	const heartbeat = time.Second
	start := time.Unix(1000, 0)
	leaving := upstreams("leaving")
	leaving[0].Leaving = true
	for name, c := range map[string]struct {
		// failures are the times after the last answer at which calls failed; the store
		// answers again at answered.
		failures []time.Duration
		answered time.Duration
		missing  []string
		held     bool
	}{
		"no failure":                        {answered: 12 * heartbeat, missing: []string{"a", "b", "c", "d"}},
		"one failure":                       {failures: []time.Duration{0}, answered: 50 * time.Millisecond, missing: []string{"a", "b", "c", "d"}},
		"failures shorter than an interval": {failures: []time.Duration{0, heartbeat - 1}, answered: heartbeat - 1, missing: []string{"a", "b", "c", "d"}},
		"failures for an interval":          {failures: []time.Duration{0, heartbeat / 2, heartbeat}, answered: 2 * heartbeat, missing: []string{"a"}, held: true},
		"silence, one missing":              {failures: []time.Duration{3 * heartbeat}, answered: 3*heartbeat + 50*time.Millisecond, missing: []string{"a"}},
		"silence, half missing":             {failures: []time.Duration{3 * heartbeat}, answered: 3*heartbeat + 50*time.Millisecond, missing: []string{"a", "b"}},
		"silence, most missing":             {failures: []time.Duration{3 * heartbeat}, answered: 3*heartbeat + 50*time.Millisecond, missing: []string{"a", "b", "c"}, held: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			s.ReplaceUpstreams(append(upstreams("a", "b", "c", "d"), leaving...), rev(1), start)
			o := outage{heartbeat: always(heartbeat)}
			o.answered(s.View(), start)
			for _, at := range c.failures {
				o.failed(start.Add(at))
			}
			now := start.Add(c.answered)
			o.answered(s.View(), now)
			held, until := o.mayReappear(s.View(), c.missing, now)
			if c.held != (len(held) == len(c.missing)) || !c.held && len(held) > 0 {
				t.Errorf("held %v of the missing %v, want held %v", held, c.missing, c.held)
			}
			if c.held && until != now.Add(reappearTimeout) {
				t.Errorf("held for %s, want %s", until.Sub(now), reappearTimeout)
			}
			if held, _ := o.mayReappear(s.View(), c.missing, now.Add(reappearTimeout)); len(held) > 0 {
				t.Errorf("%v still held after %s", held, reappearTimeout)
			}
		})
	}
}

// TestExpiredEntriesAreCountedTogether checks that entries that are removed one after the
// other after a silence count together.
func TestExpiredEntriesAreCountedTogether(t *testing.T) {
	start := time.Unix(1000, 0)
	s := NewState()
	s.ReplaceUpstreams(upstreams("a", "b", "c", "d"), rev(1), start)
	o := outage{heartbeat: always(time.Second)}
	o.answered(s.View(), start)
	now := start.Add(3 * time.Second)
	o.failed(now)
	o.answered(s.View(), now)
	for i, id := range []string{"a", "b", "c", "d"} {
		held, _ := o.mayReappear(s.View(), []string{id}, now)
		if want := i >= 2; want != (len(held) == 1) {
			t.Errorf("missing entry %d of 4: held %v, want %v", i+1, held, want)
		}
		if len(held) == 0 {
			s.RemoveUpstreams([]string{id}, now)
		}
	}
}

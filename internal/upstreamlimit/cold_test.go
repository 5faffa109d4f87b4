package upstreamlimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// usersColdBounds are those of the users' settings, coldPerSecond is their rate.
var usersColdBounds = ColdBounds{Overage: 1.5, Slack: 5, Heartbeat: 1200 * time.Millisecond}

const coldPerSecond = 17.0

// mostInSecond returns the largest number of arrivals within a second.
func mostInSecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for i := range arrivals {
		for arrivals[i].Sub(arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdUpstreamGetsNoMoreThanItsBound guards against a cold upstream that crashes because all
// instances together send it more than the users allow in a second. Two homes and two substitutes
// are active at once, as while a home is replaced, beside all the others, and what is decided takes
// any time up to the greatest until it arrives.
func TestColdUpstreamGetsNoMoreThanItsBound(t *testing.T) {
	for _, instances := range []int{7, 34, 87, 195, 410} {
		rapid.Check(t, func(t *rapid.T) {
			bounds, perSecond := usersColdBounds, coldPerSecond
			if rapid.Bool().Draw(t, "other bounds") {
				bounds.Overage, bounds.Slack = rapid.Float64Range(0.5, 3).Draw(t, "overage"), rapid.Float64Range(0, 10).Draw(t, "slack")
				perSecond = rapid.Float64Range(0.5, 60).Draw(t, "rate")
			}
			start, k := time.Unix(1000, 0), Key{Service: "s", ID: "u", Born: 1}
			replaced := start.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "home replaced, ms")) * time.Millisecond)
			overlap := time.Duration(rapid.IntRange(0, 3000).Draw(t, "both homes, ms")) * time.Millisecond
			// Instances 0 and 1 are the homes before and after, 2 and 3 their substitutes.
			role := func(i int, now time.Time) Role {
				active := !now.After(replaced.Add(overlap))
				if i%2 == 1 {
					active = !now.Before(replaced)
				}
				switch {
				case active && i < 2:
					return Home
				case active && i < 4:
					return Substitute
				}
				return Outsider
			}
			tables := make([]*ColdTable, instances)
			for i := range tables {
				tables[i] = NewColdTable()
				tables[i].Bounds = bounds
				tables[i].ObserveEntry(k, 5*time.Second, start, start)
			}
			// Those that are decided before this time are delayed as long as they may be, so that
			// they arrive with the later ones.
			delayed := replaced.Add(time.Duration(rapid.IntRange(-500, 2500).Draw(t, "delays end, ms")) * time.Millisecond)
			step := time.Duration(rapid.IntRange(1, 30).Draw(t, "step, ms")) * time.Millisecond
			quiet := rapid.IntRange(0, 40).Draw(t, "quiet steps of 50")
			var arrivals []time.Time
			for n, now := 0, start; now.Before(start.Add(5 * time.Second)); n, now = n+1, now.Add(step) {
				if n%50 < quiet {
					continue // tokens are saved up
				}
				for i, table := range tables {
					if i >= 4 && i%7 != n%7 {
						continue
					}
					for table.Wait(k, bounds.Rate(role(i, now), perSecond), now) == 0 {
						table.Sent(k, now)
						delay := time.Duration(0)
						if now.Before(delayed) {
							delay = MaxGrantAge + maxTransfer
						}
						arrivals = append(arrivals, now.Add(delay))
					}
				}
			}
			allowed := perSecond*bounds.Overage + bounds.Slack
			if most := mostInSecond(arrivals); float64(most) > allowed {
				t.Errorf("%d instances: %d requests arrived within a second, allowed are %.1f", instances, most, allowed)
			}
		})
	}
}

// TestColdRateIsUsed checks that a home sends to a cold upstream what the users' bound leaves for
// it, and that the worked-out sum of the design note is right.
func TestColdRateIsUsed(t *testing.T) {
	home, substitute := usersColdBounds.Rate(Home, coldPerSecond), usersColdBounds.Rate(Substitute, coldPerSecond)
	if home < 9.2 || home > 9.3 || substitute < 1.3 || substitute > 1.35 {
		t.Errorf("rates %.3f and %.3f", home, substitute)
	}
	if sum := homes*(coldBurst+home*coldWindow.Seconds()) + substitutes*(coldBurst+substitute*coldWindow.Seconds()); sum > 30.5+1e-9 || sum < 30.4 {
		t.Errorf("%.2f requests may arrive within a second, want 30.5", sum)
	}
	table, start, k, sent := NewColdTable(), time.Unix(1000, 0), Key{ID: "u"}, 0
	table.Bounds = usersColdBounds
	table.ObserveEntry(k, 10*time.Second, start, start)
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		if table.Wait(k, home, now) == 0 {
			table.Sent(k, now)
			sent++
		}
	}
	if sent < 90 || sent > 94 {
		t.Errorf("%d requests in 10 s at a rate of %.2f", sent, home)
	}
}

// TestFreshestCountsForColdUpstreams guards against an older statement that ends a countdown early
// or starts one again.
func TestFreshestCountsForColdUpstreams(t *testing.T) {
	k, start := Key{Service: "s", ID: "u", Born: 1}, time.Unix(1000, 0)
	const ms, s = time.Millisecond, time.Second
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for name, c := range map[string]struct {
		observe func(*ColdTable)
		// cold and warm are times at which the upstream must count as cold and as warm.
		cold, warm time.Duration
	}{
		"entry, with a margin of a heartbeat":     {func(t *ColdTable) { t.ObserveEntry(k, 2*s, at(0), at(0)) }, 3199 * ms, 3201 * ms},
		"entry, counted from when it was learned": {func(t *ColdTable) { t.ObserveEntry(k, 2*s, at(0), at(1*s)) }, 3199 * ms, 3201 * ms},
		"later entry that says warm":              {func(t *ColdTable) { t.ObserveEntry(k, 3*s, at(0), at(0)); t.ObserveEntry(k, 0, at(1*s), at(1*s)) }, -1, 1 * s},
		"answer after the entry says warm":        {func(t *ColdTable) { t.ObserveEntry(k, 3*s, at(0), at(0)); t.ObserveAnswer(k, 0, at(100*ms)) }, -1, 200 * ms},
		"answer after the entry says cold":        {func(t *ColdTable) { t.ObserveEntry(k, 0, at(0), at(0)); t.ObserveAnswer(k, 3*s, at(100*ms)) }, 4299 * ms, 4301 * ms},
		"entry from before the answer":            {func(t *ColdTable) { t.ObserveAnswer(k, 3*s, at(0)); t.ObserveEntry(k, 0, at(500*ms), at(500*ms)) }, 4199 * ms, 4201 * ms},
		"entry from after the answer":             {func(t *ColdTable) { t.ObserveAnswer(k, 3*s, at(0)); t.ObserveEntry(k, 0, at(1300*ms), at(1300*ms)) }, -1, 1300 * ms},
		"report, older than the answer": {func(t *ColdTable) {
			t.ObserveAnswer(k, 3*s, at(0))
			t.ObserveReport(ColdObservation{Key: k, Remaining: 1 * s}, at(10*ms))
		}, 4199 * ms, 4201 * ms},
		"report alone":                          {func(t *ColdTable) { t.ObserveReport(ColdObservation{Key: k, Remaining: 1 * s}, at(0)) }, 2199 * ms, 2201 * ms},
		"returned, same entry":                  {func(t *ColdTable) { t.Assume(k, 3*s, at(1*s)); t.ObserveEntry(k, 0, at(500*ms), at(1*s)) }, 6399 * ms, 6401 * ms},
		"returned, entry learned after that":    {func(t *ColdTable) { t.Assume(k, 3*s, at(1*s)); t.ObserveEntry(k, 0, at(1500*ms), at(1500*ms)) }, -1, 1500 * ms},
		"returned, cold by an entry from after": {func(t *ColdTable) { t.Assume(k, 3*s, at(0)); t.ObserveEntry(k, 1*s, at(500*ms), at(500*ms)) }, 2699 * ms, 2701 * ms},
		"returned, answer after that":           {func(t *ColdTable) { t.Assume(k, 3*s, at(1*s)); t.ObserveAnswer(k, 0, at(1100*ms)) }, -1, 1100 * ms},
		"stale entry of an older incarnation": {func(t *ColdTable) {
			t.ObserveEntry(k, 3*s, at(0), at(0))
			older := k
			older.Born = 0
			t.ObserveAnswer(older, 0, at(1*s))
		}, 4199 * ms, 4201 * ms},
		"becomes cold again while it was cold":      {func(t *ColdTable) { t.ObserveEntry(k, 1*s, at(0), at(0)); t.ObserveEntry(k, 3*s, at(1*s), at(1*s)) }, 5199 * ms, 5201 * ms},
		"huge countdown is bounded, not overflowed": {func(t *ColdTable) { t.ObserveAnswer(k, 1<<62, at(0)) }, 59 * time.Minute, 61 * time.Minute},
	} {
		table := NewColdTable()
		table.Bounds = usersColdBounds
		c.observe(table)
		if c.cold >= 0 && table.Left(k, at(c.cold)) == 0 {
			t.Errorf("%s: not cold after %s", name, c.cold)
		}
		if left := table.Left(k, at(c.warm)); left > 0 {
			t.Errorf("%s: cold for another %s after %s", name, left, c.warm)
		}
	}
}

// TestColdUpstreamsAreTold checks that other instances are told once of what an answer or a report
// said and not of entries, which they read themselves, and that a report that is passed on ends.
func TestColdUpstreamsAreTold(t *testing.T) {
	table, now := NewColdTable(), time.Unix(1000, 0)
	table.Bounds = usersColdBounds
	entry, answer := Key{Service: "s", ID: "e"}, Key{Service: "s", ID: "a"}
	table.ObserveEntry(entry, 3*time.Second, now, now)
	if !table.ObserveAnswer(answer, 3*time.Second, now) || table.ObserveAnswer(answer, 2900*time.Millisecond, now.Add(100*time.Millisecond)) {
		t.Error("the home must be told of the first answer alone")
	}
	if table.ObserveAnswer(Key{Service: "s", ID: "warm"}, 0, now) {
		t.Error("the home is told of an upstream that was never cold")
	}
	now = now.Add(time.Second)
	news := table.News("s", now)
	if len(news) != 1 || news[0] != (ColdObservation{Key: answer, Remaining: 2 * time.Second}) {
		t.Errorf("told %+v", news)
	}
	if again := table.News("s", now); len(again) > 0 || len(table.Known("s", now)) != 2 || len(table.Known("other", now)) > 0 {
		t.Errorf("told again %+v; known are %+v", again, table.Known("s", now))
	}
	other := NewColdTable()
	other.Bounds = usersColdBounds
	other.ObserveReport(news[0], now.Add(50*time.Millisecond))
	for _, o := range other.News("s", now.Add(500*time.Millisecond)) {
		if table.ObserveReport(o, now.Add(550*time.Millisecond)); len(table.News("s", now.Add(550*time.Millisecond))) > 0 {
			t.Error("a report came back and is told again")
		}
	}
	table.Expire(func(Key) Listing { return Listed }, now.Add(5*time.Second))
	if !table.Empty() {
		t.Error("the table keeps upstreams whose countdown is over")
	}
}

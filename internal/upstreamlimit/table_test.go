package upstreamlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// The users' bound: in any window an upstream gets at most factor times what its limit allows,
// and extra requests.
const (
	window = 4 * time.Second
	factor = 1.5
	extra  = 5
)

func named(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }

// mostInWindow returns the largest number of sends within window.
func mostInWindow(sends []time.Time) int {
	most := 0
	for i := range sends {
		n := 0
		for _, at := range sends[i:] {
			if at.Sub(sends[i]) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestLimitIsKeptAndUsed checks that a table that alone spends a limit keeps the bound, and
// uses nine tenths of the limit, for any limit and any pattern of requests above it.
func TestLimitIsKeptAndUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 100).Draw(t, "limit")
		load := perSecond * rapid.Float64Range(4, 20).Draw(t, "load")
		table, now, k := NewTable(), time.Unix(1000, 0), Key{ID: "u"}
		table.Observe(Observation{Key: k, Limit: named(perSecond)}, now)
		end := now.Add(30 * time.Second)
		var sends []time.Time
		for now.Before(end) {
			now = now.Add(time.Duration(rapid.Float64Range(0, 2).Draw(t, "gap") / load * float64(time.Second)))
			if table.Wait(k, 1, 0, now) == 0 {
				table.Sent(k)
				sends = append(sends, now)
			}
		}
		if most := mostInWindow(sends); float64(most) > factor*perSecond*window.Seconds()+extra {
			t.Errorf("%d requests in %s for a limit of %.2f a second", most, window, perSecond)
		}
		if used := float64(len(sends)) / (30 * perSecond); used < 0.9-1/perSecond/30 {
			t.Errorf("%.2f of a limit of %.2f a second used", used, perSecond)
		}
	})
}

// TestSmallSharesAreUsedTogether checks that instances that each may use much less than a
// request a second keep the bound together and still use most of what they may.
func TestSmallSharesAreUsedTogether(t *testing.T) {
	const share, perSecond, asks = 0.5, 2.0, 2 // asks a second of each instance
	for _, n := range []int{7, 65, 410} {
		start := time.Unix(1000, 0)
		var tables []*Table
		k := Key{ID: "u"}
		for range n {
			table := NewTable()
			table.Observe(Observation{Key: k, Limit: named(perSecond)}, start)
			tables = append(tables, table)
		}
		var sends []time.Time
		const seconds = 40
		for step := range seconds * asks * n {
			now := start.Add(time.Duration(step) * time.Second / time.Duration(asks*n))
			draw := float64(xxhash.Sum64String(fmt.Sprint(step))) / (1 << 64)
			if table := tables[step%n]; table.Wait(k, share/float64(n), draw, now) == 0 {
				table.Sent(k)
				sends = append(sends, now)
			}
		}
		most, used := mostInWindow(sends), float64(len(sends))/(seconds*perSecond*share)
		t.Logf("%d instances: at most %d in %s, %.2f of what they may use", n, most, window, used)
		if float64(most) > factor*perSecond*window.Seconds()+extra || used < 0.5 {
			t.Errorf("%d instances: at most %d in %s, %.2f of what they may use", n, most, window, used)
		}
	}
}

// TestLimitEndsWithoutJump checks that, after an upstream names no limit any more, its load
// grows by at most a factor of two a second until the limit is dropped, and that a limit that
// nobody confirms ends too.
func TestLimitEndsWithoutJump(t *testing.T) {
	now, k := time.Unix(1000, 0), Key{ID: "u"}
	for name, end := range map[string]func(*Table) time.Time{
		"no longer named": func(table *Table) time.Time {
			table.Observe(Observation{Key: k}, now)
			return now
		},
		"not confirmed": func(*Table) time.Time { return now.Add(staleTime) },
	} {
		table := NewTable()
		table.Observe(Observation{Key: k, Limit: named(4)}, now)
		ended := end(table)
		for s, most := range []float64{8, 16, 32, 64, 128} {
			if got := table.Rate(k, ended.Add(time.Duration(s+1)*time.Second)); got > most {
				t.Errorf("%s: rate %.0f after %d s, want at most %.0f", name, got, s+1, most)
			}
		}
		if table.Wait(k, 1, 0, ended.Add(endTime+time.Second)) != 0 || !table.Empty() {
			t.Errorf("%s: the limit still holds after %s", name, endTime+time.Second)
		}
	}
}

// TestUnusualLimits checks that a limit of zero lets a request through now and then, that one
// that changes with each answer is followed, and that one that comes and goes gives no burst.
func TestUnusualLimits(t *testing.T) {
	start, k := time.Unix(1000, 0), Key{ID: "u"}
	send := func(table *Table, now time.Time) int {
		if table.Wait(k, 1, 0, now) > 0 {
			return 0
		}
		table.Sent(k)
		return 1
	}
	for name, c := range map[string]struct {
		limit    func(second int) Limit
		min, max int
	}{
		"zero":           {func(int) Limit { return named(0) }, 1, 3},
		"each answer":    {func(s int) Limit { return named(float64(1 + s%3)) }, 30, 45},
		"comes and goes": {func(s int) Limit { return Limit{Named: s%2 == 0, PerSecond: 2} }, 30, 80},
	} {
		table, sent := NewTable(), 0
		for step := range 200 {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			if step%10 == 0 {
				table.Observe(Observation{Key: k, Limit: c.limit(step / 10)}, now)
			}
			sent += send(table, now)
		}
		if sent < c.min || sent > c.max {
			t.Errorf("%s: %d requests in 20 s, want %d to %d", name, sent, c.min, c.max)
		}
	}
}

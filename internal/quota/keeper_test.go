package quota

import (
	"testing"
	"time"
)

// Demand in a dimension without a limit does not shorten the leases.
func TestUnlimitedDimensionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	funds := capital{all: share{Requests: 100}, fallback: share{Requests: 10}}
	a := newAccount(now.Add(-time.Hour))
	g := a.lend("i0", ask{Demand: share{Requests: 1, Tokens: 1000, Slots: 3}}, funds, now)
	if got := time.Duration(g.TTLMillis) * time.Millisecond; got != longTTL {
		t.Errorf("the lease is for %v, want %v", got, longTTL)
	}
	if g.Share.Requests <= 0 || g.Share.Tokens != 0 || g.Share.Slots != 0 {
		t.Errorf("lent %+v", g.Share)
	}
}

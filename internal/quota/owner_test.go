package quota

import (
	"testing"
	"time"
)

// TestUnlimitedDimensionIsIgnored checks that demand in a dimension without a
// limit does not shorten the leases and is not granted.
func TestUnlimitedDimensionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := budget{total: share{Requests: 100}, fallback: share{Requests: 10}}
	a := newAccount(now.Add(-time.Hour))
	g := a.grantLease("i0", leaseRequest{Demand: share{Requests: 1, Tokens: 1000, Slots: 3}}, limits, now)
	if got := time.Duration(g.TTLMillis) * time.Millisecond; got != longLeaseTTL {
		t.Errorf("lease TTL %v, want %v", got, longLeaseTTL)
	}
	if g.Share.Requests <= 0 || g.Share.Tokens != 0 || g.Share.Slots != 0 {
		t.Errorf("granted %+v, want only requests per second", g.Share)
	}
}

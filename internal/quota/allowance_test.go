package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
)

// Call counts the calls to other instances.
func (b *delayedBus) Call(ctx context.Context, to string, topic peer.Topic, payload []byte) ([]byte, error) {
	b.calls.Add(1)
	return b.Node.Call(ctx, to, topic, payload)
}

// calls returns the number of calls between instances so far.
func (f *testFleet) calls() int64 {
	var sum int64
	for _, in := range f.instances {
		sum += in.bus.(*delayedBus).calls.Load()
	}
	return sum
}

// usable returns what all instances together may use in the long run: their leases
// and allowances.
func (f *testFleet) usable() share {
	var sum share
	for _, in := range f.instances {
		w := (*in.workspaces.Load())[testWorkspace]
		r := w.peek(time.Now())
		sum = sum.plus(r.held).plus(w.allowance)
	}
	return sum
}

// rateWithinAllowance is a demand within an instance's allowance, in requests per
// second.
const rateWithinAllowance = 0.9 * allowanceFraction * testLimit / testSize

// TestUseWithinAllowanceNeedsNoCall checks that instances whose demand stays
// within their allowances are served without a call to the owner.
func TestUseWithinAllowanceNeedsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startFleet(testSize, rateWithinAllowance)
		got := f.run(settleTime)
		t.Logf("%.2f/s admitted, %d calls", got, f.calls())
		if got < testSize*rateWithinAllowance*0.95 || f.calls() > 0 {
			t.Errorf("%.2f/s of %.2f/s admitted with %d calls", got, testSize*rateWithinAllowance, f.calls())
		}
	})
}

// TestLeasesAndAllowancesWithinLimit checks that leases and allowances together
// stay within the limit while the demand moves from instance to instance: the owner
// must not grant what is reserved for the allowances.
func TestLeasesAndAllowancesWithinLimit(t *testing.T) {
	limit := share{Requests: testLimit, Tokens: 10 * testLimit, Slots: 20 * testSize}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(catalogue.Limits{
			RequestsPerSecond: limit.Requests,
			TokensPerSecond:   limit.Tokens,
			Concurrent:        int(limit.Slots),
		})
		defer f.stopAll()
		f.startFleet(testSize, rateWithinAllowance)
		f.requestDuration = time.Second
		ids := f.ids()
		f.run(settleTime)
		var most share
		for second := range 60 {
			if second%5 == 0 { // the demand moves from instance to instance
				f.instances[ids[second/5%testSize]].rate = rateWithinAllowance
				f.instances[ids[(second/5+1)%testSize]].rate = 2 * testLimit
			}
			f.run(time.Second)
			most = most.zip(f.usable(), func(a, b float64) float64 { return max(a, b) })
		}
		t.Logf("at most %+v usable of %+v", most, limit)
		if !most.fits(limit.times(1 + balanceTolerance)) {
			t.Errorf("%+v usable of %+v", most, limit)
		}
		if most.Requests < testLimit*0.85 {
			t.Errorf("only %.1f/s usable, the demand did not reach the limit", most.Requests)
		}
	})
}

// TestAllowanceDuringPartition checks the bound on overshoot during a partition
// with low demand on some instances and demand above the limit on others: without
// a lease the allowance counts as a part of the fallback.
func TestAllowanceDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startFleet(testSize, rateWithinAllowance)
		f.instances["i0"].rate, f.instances["i6"].rate = 2*testLimit, 2*testLimit
		f.run(settleTime)
		if over := f.overshoot(testLimit, 0, f.elapsed()); over > burstBound {
			t.Errorf("overshoot %.0f above the bound of %.0f before the partition", over, burstBound)
		}
		partitionedAt := f.elapsed()
		f.setPartition(true)
		f.run(time.Minute)
		f.setPartition(false)
		f.run(time.Minute)
		transient := f.overshoot(testLimit, partitionedAt, f.elapsed())
		bound := testLimit*(detectionDelay+shortLeaseTTL).Seconds()*3/testSize + burstBound
		settled := f.overshoot(testLimit, partitionedAt+detectionDelay+shortLeaseTTL+2*time.Second, partitionedAt+time.Minute)
		t.Logf("overshoot %.0f, bound %.0f; after the partition was detected %.0f", transient, bound, settled)
		if transient > bound || settled > burstBound {
			t.Errorf("overshoot %.0f, bound %.0f; after the partition was detected %.0f", transient, bound, settled)
		}
	})
}

// TestAllowanceOfSlots checks that concurrent requests within the allowance of
// slots need no lease, and that the next one does.
func TestAllowanceOfSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newWorkspace(testWorkspace, share{Slots: 2 / allowanceFraction * testSize}, testSize, now)
	for i, want := range []takeResult{{onAllowance: true}, {onAllowance: true}, {starved: true}} {
		if got := w.take(1, now); got != want {
			t.Errorf("request %d: got %+v, want %+v", i, got, want)
		}
	}
	if r := w.peek(now); r.inUse != 3 || r.inUseOnLease != 1 || r.usage.requests != 1 {
		t.Errorf("reported %+v", r)
	}
}

// TestGrantableShareDoesNotDependOnFleetSize checks that the owner need not
// withdraw leases when the fleet shrinks and the allowances grow.
func TestGrantableShareDoesNotDependOnFleetSize(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := share{Requests: 100, Tokens: 1e5, Slots: 150}
	w := newWorkspace(testWorkspace, limit, testSize, now)
	grantable := w.budget(1).total
	for size := testSize; size > 0; size-- {
		w.setFleetSize(size, now)
		if got := w.budget(1).total; got != grantable {
			t.Errorf("at %d instances %+v may be granted, before %+v", size, got, grantable)
		}
		if sum := grantable.plus(w.allowance.times(float64(size))); !sum.fits(limit.times(1 + balanceTolerance)) {
			t.Errorf("at %d instances %+v may be used of %+v", size, sum, limit)
		}
	}
}

// TestDoneCorrectsAllowance checks that an estimate that was too high does not use
// up the allowance.
func TestDoneCorrectsAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newWorkspace(testWorkspace, share{Tokens: 1e5}, testSize, now)
	first := w.take(20000, now)
	w.done(20000, 100, first.onAllowance, now)
	if second := w.take(100, now); !first.onAllowance || !second.onAllowance {
		t.Errorf("got %+v, then %+v, want both on the allowance", first, second)
	}
	third := w.take(1000, now)
	w.done(1000, 0, third.onAllowance, now)
	if fourth := w.take(600, now); third.onAllowance && !fourth.onAllowance {
		t.Errorf("after the correction of an estimate on the allowance (%+v), the next request is not on the allowance: %+v", third, fourth)
	}
}

// TestShareFollowsDemandDespiteLongLease checks that when demand moves and rises
// while another instance has a long lease, the rest of the limit is available at
// once, and all of it when that lease is released.
func TestShareFollowsDemandDespiteLongLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startFleet(testSize, 0)
		f.instances["i0"].rate = testLimit * 0.4
		f.run(settleTime)
		f.instances["i0"].rate, f.instances["i3"].rate = 0, 1.5*testLimit
		f.run(3 * time.Second)
		early := f.run(5 * time.Second)
		f.run(longRenewInterval - 8*time.Second + 2*shortRenewInterval)
		late := f.run(10 * time.Second)
		over := f.overshoot(testLimit, 0, f.elapsed())
		t.Logf("%.1f/s from 3 s on, %.1f/s from %v on, overshoot %.0f", early, late, longRenewInterval+2*shortRenewInterval, over)
		if early < testLimit*0.4 || late < testLimit*0.85 || over > burstBound {
			t.Errorf("%.1f/s, then %.1f/s, overshoot %.0f", early, late, over)
		}
	})
}

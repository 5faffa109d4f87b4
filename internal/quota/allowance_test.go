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
func (b *lateBus) Call(ctx context.Context, to string, topic peer.Topic, payload []byte) ([]byte, error) {
	b.calls.Add(1)
	return b.Node.Call(ctx, to, topic, payload)
}

// calls is the number of calls in the fleet so far.
func (f *testFleet) calls() int64 {
	var sum int64
	for _, in := range f.instances {
		sum += in.bus.(*lateBus).calls.Load()
	}
	return sum
}

// usable is what all instances together may use in the long run: their leases
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

// rareRate is a demand within an instance's allowance, in requests per second.
const rareRate = 0.9 * allowancePart * testLimit / testSize

func TestRareUseNeedsNoKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startAll(testSize, rareRate)
		got := f.run(settle)
		t.Logf("%.2f/s admitted, %d calls", got, f.calls())
		if got < testSize*rareRate*0.95 || f.calls() > 0 {
			t.Errorf("%.2f/s of %.2f/s admitted with %d calls", got, testSize*rareRate, f.calls())
		}
	})
}

// Whatever the demand, the keeper does not lend what the allowances use.
func TestLeasesAndAllowancesWithinLimit(t *testing.T) {
	limit := share{Requests: testLimit, Tokens: 10 * testLimit, Slots: 20 * testSize}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(catalogue.Limits{
			RequestsPerSecond: limit.Requests,
			TokensPerSecond:   limit.Tokens,
			Concurrent:        int(limit.Slots),
		})
		defer f.stopAll()
		f.startAll(testSize, rareRate)
		f.hold = time.Second
		ids := f.ids()
		f.run(settle)
		var most share
		for second := range 60 {
			if second%5 == 0 { // the demand moves from instance to instance
				f.instances[ids[second/5%testSize]].rate = rareRate
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

// Rare demand beside demand above the limit: the allowances count as a part of
// the fallback while the fleet is cut.
func TestAllowanceWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startAll(testSize, rareRate)
		f.instances["i0"].rate, f.instances["i6"].rate = 2*testLimit, 2*testLimit
		f.run(settle)
		if over := f.overshoot(testLimit, 0, f.elapsed()); over > burstBound {
			t.Errorf("overshoot %.0f above the bound of %.0f before the cut", over, burstBound)
		}
		cutAt := f.elapsed()
		f.cutHalves(true)
		f.run(time.Minute)
		f.cutHalves(false)
		f.run(time.Minute)
		transient := f.overshoot(testLimit, cutAt, f.elapsed())
		bound := testLimit*(detection+shortTTL).Seconds()*3/testSize + burstBound
		settled := f.overshoot(testLimit, cutAt+detection+shortTTL+2*time.Second, cutAt+time.Minute)
		t.Logf("overshoot %.0f, bound %.0f; after the cut was noticed %.0f", transient, bound, settled)
		if transient > bound || settled > burstBound {
			t.Errorf("overshoot %.0f, bound %.0f; after the cut was noticed %.0f", transient, bound, settled)
		}
	})
}

// Requests within the allowance in slots need no lease; the next one does.
func TestAllowanceOfSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newWorkspace(testWorkspace, share{Slots: 2 / allowancePart * testSize}, testSize, now)
	for i, want := range []taken{{allowed: true}, {allowed: true}, {starved: true}} {
		if got := w.take(1, now); got != want {
			t.Errorf("request %d: got %+v, want %+v", i, got, want)
		}
	}
	if r := w.peek(now); r.inUse != 3 || r.inLease != 1 || r.usage.requests != 1 {
		t.Errorf("reported %+v", r)
	}
}

// When the fleet shrinks, allowances grow but the keeper need not take back
// leases.
func TestReserveDoesNotDependOnFleetSize(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := share{Requests: 100, Tokens: 1e5, Slots: 150}
	w := newWorkspace(testWorkspace, limit, testSize, now)
	lendable := w.capital(1).all
	for size := testSize; size > 0; size-- {
		w.setFleetSize(size, now)
		if got := w.capital(1).all; got != lendable {
			t.Errorf("at %d instances %+v may be lent, before %+v", size, got, lendable)
		}
		if sum := lendable.plus(w.allowance.times(float64(size))); !sum.fits(limit.times(1 + balanceTolerance)) {
			t.Errorf("at %d instances %+v may be used of %+v", size, sum, limit)
		}
	}
}

// An estimate that was too high does not use up the allowance.
func TestDoneCorrectsAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newWorkspace(testWorkspace, share{Tokens: 1e5}, testSize, now)
	first := w.take(20000, now)
	w.done(20000, 100, first.allowed, now)
	if second := w.take(100, now); !first.allowed || !second.allowed {
		t.Errorf("got %+v, then %+v", first, second)
	}
	third := w.take(1000, now)
	w.done(1000, 0, third.allowed, now)
	if fourth := w.take(600, now); third.allowed && !fourth.allowed {
		t.Errorf("got %+v, then %+v", third, fourth)
	}
}

// Demand that moves and rises while another instance has a long lease finds
// the rest of the limit at once and all of it when that lease is given back.
func TestShareFollowsFromLongLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startAll(testSize, 0)
		f.instances["i0"].rate = testLimit * 0.4
		f.run(settle)
		f.instances["i0"].rate, f.instances["i3"].rate = 0, 1.5*testLimit
		f.run(3 * time.Second)
		early := f.run(5 * time.Second)
		f.run(longRenew - 8*time.Second + 2*shortRenew)
		late := f.run(10 * time.Second)
		over := f.overshoot(testLimit, 0, f.elapsed())
		t.Logf("%.1f/s from 3 s on, %.1f/s from %v on, overshoot %.0f", early, late, longRenew+2*shortRenew, over)
		if early < testLimit*0.4 || late < testLimit*0.85 || over > burstBound {
			t.Errorf("%.1f/s, then %.1f/s, overshoot %.0f", early, late, over)
		}
	})
}

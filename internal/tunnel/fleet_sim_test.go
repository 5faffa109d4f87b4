package tunnel

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// cutOutcome is what a simulated cut has shown.
type cutOutcome struct {
	// served and failed count the connections that instances without paths tried, those of
	// the first second apart.
	servedLearning, failedLearning int
	served, failed                 int
	// slow counts the connections that took over 50 ms after the first second.
	slow int
	// othersFailed counts those of the other instances, othersServed those that succeeded.
	othersServed, othersFailed int
	// streams is the number of tunnels asked for per connection of an instance without paths.
	streams float64
	// maxServed is the most tunnels that one instance served at a time.
	maxServed int64
	// broadcasts is the number of notices of all instances.
	broadcasts int64
	// directAgain is when the last instance used a direct connection after the cut.
	directAgain time.Duration
}

// simulateCut cuts a share of the instances off for cutTime, while each instance opens
// connections at a rate that keeps all upstreams in use, and each connection lasts holdTime.
func simulateCut(t *testing.T, instances, upstreams, lost int, refused bool, seed uint64) cutOutcome {
	const (
		cutTime  = 5 * time.Second
		holdTime = 300 * time.Millisecond
		gap      = 200 * time.Millisecond
	)
	f := newFleet(instances, upstreams, 2*time.Millisecond)
	var o cutOutcome
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	cutAt := began.Add(2 * time.Second)
	endAt := cutAt.Add(cutTime)
	connect := func(n *fakeInstance, address string) {
		at := time.Now()
		conn, via, err := n.dial(t, address)
		took := time.Since(at)
		mu.Lock()
		during := at.After(cutAt) && at.Before(endAt)
		switch {
		case n.index >= lost && during && err == nil:
			o.othersServed++
		case n.index >= lost && during:
			o.othersFailed++
		case during && err == nil && at.Before(cutAt.Add(time.Second)):
			o.servedLearning++
		case during && at.Before(cutAt.Add(time.Second)):
			o.failedLearning++
		case during && err == nil:
			o.served++
			if took > 50*time.Millisecond {
				o.slow++
			}
		case during:
			o.failed++
		}
		if at.After(endAt) && via != "" {
			o.directAgain = max(o.directAgain, at.Sub(endAt))
		}
		mu.Unlock()
		if err == nil {
			time.Sleep(holdTime)
			conn.Close()
		}
	}
	for i, n := range f.instances {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			time.Sleep(time.Duration(random.Int64N(int64(gap))))
			for time.Since(began) < 2*time.Second+cutTime+2*time.Second {
				address := fmt.Sprintf("u%d", random.IntN(upstreams))
				wait.Go(func() { connect(n, address) })
				time.Sleep(gap/2 + time.Duration(random.Int64N(int64(gap))))
			}
		})
	}
	time.Sleep(time.Until(cutAt))
	var cut []int
	for i := range lost {
		cut = append(cut, i)
	}
	f.cutOff(refused, cut...)
	before := f.streams.Load()
	time.Sleep(cutTime)
	during := f.streams.Load() - before
	f.cutOff(refused)
	wait.Wait()
	o.broadcasts = f.broadcasts.Load()
	for _, n := range f.instances {
		o.maxServed = max(o.maxServed, n.maxServed.Load())
	}
	if tried := o.served + o.failed + o.servedLearning + o.failedLearning; tried > 0 {
		o.streams = float64(during) / float64(tried)
	}
	return o
}

// cutCase is a size and a number of instances that are cut off.
type cutCase struct{ instances, upstreams, lost int }

// TestCutOffInstancesServeAtSize checks on fleets in virtual time that instances without paths
// serve nearly as many first tries as the others, at once after a second, without harm to the
// others, and that they soon connect directly again.
func TestCutOffInstancesServeAtSize(t *testing.T) {
	for _, c := range []cutCase{{7, 26, 1}, {7, 26, 4}, {7, 26, 6}, {65, 80, 7}, {65, 80, 33}, {65, 80, 64}, {195, 120, 98}, {410, 800, 205}} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d of %d, refused %v", c.lost, c.instances, refused), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(t *testing.T) {
					o := simulateCut(t, c.instances, c.upstreams, c.lost, refused, 1)
					t.Logf("%+v", o)
					if share := float64(o.served) / float64(o.served+o.failed); share < 0.97 {
						t.Errorf("served %.3f of the first tries without a path, want 0.97", share)
					}
					if slow := float64(o.slow) / float64(max(o.served, 1)); slow > 0.1 {
						t.Errorf("%.3f of the connections took over 50 ms after a second, want 0.1", slow)
					}
					if o.othersFailed > 0 {
						t.Errorf("%d first tries failed at the other instances", o.othersFailed)
					}
					if o.directAgain > time.Second {
						t.Errorf("tunnels were used for %v after the cut", o.directAgain)
					}
					if o.maxServed > maxServed {
						t.Errorf("an instance served %d tunnels at a time", o.maxServed)
					}
				})
			})
		}
	}
}

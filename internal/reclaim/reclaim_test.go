package reclaim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// maxRecoveryTime is the maximum time from the crash of an owner, or from a
// deadline, to the release: the grace period, a sweep before and after it, and the
// calls.
const maxRecoveryTime = ownerGracePeriod + 3*sweepInterval + maxClockSkew + 10*time.Second

var schedules = flag.Int("schedules", 60, "seeds of the random schedules")

// liveListDelay is how long the fake live list shows a crashed instance.
const liveListDelay = 20 * time.Second

// fleet is a set of fake engines and instances.
type fleet struct {
	mu      sync.Mutex
	net     *peertest.Net
	engines map[string]map[string]upstream.Hold
	down    map[string]bool
	needed  map[string]bool
	cancel  map[string]context.CancelFunc
	// listed is when each instance is removed from the live list.
	listed map[string]time.Time
	// released is when each hold was released.
	released map[string]time.Time
}

func newFleet() *fleet {
	return &fleet{
		net: peertest.NewNet(time.Millisecond), engines: map[string]map[string]upstream.Hold{}, down: map[string]bool{},
		needed: map[string]bool{}, listed: map[string]time.Time{}, cancel: map[string]context.CancelFunc{}, released: map[string]time.Time{},
	}
}

var errEngine = errors.New("engine does not answer")

func (f *fleet) Holds(_ context.Context, url string) (upstream.Holds, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[url] {
		return upstream.Holds{}, errEngine
	}
	var h upstream.Holds
	for _, hold := range f.engines[url] {
		h.Holds = append(h.Holds, hold)
	}
	return h, nil
}

func (f *fleet) Release(_ context.Context, url, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[url] {
		return errEngine
	}
	if _, ok := f.engines[url][name]; ok {
		f.released[name] = time.Now()
	}
	delete(f.engines[url], name)
	return nil
}

func (f *fleet) Engines() []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var engines []Engine
	for url := range f.engines {
		engines = append(engines, Engine{ID: url, URL: url})
	}
	return engines
}

// maxSilence is the longest time for which an engine does not answer.
const maxSilence = time.Minute

// silenceEngine makes an engine not answer for d.
func (f *fleet) silenceEngine(url string, d time.Duration) {
	set := func(down bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.down[url] = down
	}
	set(true)
	time.AfterFunc(d, func() { set(false) })
}

// start starts an instance's sweeper.
func (f *fleet) start(ctx context.Context, id string, incarnation uint64) {
	node := f.net.Join(peer.Member{ID: id, Incarnation: incarnation})
	ctx, cancel := context.WithCancel(ctx)
	s := New(Options{Bus: node, Holds: f, Engines: f.Engines, Listed: f.isListed, Needed: func(name string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.needed[name]
	}})
	f.mu.Lock()
	f.listed[id] = time.Now().Add(1000 * time.Hour)
	f.cancel[id] = cancel
	f.mu.Unlock()
	go func() { _ = s.Run(ctx) }()
}

// isListed reports whether an instance is on the simulated live list of the
// platform.
func (f *fleet) isListed(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.listed[id])
}

// crash stops an instance without notice.
func (f *fleet) crash(id string) {
	f.net.Leave(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed[id] = time.Now().Add(liveListDelay)
	f.cancel[id]()
}

func (f *fleet) hold(engine, name string, deadline time.Duration, needed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := upstream.Hold{Kind: upstream.HoldExport, Name: name, Tokens: 1000}
	if deadline != 0 {
		h.DeadlineUnixMs = time.Now().Add(deadline).UnixMilli()
	}
	if f.engines[engine] == nil {
		f.engines[engine] = map[string]upstream.Hold{}
	}
	f.engines[engine][name] = h
	f.needed[name] = needed
}

func (f *fleet) has(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, holds := range f.engines {
		if _, ok := holds[name]; ok {
			return true
		}
	}
	return false
}

// TestOnlyReleasableHoldsAreReleased checks that holds past their deadline, of
// crashed or restarted owners, unneeded ones and, after a longer grace period, ones
// without an owner are released, and that needed ones are not.
func TestOnlyReleasableHoldsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.hold("e", "a/1/needed", 0, true)
		f.hold("e", "a/1/leaked", 0, false)
		f.hold("e", "a/1/short", time.Minute, true)
		f.hold("e", "b/1/crashed", time.Hour, true)
		f.hold("e", "c/1/before-restart", time.Hour, true)
		f.hold("e", "nonsense", 0, true)
		for _, id := range []string{"a", "b", "c"} {
			f.start(t.Context(), id, 1)
		}
		time.Sleep(20 * time.Second)
		for _, name := range []string{"a/1/needed", "a/1/leaked", "a/1/short", "b/1/crashed", "c/1/before-restart", "nonsense"} {
			if !f.has(name) {
				t.Fatalf("%s was released immediately", name)
			}
		}
		f.crash("b")
		f.crash("c")
		f.start(t.Context(), "c", 2)
		time.Sleep(time.Minute + maxRecoveryTime)
		if !f.has("a/1/needed") || !f.has("nonsense") {
			t.Fatal("a needed hold, or one without an owner in its grace period, was released")
		}
		for _, name := range []string{"a/1/leaked", "a/1/short", "b/1/crashed", "c/1/before-restart"} {
			if f.has(name) {
				t.Errorf("%s is still held", name)
			}
		}
		time.Sleep(noOwnerGracePeriod)
		if f.has("nonsense") {
			t.Error("a hold without an owner is not released")
		}
	})
}

// TestUnlistedButLiveOwnerKeepsItsHolds checks that the holds of an owner that is
// missing from the live list are not released if at least one member can reach it
// at least once per grace period.
func TestUnlistedButLiveOwnerKeepsItsHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		for i := range 8 {
			f.hold(fmt.Sprint("e", i), fmt.Sprintf("a/1/%d", i), 0, true)
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			f.start(t.Context(), id, 1)
		}
		f.mu.Lock()
		f.listed["a"] = time.Time{}
		f.mu.Unlock()
		f.net.SetLinkBroken("a", "b", true)
		f.net.SetLinkBroken("a", "c", true)
		time.Sleep(time.Hour)
		for range 20 {
			f.net.SetLinkBroken("a", "d", true)
			time.Sleep(ownerGracePeriod / 2)
			f.net.SetLinkBroken("a", "d", false)
			time.Sleep(sweepInterval * 2)
		}
		for i := range 8 {
			if !f.has(fmt.Sprintf("a/1/%d", i)) {
				t.Errorf("hold %d of a live owner was released", i)
			}
		}
	})
}

// TestOrphanedHoldsAreReleasedUnderFaults checks, while instances crash, restart and
// lose links at random and engines do not answer for a while, that all holds of crashed owners are released and no
// needed hold of a live owner is. It checks only the holds that the engines have.
func TestOrphanedHoldsAreReleasedUnderFaults(t *testing.T) {
	var longest time.Duration
	holds, silent := 0, 0
	for seed := range uint64(*schedules) {
		synctest.Test(t, func(t *testing.T) {
			rng, silence := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4))
			f := newFleet()
			ids := []string{"a", "b", "c", "d", "e"}
			incarnation := map[string]uint64{}
			for _, id := range ids {
				incarnation[id] = 1
				f.start(t.Context(), id, 1)
			}
			orphaned := map[string]time.Time{}
			alive := map[string]bool{}
			for n := range 30 {
				id := ids[rng.IntN(len(ids))]
				name := fmt.Sprintf("%s/%d/%d", id, incarnation[id], n)
				f.hold(fmt.Sprint("e", rng.IntN(4)), name, time.Duration(rng.IntN(2))*2*time.Hour, true)
				alive[name] = true
				holds++
				time.Sleep(time.Duration(rng.Int64N(int64(10 * time.Second))))
				if rng.IntN(6) == 0 {
					victim := ids[rng.IntN(len(ids))]
					f.crash(victim)
					for name := range alive {
						if p, _ := parseName(name); p.owner == victim {
							delete(alive, name)
							orphaned[name] = time.Now()
						}
					}
					time.Sleep(time.Duration(rng.IntN(2)) * time.Minute)
					incarnation[victim]++
					f.start(t.Context(), victim, incarnation[victim])
				}
				if silence.IntN(6) == 0 {
					silent++
					f.silenceEngine(fmt.Sprint("e", silence.IntN(4)), time.Duration(silence.Int64N(int64(maxSilence))))
				}
				if rng.IntN(6) == 0 {
					x, y := ids[rng.IntN(len(ids))], ids[rng.IntN(len(ids))]
					f.net.SetLinkBroken(x, y, x != y)
					time.AfterFunc(time.Duration(rng.Int64N(int64(3*time.Minute))), func() { f.net.SetLinkBroken(x, y, false) })
				}
			}
			time.Sleep(4*time.Minute + maxRecoveryTime)
			for name := range alive {
				if !f.has(name) {
					t.Errorf("seed %d: needed hold %s of a live owner was released", seed, name)
				}
			}
			for name, since := range orphaned {
				if f.has(name) {
					t.Errorf("seed %d: hold %s of a crashed owner was not released", seed, name)
					continue
				}
				longest = max(longest, f.released[name].Sub(since))
			}
		})
	}
	t.Logf("%d schedules, %d holds, %d silences of engines; maximum time from crash to release %v", *schedules, holds, silent, longest)
	if longest > maxRecoveryTime+2*time.Minute {
		t.Errorf("maximum time from crash to release %v", longest)
	}
}

// FuzzQuery checks that a query from the network gets an error or a valid reply.
func FuzzQuery(f *testing.F) {
	seed, err := cbor.Marshal(query{Name: "a/1/x"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, payload []byte) {
		a := newOwnerClient(peertest.NewNet(0).Join(peer.Member{ID: "a", Incarnation: 1}), func(string) bool { return true })
		data, err := a.handle(t.Context(), "b", payload)
		if err != nil {
			return
		}
		var r reply
		if err := cbor.Unmarshal(data, &r); err != nil || r.Answer > answerNotNeeded {
			t.Fatalf("reply %v, %v", r, err)
		}
	})
}

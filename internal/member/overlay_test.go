package member

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// rapidSeed makes each run draw the same schedules.
const rapidSeed = "7"

func TestMain(m *testing.M) {
	_ = logging.Setup(io.Discard, "error")
	_ = flag.Set("rapid.seed", rapidSeed) // the command line overrides it
	goleak.VerifyTestMain(m)
}

// Bounds of convergence, in virtual time.
const (
	joinBound   = 8 * time.Second
	leaveBound  = 3 * time.Second
	deathBound  = 20 * time.Second
	regionBound = 30 * time.Second
	healBound   = 30 * time.Second
	// falseDeathBound is how long a live, connected instance may be missing.
	falseDeathBound = 5 * time.Second
)

// TestJoinLeaveAndKill checks that all views converge within the bounds after
// instances join, leave and are killed, in fleets of several sizes.
func TestJoinLeaveAndKill(t *testing.T) {
	for _, size := range []int{2, 7, 30} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			defer c.stopAll()
			c.startAll(size, "r1/a", "r1/b", "r1/c")
			t.Logf("%d instances: joined in %v", size, c.converge(joinBound, all))
			victim := c.ids()[1]
			c.leave(victim)
			t.Logf("left in %v", c.converge(leaveBound, all))
			c.start(victim)
			t.Logf("rejoined in %v", c.converge(joinBound, all))
			c.kill(victim)
			t.Logf("declared dead in %v", c.converge(deathBound, all))
		})
	}
}

// TestDegreeIsBoundedAndMostLinksAreLocal checks that no instance has more than
// maxDegree neighbours and that most links stay within a data centre.
func TestDegreeIsBoundedAndMostLinksAreLocal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(60, "r1/a", "r1/b", "r2/c")
		c.converge(joinBound, all)
		time.Sleep(30 * time.Second)
		local, links := 0, 0
		for id, n := range c.nodes {
			if degree := len(n.Neighbours()); degree > maxDegree {
				t.Errorf("%s has %d neighbours", id, degree)
			}
			for _, other := range n.Neighbours() {
				links++
				if n.members.Load().byID[other].DataCentre == n.self.DataCentre {
					local++
				}
			}
		}
		if local*100 < links*60 {
			t.Errorf("%d of %d links are local", local, links)
		}
	})
}

// TestBroadcastReachesEachMemberOnce checks that flooding delivers a broadcast to
// every other member exactly once.
func TestBroadcastReachesEachMemberOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(30, "r1/a", "r1/b", "r2/c")
		c.converge(joinBound, all)
		time.Sleep(2 * time.Second)
		c.nodes[c.ids()[0]].Broadcast(testTopic, []byte("x"))
		time.Sleep(time.Second)
		if got := c.deliveredTo("x"); got != 29 {
			t.Fatalf("the broadcast reached %d of 29", got)
		}
	})
}

// TestBroadcastsUseSpanningTree checks that once the first broadcasts have pruned
// the eager links to a spanning tree, each further broadcast is sent little more
// than once per member.
func TestBroadcastsUseSpanningTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(30, "r1/a", "r1/b", "r2/c")
		c.converge(joinBound, all)
		time.Sleep(15 * time.Second)
		broadcastRound(c, "warm", 30)
		before := c.broadcastsSent()
		broadcastRound(c, "count", 30)
		perBroadcast := float64(c.broadcastsSent()-before) / 30
		t.Logf("%.1f messages per broadcast to 29 members", perBroadcast)
		if perBroadcast > 1.3*29 {
			t.Errorf("%.1f messages per broadcast to 29 members", perBroadcast)
		}
	})
}

// broadcastRound sends count broadcasts from different members and checks that
// each reaches all others.
func broadcastRound(c *cluster, name string, count int) {
	c.t.Helper()
	ids := c.ids()
	for i := range count {
		c.nodes[ids[i%len(ids)]].Broadcast(testTopic, []byte(fmt.Sprint(name, i)))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for i := range count {
		if got := c.deliveredTo(fmt.Sprint(name, i)); got != len(ids)-1 {
			c.t.Errorf("broadcast %s%d reached %d of %d", name, i, got, len(ids)-1)
		}
	}
}

func (c *cluster) broadcastsSent() (total uint64) {
	for _, n := range c.nodes {
		for _, t := range n.Traffic() {
			if strings.HasPrefix(t.Topic, "broadcast/") || t.Topic == "graft" {
				total += t.SentMessages
			}
		}
	}
	return total
}

// TestLostBroadcastIsRepaired checks that a broadcast lost on an eager link of the
// tree, without an error at the sender, arrives over another link.
func TestLostBroadcastIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(30, "r1/a", "r1/b", "r2/c")
		c.converge(joinBound, all)
		time.Sleep(15 * time.Second)
		broadcastRound(c, "warm", 30)
		origin := c.nodes[c.ids()[0]]
		for _, l := range origin.links.Load().links {
			if !l.lazy.Load() {
				c.net.setPartition(origin.self.ID, l.peer.ID, true)
				break
			}
		}
		origin.Broadcast(testTopic, []byte("lost"))
		time.Sleep(5 * time.Second)
		if got := c.deliveredTo("lost"); got != 29 {
			t.Errorf("the broadcast reached %d of 29", got)
		}
	})
}

// TestCallOverDirectLink checks calls to members without an overlay link, that
// idle direct links are closed, and that a call to an unknown instance fails.
func TestCallOverDirectLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(30, "r1/a")
		c.converge(joinBound, all)
		caller := c.nodes[c.ids()[0]]
		for _, id := range c.ids()[1:] {
			got, err := caller.Call(t.Context(), id, testTopic, []byte("hi"))
			if err != nil || string(got) != caller.self.ID+": hi" {
				t.Fatalf("call to %s: %q, %v", id, got, err)
			}
		}
		time.Sleep(3 * time.Minute)
		if dialled, accepted := caller.direct.count(); dialled+accepted != 0 {
			t.Errorf("%d dialled and %d accepted links are still open", dialled, accepted)
		}
		if _, err := caller.Call(t.Context(), "nobody", testTopic, nil); !errors.Is(err, peer.ErrUnreachable) {
			t.Errorf("call to an unknown instance: %v", err)
		}
	})
}

// TestSilentDirectLinkIsReplaced checks that after a call times out on a direct
// link that silently loses messages, the next call uses a new link.
func TestSilentDirectLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(30, "r1/a")
		c.converge(joinBound, all)
		caller := c.nodes[c.ids()[0]]
		target := nonNeighbour(c, caller)
		if _, err := caller.Call(t.Context(), target, testTopic, nil); err != nil {
			t.Fatal(err)
		}
		caller.direct.entryFor(caller.members.Load().byID[target]).link.conn.(*memConn).discardWrites.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := caller.Call(ctx, target, testTopic, nil); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("call on a silent link: %v", err)
		}
		if _, err := caller.Call(t.Context(), target, testTopic, nil); err != nil {
			t.Fatalf("call after the silent link: %v", err)
		}
	})
}

// TestPendingDialDoesNotDelayCalls guards against calls to an instance that has just started which
// wait for an attempt to connect from before its start: its packets were lost without an error.
func TestPendingDialDoesNotDelayCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(30, "r1/a")
		c.converge(joinBound, all)
		caller := c.nodes[c.ids()[0]]
		target := nonNeighbour(c, caller)
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
			defer cancel()
			_, err := caller.Call(ctx, target, testTopic, nil)
			return err
		}
		c.net.setPartition(caller.self.ID, target, true)
		if err := call(); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("call while packets are lost: %v", err)
		}
		c.net.setPartition(caller.self.ID, target, false)
		time.Sleep(redialDelay)
		if err := call(); err != nil {
			t.Errorf("call once the instance is up: %v", err)
		}
		time.Sleep(caller.timing.DialTimeout)
		if err := call(); err != nil {
			t.Errorf("call after the first attempt has ended: %v", err)
		}
	})
}

func nonNeighbour(c *cluster, n *node) string {
	for _, id := range c.ids() {
		if id != n.self.ID && n.links.Load().byID[id] == nil {
			return id
		}
	}
	c.t.Fatal("all are neighbours")
	return ""
}

// longestAbsence samples the views for d and returns the longest time for which
// one of the instances in watched was missing from the view of another.
func longestAbsence(c *cluster, d time.Duration, watched func(id string) bool) time.Duration {
	const step = 200 * time.Millisecond
	missing := map[[2]string]time.Duration{}
	longest := time.Duration(0)
	for range int(d / step) {
		time.Sleep(step)
		for _, id := range c.ids() {
			view := c.nodes[id].members.Load().byID
			for _, other := range c.ids() {
				key := [2]string{id, other}
				if _, ok := view[other]; ok || !watched(id) || !watched(other) {
					delete(missing, key)
					continue
				}
				missing[key] += step
				longest = max(longest, missing[key])
			}
		}
	}
	return longest
}

// TestFalseSuspicionIsRefuted checks that a live instance that most of its
// neighbours cannot reach is missing from their views only briefly, since it
// refutes the suspicion.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(7, "r1/a", "r1/b", "r1/c")
		c.converge(joinBound, all)
		time.Sleep(5 * time.Second)
		one := c.nodes[c.ids()[0]]
		for _, other := range one.Neighbours()[1:] {
			c.net.setPartition(one.self.ID, other, true)
		}
		longest := longestAbsence(c, 3*time.Minute, func(string) bool { return true })
		if longest > falseDeathBound {
			t.Errorf("a live instance was missing for %v", longest)
		}
		t.Logf("longest absence of a live instance: %v", longest)
	})
}

// TestFreezeAndUnfreeze checks that a paused process is declared dead, that it does
// not declare the others dead when it continues, and that it rejoins without
// disturbing the views of the others.
func TestFreezeAndUnfreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(7, "r1/a", "r1/b", "r1/c")
		c.converge(joinBound, all)
		frozen := c.ids()[2]
		c.freeze(frozen)
		others := func(a, b string) bool { return a == frozen || b != frozen }
		t.Logf("declared dead in %v", c.converge(deathBound, others))
		time.Sleep(time.Minute)
		c.unfreeze(frozen)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if got := len(c.viewOf(frozen)); got != 7 {
				t.Fatalf("the unfrozen instance has %d of 7 members in its view", got)
			}
		}
		t.Logf("rejoined in %v", c.converge(healBound, all))
		rest := func(id string) bool { return id != frozen }
		if longest := longestAbsence(c, time.Minute, rest); longest > 0 {
			t.Errorf("an instance that was not frozen was missing for %v", longest)
		}
	})
}

// TestRegionPartitionAndHeal checks that both sides of a partition between regions
// detect it, and that all views converge after it heals.
func TestRegionPartitionAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(80, "r1/a", "r1/b", "r2/c", "r2/d")
		c.converge(joinBound, all)
		time.Sleep(5 * time.Second)
		first := func(id string) bool { return strings.HasPrefix(id, "r1") }
		c.split(first, true)
		same := func(a, b string) bool { return first(a) == first(b) }
		t.Logf("partition detected in %v", c.converge(regionBound, same))
		time.Sleep(5 * time.Minute)
		c.split(first, false)
		t.Logf("healed in %v", c.converge(healBound, all))
	})
}

// TestStaleListAddsAndRemovesNoMembers checks that a dead instance on the platform's
// list does not become a member, that a live one missing from it remains a member,
// and that a listed phase "leaving" reaches all members.
func TestStaleListAddsAndRemovesNoMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(5, "r1/a", "r1/b")
		c.listAs("r1/a/gone", platform.Live)
		c.converge(joinBound, all) // dead though listed
		unlisted := c.start("r1/b/new")
		c.converge(joinBound, all)
		c.listAs("r1/b/new", "")
		time.Sleep(time.Minute)
		c.converge(0, all) // live though unlisted
		c.listAs(unlisted.self.ID, platform.Leaving)
		time.Sleep(5 * time.Second)
		for id, n := range c.nodes {
			if !n.members.Load().byID[unlisted.self.ID].Leaving {
				t.Errorf("%s does not know that the instance is leaving", id)
			}
		}
	})
}

// TestStaleLeavingIsIgnoredForNewProcess checks that a list that still shows the
// phase "leaving" of an earlier process does not make the new process with the
// same ID leave.
func TestStaleLeavingIsIgnoredForNewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(5, "r1/a")
		c.converge(joinBound, all)
		id := c.ids()[0]
		c.listAs(id, platform.Leaving)
		c.leave(id)
		n := c.start(id)
		time.Sleep(10 * time.Second)
		c.listAs(id, platform.Live)
		time.Sleep(30 * time.Second)
		c.converge(0, all)
		if n.Self().Leaving {
			t.Error("the new process is leaving in its own view")
		}
	})
}

// TestSetLeavingReachesAllMembers checks that all members know within 2 s that an
// instance is leaving.
func TestSetLeavingReachesAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startAll(30, "r1/a", "r1/b", "r2/c")
		c.converge(joinBound, all)
		time.Sleep(2 * time.Second)
		id := c.ids()[0]
		c.nodes[id].SetLeaving()
		time.Sleep(2 * time.Second)
		for other, n := range c.nodes {
			if !n.members.Load().byID[id].Leaving {
				t.Errorf("%s does not know that the instance is leaving", other)
			}
		}
	})
}

// TestCallDuringShutdownKeepsNoSlot checks that a call that arrives while the overlay does
// not run takes no slot for calls.
func TestCallDuringShutdownKeepsNoSlot(t *testing.T) {
	o, err := New(Options{Self: peer.Member{ID: "a", Incarnation: 1, Address: "x", DataCentre: "a"}, Secret: []byte("s")})
	if err != nil {
		t.Fatal(err)
	}
	o.HandleCall("t", func(context.Context, string, []byte) ([]byte, error) { return nil, nil })
	l := newLink(noConn{}, linkOverlay, true, peer.Member{ID: "b", Incarnation: 1})
	o.receiveCall(l, callRequest{ID: 1, Topic: "t"})
	if n, active := len(o.callSlots), l.activeCalls.Load(); n != 0 || active != 0 {
		t.Errorf("%d slots and %d active calls are kept", n, active)
	}
}

// TestPanicOfHandlerIsContained checks that a panic while a call, a broadcast or a message
// of the overlay itself is handled ends neither the process nor the overlay, and that the
// caller of a call gets an error.
func TestPanicOfHandlerIsContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.onMessage = func(payload string) {
			if payload == "bad" {
				panic("bad message")
			}
		}
		c.startAll(3, "r1/a")
		c.converge(joinBound, all)
		caller, target := c.nodes[c.ids()[0]], c.ids()[1]
		if _, err := caller.Call(t.Context(), target, testTopic, []byte("bad")); err == nil || !strings.Contains(err.Error(), "bad message") {
			t.Errorf("call: error %v, want the panic", err)
		}
		caller.Broadcast(testTopic, []byte("bad"))
		c.nodes[target].post(t.Context(), received{})
		c.nodes[target].post(t.Context(), received{message: message{Heartbeat: &heartbeat{}}})
		time.Sleep(time.Minute)
		caller.Broadcast(testTopic, []byte("good"))
		time.Sleep(time.Second)
		if n := c.deliveredTo("good"); n != 2 {
			t.Errorf("the broadcast after the bad one reached %d members, want 2", n)
		}
		if got, err := caller.Call(t.Context(), target, testTopic, []byte("good")); err != nil {
			t.Errorf("call after the bad one: %q, %v", got, err)
		}
		if d := c.disagreement(all); d != "" {
			t.Error(d)
		}
	})
}

// panickingDialer is a Dialer that panics.
type panickingDialer struct{}

func (panickingDialer) Dial(context.Context, string) (Conn, error) { panic("dial") }

// TestPanicOfDialerEndsCalls checks that a call over a link whose opening panics fails at once.
func TestPanicOfDialerEndsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, err := New(Options{Self: peer.Member{ID: "a", Incarnation: 1, Address: "a"}, Secret: []byte("s"), Dialer: panickingDialer{}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = o.Run(ctx)
		}()
		synctest.Wait()
		began := time.Now()
		if _, err := o.direct.open(t.Context(), peer.Member{ID: "b", Address: "b"}); !errors.Is(err, peer.ErrUnreachable) || time.Since(began) > 0 {
			t.Errorf("got %v after %s, want %v at once", err, time.Since(began), peer.ErrUnreachable)
		}
		stop()
		<-done
	})
}

// TestAcceptedLinksAreBounded checks that an accepted direct link over the bound is closed and
// not kept.
func TestAcceptedLinksAreBounded(t *testing.T) {
	d := newDirectLinks(nil)
	var last *link
	for range maxDirectLinks + 1 {
		last = newLink(noConn{}, linkDirect, false, peer.Member{ID: "b"})
		d.addAccepted(last)
	}
	if _, accepted := d.count(); accepted != maxDirectLinks || !last.isClosed() {
		t.Errorf("%d links accepted, the last closed %t; want %d, true", accepted, last.isClosed(), maxDirectLinks)
	}
}

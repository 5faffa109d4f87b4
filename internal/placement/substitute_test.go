package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

// TestHomeThatStartsLastIsUsedSoon guards against a fleet that starts as a whole and plans through
// several instances for seconds, because the home was not up when it was called first.
func TestHomeThatStartsLastIsUsedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peertest.NewNet(time.Millisecond)
		nodes := newNodes(net, 5)
		home := homeOf(nodes, "llm")
		setSilent := func(silent bool) {
			for _, n := range nodes {
				net.SetSilent(n.member.ID, home.member.ID, silent)
			}
		}
		setSilent(true)
		for i, n := range nodes {
			n.fleet.Place(t.Context(), shortJob(fmt.Sprint("early", i)))
		}
		setSilent(false)
		time.Sleep(2 * startingHomeAvoidTime)
		for i, n := range nodes {
			n.fleet.Place(t.Context(), shortJob(fmt.Sprint("late", i)))
		}
		time.Sleep(100 * time.Millisecond)
		if got, want := home.known(), 2*len(nodes); got != want {
			t.Errorf("the home knows %d of %d jobs", got, want)
		}
	})
}

// TestSubstitutesUseDifferentEngines guards against a home and its substitutes that fill the same
// engines without knowing each other's jobs.
func TestSubstitutesUseDifferentEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, engines = 12, 20
		net := peertest.NewNet(time.Millisecond)
		nodes := newNodes(net, instances)
		var planners []*Planner
		for _, n := range nodes {
			planners = append(planners, n.planner)
		}
		deploymentOf(planners, engines)
		at := map[string]int{}
		for i, n := range nodes {
			at[n.fleet.placeHere(shortJob(fmt.Sprint("j", i)), time.Now()).Upstream]++
		}
		if len(at) < instances/2 {
			t.Errorf("%d planners that do not know each other's jobs used %d engines: %v", instances, len(at), at)
		}
	})
}

// TestInstanceThatHasNotJoinedPlansAlone guards against an instance that has just started, knows only
// itself and takes itself for the home: it would use whole limits of upstreams, and all such instances
// would fill the same engines.
func TestInstanceThatHasNotJoinedPlansAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, engines = 12, 20
		var nodes []*node
		var planners []*Planner
		joined := false
		for i := range instances {
			// Each is on a network of its own, as if it had not heard of the others.
			n := newNodes(peertest.NewNet(time.Millisecond), 1)[0]
			n.fleet.owner = fmt.Sprint("i", i, "/1")
			n.fleet.SetJoined(func() bool { return joined })
			nodes, planners = append(nodes, n), append(planners, n.planner)
		}
		deploymentOf(planners, engines)
		at := map[string]int{}
		for i, n := range nodes {
			at[n.fleet.Place(t.Context(), shortJob(fmt.Sprint("j", i))).Upstream]++
		}
		if len(at) < instances/2 {
			t.Errorf("%d instances that do not know each other used %d engines: %v", instances, len(at), at)
		}
		if share := nodes[0].fleet.limitShare("llm", time.Now()); share > loneShare/unlinkedInstances {
			t.Errorf("an instance that has not joined uses %g of a limit", share)
		}
		joined = true
		if home, linked := nodes[0].fleet.home("llm"); !linked || home != "" {
			t.Errorf("the only instance that there is: home %q, linked %v, want itself", home, linked)
		}
	})
}

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
			at[n.fleet.planner.Place(shortJob(fmt.Sprint("j", i)), 0.2, time.Now()).Upstream]++
		}
		if len(at) < instances/2 {
			t.Errorf("%d planners that do not know each other's jobs used %d engines: %v", instances, len(at), at)
		}
	})
}

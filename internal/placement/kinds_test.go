package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/wire/wiretest"
)

// TestUnknownEventIsIgnored guards against a batch of events that is refused because of one that
// a later build has added.
func TestUnknownEventIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNodes(peertest.NewNet(time.Millisecond), 1)[0]
		j := shortJob("j")
		n.fleet.Place(t.Context(), j)
		before := wiretest.UnknownKinds("kinds-event", "event")
		answer, err := n.fleet.handleCall(t.Context(), "kinds-event", encode(placeRequest{Events: []event{
			{Kind: eventCold + 1, ID: "j"}, {Kind: 0, ID: "j"}, {Kind: eventEnd, ID: "j", End: End{Outcome: Completed}},
		}}))
		var a placeAnswer
		if err != nil || decode(answer, &a, "peer") != nil {
			t.Fatalf("answer %x, error %v", answer, err)
		}
		if n.known() != 0 {
			t.Error("the known event after the unknown ones was not applied")
		}
		if got := wiretest.UnknownKinds("kinds-event", "event") - before; got != 2 {
			t.Errorf("%d unknown events counted, want 2", got)
		}
	})
}

// TestUnknownOutcomeIsNoEvidence guards against upstreams that are blamed, or jobs that are kept,
// because of an outcome that a later build has added.
func TestUnknownOutcomeIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNodes(peertest.NewNet(time.Millisecond), 1)[0]
		before := wiretest.UnknownKinds("kinds-outcome", "outcome")
		var upstream string
		for i := range 20 {
			j := shortJob(string(rune('a' + i)))
			j.Fingerprint = 7
			d := n.fleet.Place(t.Context(), j)
			if d.Upstream == "" {
				t.Fatalf("job %d refused (%s) after jobs that ended with an unknown outcome", i, d.Reason)
			}
			upstream = d.Upstream
			if _, err := n.fleet.handleCall(t.Context(), "kinds-outcome", encode(placeRequest{Events: []event{
				{Kind: eventEnd, ID: j.ID, End: End{Outcome: Stalled + 1, Silence: time.Hour}},
			}})); err != nil {
				t.Fatal(err)
			}
		}
		if n.known() != 0 {
			t.Errorf("%d jobs are kept", n.known())
		}
		if upstream == "" || len(n.planner.knownSuspects()) > 0 {
			t.Error("the request became a suspect")
		}
		if got := wiretest.UnknownKinds("kinds-outcome", "outcome") - before; got != 20 {
			t.Errorf("%d unknown outcomes counted, want 20", got)
		}
	})
}

// TestUnknownReasonIsARefusal guards against a home of a later build that is taken for one that
// does not answer because it names a reason that this build does not know.
func TestUnknownReasonIsARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peertest.NewNet(time.Millisecond)
		home := net.Join(peer.Member{ID: "kinds-home", Incarnation: 1})
		home.HandleCall(topicPlace, func(context.Context, string, []byte) ([]byte, error) {
			return encode(placeAnswer{Decision: &Decision{Reason: Limited + 1, RetryAfter: time.Second}}), nil
		})
		n := newNodes(net, 1)[0]
		before := wiretest.UnknownKinds("kinds-home", "reason")
		a, err := n.fleet.call(t.Context(), n.fleet.bus, "kinds-home", placeRequest{Job: &Job{ID: "j"}})
		if err != nil || a.Decision == nil || a.Decision.Upstream != "" || a.Decision.Reason.String() != "unknown" || a.Decision.RetryAfter != time.Second {
			t.Fatalf("decision %+v, error %v", a.Decision, err)
		}
		if got := wiretest.UnknownKinds("kinds-home", "reason") - before; got != 1 {
			t.Errorf("%d unknown reasons counted, want 1", got)
		}
	})
}

package hosted

import (
	"context"
	"strings"
	"testing"

	"github.com/oklog/run"
)

// TestPanicOfActorStopsInOrder checks that a panic in an actor interrupts the other actors
// and ends the group with an error.
func TestPanicOfActorStopsInOrder(t *testing.T) {
	var group run.Group
	interrupted := false
	addActor(&group, func(ctx context.Context) error {
		<-ctx.Done()
		interrupted = true
		return ctx.Err()
	})
	addActor(&group, func(context.Context) error { panic("actor") })
	err := group.Run()
	if err == nil || !strings.Contains(err.Error(), "actor") {
		t.Errorf("got error %v, want the panic", err)
	}
	if !interrupted {
		t.Error("the other actor was not interrupted")
	}
}

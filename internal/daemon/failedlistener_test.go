package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/settings"
	"github.com/banyanroute/banyanroute/internal/standin/rawtcp"
)

// TestFailedListenerCutsNoRequest guards against running requests that are cut because a listener
// fails that they don't need. The instance takes no further work, and ends with the error.
func TestFailedListenerCutsNoRequest(t *testing.T) {
	for name, address := range map[string]func(settings.Listeners) string{
		"operators": func(l settings.Listeners) string { return l.Operators.Address },
		"callers":   func(l settings.Listeners) string { return l.Callers.Address },
	} {
		t.Run(name, func(t *testing.T) {
			f := &fleet{t: t, workTime: 2 * closeTimeout, mayFail: true}
			f.start(1)
			type reply struct {
				status int
				body   string
			}
			replies := make(chan reply, 1)
			go func() {
				status, body := f.send(0, http.MethodPost, "/services/bookings/book", "key", "{}")
				replies <- reply{status, body}
			}()
			time.Sleep(500 * time.Millisecond) // the call runs
			d := f.daemons[0]
			rawtcp.BreakListener(t, address(d.settings.Listen))
			if r := <-replies; r.status != http.StatusOK {
				t.Errorf("status %d, %s; want the answer of the running call", r.status, r.body)
			}
			err := <-f.ended[0]
			f.ended[0] <- err
			if err == nil || !strings.Contains(err.Error(), "invalid argument") {
				t.Errorf("the instance ended with %v, want the error of the listener", err)
			}
		})
	}
}

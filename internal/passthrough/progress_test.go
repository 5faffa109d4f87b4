package passthrough

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// step is a part of an upstream's answer and the pause after it.
type step struct {
	text  string
	pause time.Duration
}

// repeat returns n copies of a step.
func repeat(n int, s step) []step {
	var all []step
	for range n {
		all = append(all, s)
	}
	return all
}

// bytewise returns the bytes of a text as steps.
func bytewise(text string, pause time.Duration) []step {
	var all []step
	for i := range len(text) {
		all = append(all, step{text[i : i+1], pause})
	}
	return all
}

// answerInSteps is an upstream's handler.
func answerInSteps(steps ...step) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		for _, s := range steps {
			_, _ = io.WriteString(w, s.text)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(s.pause):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// streamTo returns what the caller of a stream receives, also if it is cut.
func streamTo(placer *scriptedPlacer, answers ...http.HandlerFunc) (body string) {
	defer func() {
		if recover() == http.ErrAbortHandler {
			body = "cut"
		}
	}()
	return serve(deployment.Stream, placer, nil, answers...).Body.String()
}

// TestOnlyEventsAreProgress checks that a stalled stream is moved to another engine although
// bytes arrive now and then, that slow events are waited for, and that the caller gets all
// bytes of the events in order.
func TestOnlyEventsAreProgress(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	stalled := func(text string) []step { return repeat(60, step{text, 100 * time.Millisecond}) }
	for name, c := range map[string]struct {
		first []step
		// moved reports whether the second engine must send the rest.
		moved bool
	}{
		"comments":               {append([]step{{event1, 0}}, stalled(": alive\n\n")...), true},
		"empty lines":            {append([]step{{event1, 0}}, stalled("\n")...), true},
		"half an event":          {append([]step{{event1, 0}, {"id: 2\ndata: ", 0}}, stalled("x")...), true},
		"fields without data":    {append([]step{{event1, 0}}, stalled("event: ping\n\n")...), true},
		"comments before events": {stalled(": alive\n\n"), true},
		"slow events":            {[]step{{event1, 1200 * time.Millisecond}, {event2, 0}}, false},
		"slow bytes":             {append([]step{{event1, 0}}, bytewise(event2, 80*time.Millisecond)...), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rest := event1 + event2
			if name != "comments before events" {
				rest = event2
			}
			placer := &scriptedPlacer{}
			body := streamTo(placer, answerInSteps(c.first...), answerInSteps(step{rest, 0}))
			text := strings.ReplaceAll(strings.ReplaceAll(body, ": alive\n", ""), "event: ping\n", "")
			if !slices.Equal(strings.Fields(text), strings.Fields(event1+event2)) {
				t.Errorf("got %q", body)
			}
			if moved := len(placer.placed) == 2; moved != c.moved {
				t.Errorf("moved %t, want %t", moved, c.moved)
			}
		})
	}
}

// TestResumedAnswersHaveNoLength guards against the rest of an answer that another engine began
// being reported as the whole, from which answers would be learned to be short.
func TestResumedAnswersHaveNoLength(t *testing.T) {
	t.Parallel()
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	whole, resumed := &scriptedPlacer{}, &scriptedPlacer{}
	streamTo(whole, answerInSteps(step{event1 + event2, 0}))
	streamTo(resumed, answerInSteps(append([]step{{event1, 0}}, repeat(60, step{": alive\n\n", 100 * time.Millisecond})...)...), answerInSteps(step{event2, 0}))
	for name, c := range map[string]struct {
		placer   *scriptedPlacer
		attempts int
		events   int
	}{"whole": {whole, 1, 2}, "resumed": {resumed, 2, 0}} {
		if len(c.placer.ends) != c.attempts {
			t.Fatalf("%s: %d attempts have ended, want %d", name, len(c.placer.ends), c.attempts)
		}
		last := c.placer.ends[c.attempts-1]
		if last.Outcome != placement.Completed || last.Events != c.events || last.Duration <= 0 {
			t.Errorf("%s: the last attempt ended as %+v, want it completed with %d events", name, last, c.events)
		}
	}
}

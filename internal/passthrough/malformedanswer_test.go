package passthrough

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/standin/rawtcp"
)

// TestMalformedAnswerIsNoAnswer guards against bytes with an impossible status or a malformed field being
// passed on as an answer. The attempt counts as failed; another upstream answers what may be repeated.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("data: sound\n\n"))
	}))
	defer sound.Close()
	for name, text := range rawtcp.MalformedAnswers {
		malformed := "http://" + rawtcp.EarlyAnswer{Text: text, Whole: true}.Serve(t)
		for _, kind := range []deployment.Kind{deployment.Stream, deployment.Idempotent, deployment.AtMostOnce} {
			t.Run(fmt.Sprintf("%s, %s", name, kind), func(t *testing.T) {
				placer := &scriptedPlacer{}
				w, aborted := callWithBody(newTestHandler(kind, plainCodec{}, placer, nil, malformed, sound.URL), 10)
				want, body := http.StatusOK, "data: sound\n\n"
				if kind == deployment.AtMostOnce {
					want, body = http.StatusBadGateway, w.Body.String()
				}
				if w.Code != want || aborted || w.Body.String() != body {
					t.Errorf("status %d with %q, aborted %t; want %d", w.Code, w.Body, aborted, want)
				}
				if placer.ends[0].Outcome != placement.Failed {
					t.Errorf("the attempt ended as %v, want failed", placer.ends[0].Outcome)
				}
			})
		}
	}
}

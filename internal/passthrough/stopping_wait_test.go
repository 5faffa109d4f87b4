package passthrough

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// fullPlacer has no room for any job.
type fullPlacer struct{ scriptedPlacer }

func (*fullPlacer) Place(context.Context, placement.Job) placement.Decision {
	return placement.Decision{Reason: placement.Deferred}
}

// TestWaitingRequestIsRefusedOnceAStopLeavesNoTime guards against requests that wait for a place in a
// graceful shutdown although they can't be begun any more.
func TestWaitingRequestIsRefusedOnceAStopLeavesNoTime(t *testing.T) {
	h := newTestHandler(deployment.Stream, plainCodec{}, &fullPlacer{}, nil, "http://127.0.0.1:1")
	began := time.Now()
	newUntil := began.Add(100 * time.Millisecond)
	h.opts.Stop = func() *Stop {
		return &Stop{Began: began, Grace: 4 * time.Second, NewUntil: newUntil, End: began.Add(3600 * time.Millisecond)}
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Host = "app.example"
	h.ServeHTTP(w, r)
	late := time.Since(newUntil)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("X-Result-Code") != "2005" {
		t.Errorf("status %d, result %s; want a refusal because of the shutdown", w.Code, w.Header().Get("X-Result-Code"))
	}
	// A deferred job is placed again at this interval; a busy machine may double it.
	if late < 0 || late > 2*deferRetryInterval {
		t.Errorf("refused %s after it could not be begun any more", late)
	}
}

// TestWaitingRequestLearnsThatItsInstanceEnds guards against a refusal at the end of the grace period
// that blames upstreams and keeps the caller from returning at once.
func TestWaitingRequestLearnsThatItsInstanceEnds(t *testing.T) {
	h := newTestHandler(deployment.Stream, plainCodec{}, &fullPlacer{}, nil, "http://127.0.0.1:1")
	ending, end := context.WithCancel(t.Context())
	h.opts.Ending = ending
	time.AfterFunc(50*time.Millisecond, end)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Host = "app.example"
	h.ServeHTTP(w, r)
	if got := w.Header(); w.Code != http.StatusServiceUnavailable || got.Get("X-Result-Code") != "2005" || got.Get("Retry-After") != "0.01" {
		t.Errorf("status %d, result %s, Retry-After %s", w.Code, got.Get("X-Result-Code"), got.Get("Retry-After"))
	}
}

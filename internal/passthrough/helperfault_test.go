package passthrough

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// gangPlacer places each job on u0 with one helper, the first that the job does not avoid, as a home
// does that has not heard of a helper's end.
type gangPlacer struct {
	scriptedPlacer
	helpers []string

	mu   sync.Mutex
	ends []placement.End
}

func (p *gangPlacer) Place(_ context.Context, j placement.Job) placement.Decision {
	for _, id := range p.helpers {
		if !slices.Contains(j.Avoid, id) {
			return placement.Decision{Upstream: "u0", Helpers: []placement.Part{{Upstream: id}}}
		}
	}
	return placement.Decision{Reason: placement.NoUpstream}
}

func (p *gangPlacer) Ended(_, _ string, e placement.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, e)
}

// blamingCodec reads answers of status 503 as refusals that name the helper at address.
type blamingCodec struct {
	plainCodec
	address string
}

func (c blamingCodec) ReadReply(status int, _ http.Header) UpstreamReply {
	if status == http.StatusServiceUnavailable {
		return UpstreamReply{CallID: "call", NotRun: true, AtFault: c.address}
	}
	return UpstreamReply{Signed: true}
}

// serveGang sends one streaming request through a Handler with the placer.
func serveGang(h *Handler) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	r.Host = "app.example"
	h.ServeHTTP(w, r)
	return w.Code
}

// TestHelpersThatLeftAreAvoided guards against a request that is refused because the home places it
// with a helper that has left, again and again: the instance must ask to do without the helper.
func TestHelpersThatLeftAreAvoided(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	}))
	defer engine.Close()
	placer := &gangPlacer{helpers: []string{"gone1", "gone2", "u1"}}
	h := newTestHandler(deployment.Stream, plainCodec{}, placer, nil, engine.URL, engine.URL)
	if status := serveGang(h); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}

// TestHelperNamedByRefusalIsAvoided guards against an engine that is avoided in place of the helper
// because of which it has refused the request, and against a helper that gets the next attempt too.
func TestHelperNamedByRefusalIsAvoided(t *testing.T) {
	var arrivals int
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrivals++; arrivals == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	}))
	defer engine.Close()
	helper := httptest.NewServer(http.NotFoundHandler())
	defer helper.Close()
	codec := blamingCodec{address: strings.TrimPrefix(helper.URL, "http://")}
	placer := &gangPlacer{helpers: []string{"u1", "u2"}}
	h := newTestHandler(deployment.Stream, codec, placer, nil, engine.URL, helper.URL, engine.URL)
	if status := serveGang(h); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	if len(placer.ends) != 2 || placer.ends[0].AtFault != "u1" || placer.ends[1].AtFault != "" {
		t.Errorf("reported ends %+v, want u1 at fault for the first attempt and nothing for the second", placer.ends)
	}
}

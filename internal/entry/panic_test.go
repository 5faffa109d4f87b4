package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/result"
)

// panickingLimiter is a Limiter that panics.
type panickingLimiter struct{}

// Take implements Limiter.
func (panickingLimiter) Take(string, int) (Permit, *result.Error) { panic("limit") }

// TestPanicIsAnswered checks that the caller of a request that panics gets an error with the
// request's ID, and that its bytes count no longer towards the bound of all bodies.
func TestPanicIsAnswered(t *testing.T) {
	snapshot := newSnapshot(t, "http://e", "http://s")
	h := newHandler(t, snapshot, "http://e", "http://s")
	h.opts.Limiter = panickingLimiter{}
	h.opts.Catalogue = func() *catalogue.Snapshot { return snapshot }
	server := httptest.NewServer(h)
	defer server.Close()
	f := &fixture{server: server}
	body := `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"` + strings.Repeat("x", 1<<15) + `"}]}`
	for range 200 { // more than BodiesBytes in all
		r := f.send(t, "POST", chatPath, alphaKey, body)
		if r.status != http.StatusInternalServerError || r.header.Get(HeaderResultCode) != "9002" || r.header.Get(HeaderRequestID) == "" {
			t.Fatalf("status %d, header %v: %s", r.status, r.header, r.body)
		}
	}
}

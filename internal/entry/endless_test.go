package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/endless"
)

// TestEndlessAnswersEnd checks that calls and generations whose upstream sends a message that
// never ends, fast or slowly, fail within their time.
func TestEndlessAnswersEnd(t *testing.T) {
	const timeout = 2 * time.Second
	for name, message := range endless.Messages("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n") {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			for _, path := range []string{"/services/bookings/slots", chatPath} {
				t.Run(fmt.Sprint(path, ", ", name, ", pause ", pause), func(t *testing.T) {
					t.Parallel()
					engine, service := "http://"+message.Serve(t, pause), "http://"+message.Serve(t, pause)
					server := httptest.NewServer(newHandler(t, newSnapshot(t, engine, service), engine, service))
					t.Cleanup(server.Close)
					f := &fixture{server: server}
					method, body := http.MethodGet, ""
					if path == chatPath {
						method, body = http.MethodPost, `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
					}
					began := time.Now()
					r := f.send(t, method, path, alphaKey, body, HeaderTimeout, timeout.String())
					if took := time.Since(began); r.status < 500 || took > timeout+time.Second {
						t.Errorf("status %d after %s: %s", r.status, took, r.body)
					}
				})
			}
		}
	}
}

package passthrough

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// brokenStream sends two events and closes the connection.
func brokenStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// TestErrorAtResumptionIsNoPartOfStream checks that an error with which an engine answers the
// resumption of a stream does not reach the caller as a part of it, nor ends it as complete.
func TestErrorAtResumptionIsNoPartOfStream(t *testing.T) {
	answer := func(status int, contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	head := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror\n\n"
	for name, second := range map[string]http.HandlerFunc{
		"error":                   answer(500, "text/plain", "the engine failed\n\n"),
		"error with events":       answer(502, "text/event-stream", "data: the engine failed\n\n"),
		"rejection":               answer(400, "application/json", "{\"error\":\"bad\"}\n\n"),
		"unavailable":             answer(503, "text/plain", head),
		"error with status 200":   answer(200, "text/plain", "the engine failed\n\n"),
		"head with status 200":    answer(200, "text/html", head),
		"JSON with status 200":    answer(200, "application/json", "{\"error\":{}}"),
		"nothing with status 204": answer(204, "text/plain", ""),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			urls := make([]string, 2)
			for i, handler := range []http.HandlerFunc{brokenStream, second} {
				upstream := httptest.NewServer(handler)
				defer upstream.Close()
				urls[i] = upstream.URL
			}
			newTestHandler(deployment.Stream, plainCodec{}, &scriptedPlacer{}, nil, urls...).ServeHTTP(w, r)
		}))
		req, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "app.example"
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		server.Close()
		if string(body) != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" || err == nil {
			t.Errorf("%s: got %q, %v; want the two events and a broken connection", name, body, err)
		}
	}
}

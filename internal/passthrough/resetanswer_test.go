package passthrough

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/standin/rawtcp"
)

// callWithBody sends a request with a body and reports whether its connection was aborted.
func callWithBody(h *Handler, size int) (w *httptest.ResponseRecorder, aborted bool) {
	w = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	r := httptest.NewRequest(http.MethodPost, "/x", bytes.NewReader(make([]byte, size)))
	r.Host = "app.example"
	h.ServeHTTP(w, r)
	return w, false
}

// TestAnswerResetDuringUploadIsIncomplete guards against an answer without a length counting as whole
// though its connection was reset: if the upload's write meets the reset first, the next read returns
// the end of the stream in its place. An answer that ends in order is whole.
func TestAnswerResetDuringUploadIsIncomplete(t *testing.T) {
	const repeats = 12
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, kind := range []deployment.Kind{deployment.Stream, deployment.Idempotent, deployment.AtMostOnce} {
		for _, size := range []int{256 << 10, 6 << 20} {
			for _, a := range []rawtcp.EarlyAnswer{
				{Text: head + "id: 1\ndata: x\n\n"},
				{Text: head + "id: 1\ndata: x\n\n", Read: 64 << 10, Pause: time.Millisecond},
				{Text: head + strings.Repeat("id: 1\ndata: x\n\n", 4000), Pause: 30 * time.Millisecond},
				{Text: head + strings.Repeat("id: 1\ndata: x\n\n", 4000), Read: 200 << 10, Whole: true},
			} {
				t.Run(fmt.Sprintf("%s, %d bytes, after %d and %s, whole %t", kind, size, a.Read, a.Pause, a.Whole), func(t *testing.T) {
					address := "http://" + a.Serve(t)
					for range repeats {
						h := newTestHandler(kind, plainCodec{}, &scriptedPlacer{single: true}, nil, address)
						w, aborted := callWithBody(h, size)
						if complete := w.Code < 300 && !aborted; complete != a.Whole {
							t.Fatalf("status %d with %d bytes, aborted %t", w.Code, w.Body.Len(), aborted)
						}
					}
				})
			}
		}
	}
}

package passthrough

import (
	"net/http"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

// writeFailure answers a failed request. If an answer has begun, the connection is
// aborted instead, so that the answer cannot look complete.
func (h *Handler) writeFailure(rq *request, e *result.Error) {
	if e.Code == result.CallerGone || rq.begun() {
		panic(http.ErrAbortHandler)
	}
	status := statusOf(e)
	header := rq.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Result-Code", strconv.Itoa(int(e.Code)))
	h.opts.Codec.WriteCallID(header, rq.call.ID)
	if e.RetryAfter > 0 && e.Execution == result.NotRun {
		header.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	text := e.Error() + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	rq.w.WriteHeader(status)
	_, _ = rq.w.Write([]byte(text)) // the caller may have left
}

// statusOf returns the HTTP status of a result. Statuses that promise "not run" are
// used only for results that prove it.
func statusOf(e *result.Error) int {
	status := e.Code.Info().Status
	if e.Code == result.PoisonSuspect {
		// The request itself is valid; it was not run this time.
		status = http.StatusServiceUnavailable
	}
	promises := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
	if promises && e.Execution != result.NotRun {
		return http.StatusBadGateway
	}
	return status
}

// retryAfter formats a duration as seconds with a fraction.
func retryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

// errorBody is an error in the form of the OpenAI API, with additional fields.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the "error" object of an answer.
type errorDetail struct {
	Message string `json:"message"`
	// Type is the OpenAI error type, which client libraries map to their
	// exception classes.
	Type string `json:"type"`
	// Code is the stable name of the result code.
	Code       string           `json:"code"`
	Param      *string          `json:"param"`
	ResultCode int              `json:"result_code"`
	Execution  result.Execution `json:"execution"`
	RequestID  string           `json:"request_id"`
	// RetryAfterMs is the time to wait before a retry; it is omitted if a
	// retry does not help.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// newErrorBody returns the body of an answer that reports err.
func newErrorBody(id string, err *result.Error) errorBody {
	return errorBody{Error: errorDetail{
		Message:      err.Detail,
		Type:         errorType(err.Code.Info().Status),
		Code:         err.Code.String(),
		ResultCode:   int(err.Code),
		Execution:    err.Execution,
		RequestID:    id,
		RetryAfterMs: err.RetryAfter.Milliseconds(),
	}}
}

// errorType returns the OpenAI error type of an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// writeError answers a request that has failed. If a streamed answer has begun,
// the error is written as an event of the stream, without the end marker.
func writeError(w http.ResponseWriter, r *http.Request, id string, err *result.Error) {
	if err.Cause != nil {
		log.Infof("request %s failed: %v: %v", id, err, err.Cause)
	}
	if r.Context().Err() != nil {
		return
	}
	body, _ := json.Marshal(newErrorBody(id, err)) // the type always encodes
	if w.Header().Get("Content-Type") == eventStream {
		w.Write(append(append([]byte("data: "), body...), "\n\n"...))
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderResultCode, strconv.Itoa(int(err.Code)))
	header.Set(HeaderExecution, string(err.Execution))
	if err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(ceilSeconds(err.RetryAfter), 10))
	}
	w.WriteHeader(err.Code.Info().Status)
	w.Write(body)
}

// ceilSeconds rounds up to whole seconds, the unit of Retry-After.
func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

package passthrough

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/banyanroute/banyanroute/internal/result"
)

// newBody returns a request body that can be read once.
func newBody(data []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(data)) }

// readBody reads the whole body, up to limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *result.Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, result.New(result.BodyTooLarge, "the body has %d bytes; the limit is %d", r.ContentLength, limit)
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "the body is over the limit of %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.Wrap(err, result.BodyTimeout, "the body did not arrive in time")
	case err != nil:
		return nil, result.Wrap(err, result.CallerGone, "the body did not arrive")
	}
	return buffer.Bytes(), nil
}

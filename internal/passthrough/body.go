package passthrough

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/banyanroute/banyanroute/internal/bodies"
	"github.com/banyanroute/banyanroute/internal/result"
)

// newBody returns a request body that can be read once.
func newBody(data []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(data)) }

// bodyRetryAfter is the time after which a caller may return for whose body no memory is free.
const bodyRetryAfter = time.Second

// readBody reads the whole body, up to limit bytes. Its memory is reserved before it is read.
func (h *Handler) readBody(rq *request, limit int64) ([]byte, *result.Error) {
	r := rq.r
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, result.New(result.BodyTooLarge, "the body has %d bytes; the limit is %d", r.ContentLength, limit)
	}
	controller := http.NewResponseController(rq.w)
	receipt := h.bodies.Receive(func() { _ = controller.SetReadDeadline(time.Now()) }) // a writer of a test may not support it
	body, err := h.receiveBody(rq, limit, receipt)
	if receipt.End() { // the read deadline has passed and ends the request's context
		err = bodyError(bodies.ErrNoRoom, limit)
	}
	return body, err
}

// receiveBody reads a body with a receipt.
func (h *Handler) receiveBody(rq *request, limit int64, receipt *bodies.Receipt) ([]byte, *result.Error) {
	r := rq.r
	reader := receipt.Reader(http.MaxBytesReader(rq.w, r.Body, limit))
	if r.ContentLength < 0 {
		buffer := bodies.NewBuffer(h.bodies)
		defer buffer.Free()
		if err := buffer.FillAtOnce(reader, limit, receipt); err != nil {
			return nil, bodyError(err, limit)
		}
		body := buffer.Bytes()
		rq.heldBytes = buffer.Detach()
		return body, nil
	}
	n := r.ContentLength
	if n > bodies.FreeBytes {
		if !receipt.Reserve(n) {
			return nil, bodyError(bodies.ErrNoRoom, n)
		}
		rq.heldBytes = n
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, bodyError(err, n)
	}
	return body, nil
}

// bodyError returns the result of a request whose body was not read.
func bodyError(err error, limit int64) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "the body is over the limit of %d bytes", limit)
	case errors.Is(err, bodies.ErrNoRoom):
		return result.New(result.Overloaded, "the instance holds too many large bodies").WithRetryAfter(bodyRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Wrap(err, result.BodyTimeout, "the body did not arrive in time")
	}
	return result.Wrap(err, result.CallerGone, "the body did not arrive")
}

package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

// bodyRetryAfter is the Retry-After of requests for whose body the budget has
// no room.
const bodyRetryAfter = time.Second

// unknownLengthBytes is the initial reservation for a body without
// Content-Length.
const unknownLengthBytes = 64 << 10

// readBody reads the caller's whole body and returns a function that releases
// its bytes in the budget. The body is held in memory once; if the caller
// states its length, it is read into one allocation.
func (h *Handler) readBody(x *exchange) ([]byte, func(), *result.Error) {
	length := x.r.ContentLength
	if length > h.opts.BodyBytes {
		return nil, nil, tooLarge(h.opts.BodyBytes)
	}
	if length < 0 {
		length = unknownLengthBytes
	}
	if !h.bodies.Reserve(length) {
		return nil, nil, bodyBudgetExceeded()
	}
	controller := http.NewResponseController(x.w)
	controller.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout)) //nolint:errcheck // the server supports deadlines
	body, held, err := h.fill(x.r.Body, length)
	controller.SetReadDeadline(time.Time{}) //nolint:errcheck // the server supports deadlines
	if err != nil {
		h.bodies.Release(held)
		return nil, nil, err
	}
	return body, func() { h.bodies.Release(held) }, nil
}

// fill reads a body into a buffer with room for the bytes held in the budget. If
// the body is longer, it doubles the buffer and the bytes held. It returns the
// body and the bytes then held.
func (h *Handler) fill(r io.Reader, held int64) ([]byte, int64, *result.Error) {
	body := make([]byte, 0, held+1)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, held, nil
		}
		if err != nil {
			return nil, held, readError(err)
		}
		if int64(len(body)) > h.opts.BodyBytes {
			return nil, held, tooLarge(h.opts.BodyBytes)
		}
		if len(body) < cap(body) {
			continue
		}
		if !h.bodies.Reserve(held) {
			return nil, held, bodyBudgetExceeded()
		}
		held *= 2
		grown := make([]byte, len(body), held+1)
		copy(grown, body)
		body = grown
	}
}

func tooLarge(limit int64) *result.Error {
	return result.New(result.BodyTooLarge, "the body is over %d bytes", limit)
}

func bodyBudgetExceeded() *result.Error {
	return result.New(result.Overloaded, "the instance holds too many large bodies").WithRetryAfter(bodyRetryAfter)
}

func readError(err error) *result.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.Wrap(err, result.BodyTimeout, "the body did not arrive in time")
	}
	return result.Wrap(err, result.BadRequest, "the body could not be read")
}

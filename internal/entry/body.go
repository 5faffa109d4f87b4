package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

// byteBudget bounds the bodies that the instance holds at once.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func newByteBudget(limit int64) *byteBudget { return &byteBudget{limit: limit} }

// take reserves n bytes and states whether they were free.
func (b *byteBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) give(n int64) { b.used.Add(-n) }

// bodyRetryAfter is when to come back if the budget for bodies is used up.
const bodyRetryAfter = time.Second

// unknownLength is what a body without Content-Length reserves at first.
const unknownLength = 64 << 10

// readBody reads the caller's body whole and returns a function that gives its
// bytes back to the budget. The body is held once, in one allocation where the
// caller states its length.
func (h *Handler) readBody(x *exchange) ([]byte, func(), *result.Error) {
	length := x.r.ContentLength
	if length > h.opts.BodyBytes {
		return nil, nil, tooLarge(h.opts.BodyBytes)
	}
	if length < 0 {
		length = unknownLength
	}
	if !h.bodies.take(length) {
		return nil, nil, bodiesFull()
	}
	controller := http.NewResponseController(x.w)
	controller.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout)) //nolint:errcheck // the server supports deadlines
	body, held, err := h.fill(x.r.Body, length)
	controller.SetReadDeadline(time.Time{}) //nolint:errcheck // the server supports deadlines
	if err != nil {
		h.bodies.give(held)
		return nil, nil, err
	}
	return body, func() { h.bodies.give(held) }, nil
}

// fill reads into a buffer that starts with the capacity held in the budget and
// doubles within it. It returns the bytes held in the budget.
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
		if !h.bodies.take(held) {
			return nil, held, bodiesFull()
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

func bodiesFull() *result.Error {
	return result.New(result.Overloaded, "the instance holds too many large bodies").After(bodyRetryAfter)
}

func readError(err error) *result.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.Wrap(err, result.BodyTimeout, "the body did not arrive in time")
	}
	return result.Wrap(err, result.BadRequest, "the body could not be read")
}

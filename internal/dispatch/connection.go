package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// errStreamUnknown is returned if the engine does not hold the stream to resume.
var errStreamUnknown = errors.New("engine does not hold the stream")

// errChunkMissing is returned if a stream omitted a chunk.
var errChunkMissing = errors.New("stream omitted a chunk")

// refusal is an answer that proves that the upstream did not run the request.
type refusal struct{ status int }

// Error implements error.
func (e *refusal) Error() string { return fmt.Sprintf("upstream refused with status %d", e.status) }

// failure is an error answer of the upstream that is passed on to the caller.
type failure struct {
	status int
	body   []byte
}

// message returns the message of an error in the OpenAI form, or the body.
func (e *failure) message() string {
	var parsed struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(e.body, &parsed) == nil && parsed.Error.Message != "" {
		return parsed.Error.Message
	}
	return string(e.body[:min(len(e.body), maxMessageBytes)])
}

// maxMessageBytes bounds an upstream's message that is passed to the caller.
const maxMessageBytes = 500

// Error implements error.
func (e *failure) Error() string { return fmt.Sprintf("upstream answered with status %d", e.status) }

// maxErrorBytes bounds the body of an upstream's error answer.
const maxErrorBytes = 64 << 10

// message is one item that a connection delivers: the header of a stream, an event
// of the stream, or the error that ended the connection.
type message struct {
	// accepted reports whether the header of a stream arrived.
	accepted bool
	// load is the load report in that header, if any.
	load  *upstream.LoadReport
	event upstream.Event
	err   error
}

// connection is one HTTP exchange of a generation request. A separate goroutine
// reads it, so that the request can watch its timeouts.
type connection struct {
	messages chan message
	cancel   context.CancelFunc
}

// connect starts the exchange and returns without waiting for the answer.
func connect(ctx context.Context, upstreams Upstreams, call upstream.Call) *connection {
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{messages: make(chan message), cancel: cancel}
	go c.readContained(ctx, upstreams, call)
	return c
}

// close ends the exchange; its goroutine ends shortly after.
func (c *connection) close() { c.cancel() }

// readContained is read; a panic ends the connection as lost.
func (c *connection) readContained(ctx context.Context, upstreams Upstreams, call upstream.Call) {
	entry := log.WithField("request", call.Header.Get(upstream.HeaderRequestID))
	defer panics.Recover(entry, func() { c.deliver(ctx, message{err: upstream.ErrLost}) })
	c.read(ctx, upstreams, call)
}

// read sends the call and delivers the header and the events of its answer.
func (c *connection) read(ctx context.Context, upstreams Upstreams, call upstream.Call) {
	res, err := upstreams.Do(ctx, call)
	if err != nil {
		c.deliver(ctx, message{err: err})
		return
	}
	defer res.Body.Close()
	if err := checkAnswer(res); err != nil {
		c.deliver(ctx, message{err: err})
		return
	}
	if !c.deliver(ctx, message{accepted: true, load: loadReport(res.Header)}) {
		return
	}
	events := upstream.NewEventReader(res.Body)
	for {
		event, err := events.Next()
		event.Data = append([]byte(nil), event.Data...)
		if !c.deliver(ctx, message{event: event, err: err}) || err != nil || event.End {
			return
		}
	}
}

// loadReport returns the load report in an answer's header, or nil.
func loadReport(header http.Header) *upstream.LoadReport {
	text := header.Get(upstream.HeaderLoad)
	if text == "" {
		return nil
	}
	var r upstream.LoadReport
	if json.Unmarshal([]byte(text), &r) != nil {
		return nil
	}
	return &r
}

// deliver passes on a message. It returns false if the connection was closed.
func (c *connection) deliver(ctx context.Context, m message) bool {
	select {
	case c.messages <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkAnswer returns nil for a stream, and a refusal, a failure, errStreamUnknown or
// upstream.ErrLost for any other answer.
func checkAnswer(res *http.Response) error {
	isStream := strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	if res.StatusCode == http.StatusOK && isStream {
		return nil
	}
	if res.StatusCode == http.StatusConflict {
		return errStreamUnknown
	}
	if isRefusal(res) {
		return &refusal{status: res.StatusCode}
	}
	if res.StatusCode/100 == 5 {
		return fmt.Errorf("%w: status %d", upstream.ErrLost, res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", upstream.ErrLost, err)
	}
	return &failure{status: res.StatusCode, body: body}
}

// isRefusal reports whether the answer proves that the upstream did not run the
// request. Only the upstream itself sets upstream.HeaderNotRun; the status alone is
// no proof.
func isRefusal(res *http.Response) bool {
	return res.StatusCode >= 400 && res.Header.Get(upstream.HeaderNotRun) == "true"
}

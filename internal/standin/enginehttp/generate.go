package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// generate handles POST /v1/chat/completions and /v1/completions.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	if s.faults.Get().Refuse {
		writeRefusal(w, &engine.Refusal{Status: http.StatusServiceUnavailable, NotRun: true, Message: "the engine refuses requests"})
		return
	}
	c, err := s.parse(w, r, chat)
	if err != nil {
		writeRefusal(w, &engine.Refusal{Status: http.StatusBadRequest, NotRun: true, Message: err.Error()})
		return
	}
	reader, err := s.submitOrResume(c)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	defer func() { reader.Close(c.stream) }()
	if c.stream {
		s.stream(w, r, c, reader)
		return
	}
	s.answerUnstreamed(w, r, c, reader)
}

// submitOrResume submits a new request, or resumes a stream by its request ID.
func (s *Server) submitOrResume(c *call) (*engine.Reader, error) {
	if !c.resume {
		return s.engine.Submit(c.request)
	}
	reader, err := s.engine.Resume(c.request.ID, c.request.Attempt)
	if err == nil {
		c.request = reader.Request()
	}
	return reader, err
}

// writeRefusal answers with the status and message of an *engine.Refusal, or with
// status 500 for any other error.
func writeRefusal(w http.ResponseWriter, err error) {
	var refusal *engine.Refusal
	if !errors.As(err, &refusal) {
		refusal = &engine.Refusal{Status: http.StatusInternalServerError, Message: err.Error()}
	}
	if refusal.NotRun {
		w.Header().Set(upstream.HeaderNotRun, "true")
	}
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	httpjson.Fail(w, refusal.Status, "engine_error", refusal.Message)
}

// answerUnstreamed waits for the complete answer and writes it as one body.
func (s *Server) answerUnstreamed(w http.ResponseWriter, r *http.Request, c *call, reader *engine.Reader) {
	view, err := reader.Wait(r.Context(), math.MaxInt)
	if err != nil {
		if r.Context().Err() == nil {
			writeRefusal(w, err)
		}
		return
	}
	if s.faults.TakeLostAnswer() {
		httpjson.Reset(w)
		return
	}
	u := c.usage(view.Prompt, view.Cached, view.Position)
	httpjson.Write(w, http.StatusOK, c.unstreamed(time.Now().Unix(), u))
}

// streamWriter writes the server-sent events of one stream.
type streamWriter struct {
	server  *Server
	w       http.ResponseWriter
	control *http.ResponseController
	call    *call
	created int64
	// epoch is the value of Switches.Epoch when the stream was opened.
	epoch uint64
	// dropAfter is the number of tokens after which the connection is reset,
	// if drop is set.
	dropAfter int
	drop      bool
	sent      int
}

// errStreamDropped is returned when a fault switch ends the stream with a
// connection reset.
var errStreamDropped = errors.New("stream dropped by a fault switch")

// stream writes the answer as a stream of events, one per token.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, c *call, reader *engine.Reader) {
	out := &streamWriter{
		server: s, w: w, control: http.NewResponseController(w), call: c,
		created: time.Now().Unix(), epoch: s.faults.Epoch(),
	}
	out.dropAfter, out.drop = s.faults.TakeDrop()
	view, err := reader.Wait(r.Context(), -1)
	if err != nil {
		if r.Context().Err() == nil {
			writeRefusal(w, err)
		}
		return
	}
	w.Header().Set(upstream.HeaderLoad, s.loadHeader())
	out.begin()
	if err := out.copy(r.Context(), reader, view); errors.Is(err, errStreamDropped) {
		httpjson.Reset(w)
	}
}

func (o *streamWriter) begin() {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
	_ = o.control.Flush()
}

// copy writes tokens as they are generated until the stream is complete.
func (o *streamWriter) copy(ctx context.Context, reader *engine.Reader, view engine.View) error {
	position := o.call.position
	for {
		for position < view.Position {
			position++
			if err := o.event(ctx, position, o.call.chunk(o.created, position)); err != nil {
				return err
			}
		}
		if view.Complete {
			return o.end(ctx, view)
		}
		var err error
		view, err = reader.Wait(ctx, position)
		if err != nil {
			return o.fail(ctx, err)
		}
	}
}

// end writes the last chunk and the end marker "[DONE]".
func (o *streamWriter) end(ctx context.Context, view engine.View) error {
	if o.server.faults.TakeLostAnswer() {
		return errStreamDropped
	}
	last := o.call.lastChunk(o.created, o.call.usage(view.Prompt, view.Cached, view.Position))
	if err := o.event(ctx, view.Position+1, last); err != nil {
		return err
	}
	if err := o.waitToWrite(ctx); err != nil {
		return err
	}
	_, err := fmt.Fprint(o.w, "data: [DONE]\n\n")
	return errors.Join(err, o.control.Flush())
}

// fail writes the reason why the stream ends early, without an end marker.
func (o *streamWriter) fail(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	text, err := json.Marshal(httpjson.Error{Error: httpjson.ErrorBody{Message: cause.Error(), Type: "engine_error"}})
	if err != nil {
		return err
	}
	if err := o.waitToWrite(ctx); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.w, "event: error\ndata: %s\n\n", text)
	return errors.Join(err, o.control.Flush())
}

// event writes one chunk.
func (o *streamWriter) event(ctx context.Context, position int, chunk completion) error {
	if o.drop && o.sent >= o.dropAfter {
		return errStreamDropped
	}
	if err := o.waitToWrite(ctx); err != nil {
		return err
	}
	text, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", position, text); err != nil {
		return err
	}
	o.sent++
	return o.control.Flush()
}

// waitToWrite waits while the process is frozen. If StallOpen was set since the
// stream was opened, it waits until ctx is done.
func (o *streamWriter) waitToWrite(ctx context.Context) error {
	if err := o.server.faults.WaitThawed(ctx); err != nil {
		return err
	}
	if o.epoch < o.server.faults.Epoch() {
		<-ctx.Done()
	}
	return ctx.Err()
}

package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// tokenTime is the time that a fake engine needs for one token.
const tokenTime = 10 * time.Millisecond

// faultyConnection describes the faults of one connection of a fake engine. Each
// position is that of the chunk before which the fault occurs; 0 is no fault.
type faultyConnection struct {
	// silentAt stops sending without closing the connection.
	silentAt int
	// resetAt resets the connection.
	resetAt int
	// endAt closes the stream without its end marker.
	endAt int
	// repeat sends each chunk twice; skip omits the chunk at a position.
	repeat bool
	skip   int
}

// fakeEngine generates the tokens "t1 ", "t2 ", ... and, like a real engine, holds
// streams so that they can be resumed.
type fakeEngine struct {
	mu sync.Mutex
	// faults are those of the connections, in the order in which they are
	// opened.
	faults []faultyConnection
	// crashed engines refuse connections; frozen ones accept and never answer.
	crashed, frozen bool
	// refuse answers 503 with the proof that the request did not run.
	refuse bool
	// status, if set, is answered without the proof.
	status int
	// delay is the time before the first token.
	delay time.Duration
	// total is the number of tokens of an answer.
	total int
	// streams holds, by request ID, the time at which the first token of a
	// stream is due, less one tokenTime.
	streams map[string]time.Time
	// starts counts executions by request ID; cancels lists cancelled ones.
	starts  map[string]int
	cancels []string
	calls   []upstream.Call
}

// fakeNet is an Upstreams of fake engines by base URL.
type fakeNet map[string]*fakeEngine

func newFakeEngine(total int, faults ...faultyConnection) *fakeEngine {
	return &fakeEngine{total: total, faults: faults, streams: map[string]time.Time{}, starts: map[string]int{}}
}

var errConnectionRefused = errors.New("connection refused")

// Do implements Upstreams.
func (n fakeNet) Do(ctx context.Context, call upstream.Call) (*http.Response, error) {
	base := call.URL[:strings.Index(call.URL, "/v1")]
	e := n[base]
	e.mu.Lock()
	crashed, frozen := e.crashed, e.frozen
	e.calls = append(e.calls, call)
	e.mu.Unlock()
	if crashed {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, errConnectionRefused)
	}
	if frozen {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", upstream.ErrLost, ctx.Err())
	}
	return e.serve(ctx, call)
}

// Probe implements Upstreams.
func (n fakeNet) Probe(ctx context.Context, baseURL string) (time.Duration, error) {
	e := n[baseURL]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || e.frozen {
		return 0, errConnectionRefused
	}
	return time.Millisecond, ctx.Err()
}

// Cancel implements Upstreams.
func (n fakeNet) Cancel(_ context.Context, baseURL, requestID string) error {
	e := n[baseURL]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || e.frozen {
		return errConnectionRefused
	}
	delete(e.streams, requestID)
	e.cancels = append(e.cancels, requestID)
	return nil
}

// plain returns an answer that is not a stream.
func plain(status int, header http.Header, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}
}

// serve answers a call, over one connection, as an engine does.
func (e *fakeEngine) serve(ctx context.Context, call upstream.Call) (*http.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse {
		return plain(http.StatusServiceUnavailable, http.Header{upstream.HeaderNotRun: {"true"}}, ""), nil
	}
	if e.status != 0 {
		return plain(e.status, http.Header{}, "{}"), nil
	}
	id := call.Header.Get(upstream.HeaderRequestID)
	from, _ := strconv.Atoi(call.Header.Get(upstream.HeaderContinueFrom))
	if last := call.Header.Get(upstream.HeaderLastEventID); last != "" {
		if _, held := e.streams[id]; !held {
			return plain(http.StatusConflict, http.Header{}, ""), nil
		}
		from, _ = strconv.Atoi(last)
	} else {
		e.starts[id]++
		e.streams[id] = time.Now().Add(e.delay - time.Duration(from)*tokenTime)
	}
	var fault faultyConnection
	if len(e.faults) > 0 {
		fault = e.faults[0]
		e.faults = e.faults[1:]
	}
	reader, writer := io.Pipe()
	go e.stream(ctx, writer, e.streams[id], from, fault)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: reader}, nil
}

// stream writes the chunks after position from when they are due.
func (e *fakeEngine) stream(ctx context.Context, w *io.PipeWriter, started time.Time, from int, fault faultyConnection) {
	defer w.Close()
	stop := context.AfterFunc(ctx, func() { w.CloseWithError(ctx.Err()) })
	defer stop()
	for position := from + 1; position <= e.total; position++ {
		sleep.For(ctx, time.Until(started.Add(time.Duration(position)*tokenTime)))
		switch {
		case ctx.Err() != nil:
			return
		case e.hasCrashed():
			w.CloseWithError(errConnectionRefused)
			return
		case fault.silentAt > 0 && position >= fault.silentAt:
			<-ctx.Done()
			return
		case fault.resetAt > 0 && position >= fault.resetAt:
			w.CloseWithError(errors.New("connection reset"))
			return
		case fault.endAt > 0 && position >= fault.endAt:
			return
		case fault.skip == position:
			continue
		}
		e.writeChunk(w, position)
		if fault.repeat {
			e.writeChunk(w, position)
		}
	}
	io.WriteString(w, "data: [DONE]\n\n")
}

func (e *fakeEngine) hasCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// writeChunk writes the chunk at a position.
func (e *fakeEngine) writeChunk(w io.Writer, position int) {
	finish := "null"
	if position == e.total {
		finish = `"length"`
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}]}\n\n", position, position, finish)
}

// remaining returns the requests that were cancelled and the number of streams
// that the engine still holds.
func (e *fakeEngine) remaining() (cancels []string, held int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels, len(e.streams)
}

// set changes the engine's state under its lock.
func (e *fakeEngine) set(f func(e *fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// recorder is a Sink that records the text.
type recorder struct {
	text  string
	ended bool
	// leaveAt is the number of the chunk at which the caller leaves; 0 is never.
	leaveAt int
	chunks  int
}

// Chunk implements Sink.
func (r *recorder) Chunk(data []byte) error {
	r.chunks++
	if r.leaveAt > 0 && r.chunks >= r.leaveAt {
		return errors.New("caller left")
	}
	g := &generation{}
	g.addChunk(data)
	r.text += string(g.text)
	return nil
}

// End implements Sink.
func (r *recorder) End() error {
	r.ended = true
	return nil
}

// completeText returns the text of an answer of total tokens.
func completeText(total int) string {
	var b strings.Builder
	for i := 1; i <= total; i++ {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// newTestDispatcher returns a dispatcher whose upstreams are the engines of net.
func newTestDispatcher(t *testing.T, net fakeNet, claims Claims) *Dispatcher {
	t.Helper()
	scheduler := admit.New(admit.Options{Instance: "i1", Incarnation: 1, Seed: 1})
	var list []admit.Upstream
	for url := range net {
		list = append(list, admit.Upstream{ID: url, URL: url, Models: []string{"m"}, MemoryTokens: 1 << 20})
	}
	scheduler.SetUpstreams(list)
	d, err := New(Options{Instance: "i1", Incarnation: 1, Scheduler: scheduler, Upstreams: net, Claims: claims, SilenceTimeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// newTestGeneration returns a request with a deadline after the given timeout.
func newTestGeneration(d *Dispatcher, timeout time.Duration) *Generation {
	id := d.NewRequestID()
	return &Generation{
		ID:          id,
		Path:        "/v1/chat/completions",
		Body:        Body{Rest: []byte(`"model":"m"}`)},
		Continuable: true,
		Request: admit.Request{
			ID: id, Workspace: "w", Target: "m", PromptTokens: 100, OutputTokens: 20,
			Deadline: time.Now().Add(timeout),
		},
	}
}

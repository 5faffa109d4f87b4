package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/sockets"
)

// Errors of calls to upstreams.
var (
	// ErrNotSent means that no byte of the call was written to a connection.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost means that the connection failed after the call may have been
	// written.
	ErrLost = errors.New("connection to the upstream was lost")
	// ErrConflict means that the engine does not have enough memory or does
	// not hold the stream.
	ErrConflict = errors.New("upstream answered 409 Conflict")
)

// StatusError is an unexpected HTTP status of a control call.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream answered with status %d: %s", e.Status, e.Body)
}

// Options configures a Client.
type Options struct {
	// Dial opens connections. The default opens them directly, in DialTimeout at most.
	Dial sockets.DialFunc
	// DialTimeout bounds the time to open a connection. Default DefaultDialTimeout.
	DialTimeout time.Duration
	// ControlTimeout bounds a control call (load, holds, orders). Default 2 s.
	ControlTimeout time.Duration
	// Owner is this instance's name; load reports then list its requests only.
	Owner string
}

// DefaultDialTimeout bounds the time to open a connection unless the options set another bound.
const DefaultDialTimeout = time.Second

func (o *Options) setDefaults() {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.ControlTimeout, 2*time.Second)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	opts Options
	// transport opens a connection for each call. On a connection that is reused, a late
	// second answer to an earlier call would be taken for the answer, and net/http silently
	// sends a call with an Idempotency-Key again when the connection fails.
	transport *http.Transport
}

// NewClient returns a client.
func NewClient(opts Options) *Client {
	opts.setDefaults()
	return &Client{opts: opts, transport: newTransport(opts)}
}

// keepAliveInterval is the interval of TCP keep-alive probes during a call.
const keepAliveInterval = 15 * time.Second

// maxHeaderBytes bounds the header of an upstream's answer.
const maxHeaderBytes = 64 << 10

// DirectDial returns a function that opens direct connections.
func DirectDial(timeout time.Duration) sockets.DialFunc {
	return (&net.Dialer{Timeout: timeout, KeepAlive: keepAliveInterval}).DialContext
}

func newTransport(opts Options) *http.Transport {
	if opts.Dial == nil {
		opts.Dial = DirectDial(opts.DialTimeout)
	}
	t := sockets.NewTransport(opts.Dial)
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return t
}

// Call is one HTTP call to an upstream.
type Call struct {
	Method string
	URL    string
	Header http.Header
	// Body holds the body's parts in order.
	Body [][]byte
}

// size returns the body's length in bytes.
func (c *Call) size() int64 {
	var n int64
	for _, part := range c.Body {
		n += int64(len(part))
	}
	return n
}

// reader returns a new reader over the body's parts.
func (c *Call) reader() io.Reader {
	readers := make([]io.Reader, 0, len(c.Body))
	for _, part := range c.Body {
		readers = append(readers, bytes.NewReader(part))
	}
	return io.MultiReader(readers...)
}

// Do sends a call over a new connection. The caller closes the answer's body. The error wraps
// ErrNotSent only if no connection was obtained, which proves that the upstream
// did not run the call; otherwise it wraps ErrLost.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.Header = call.Header
	if size := call.size(); size > 0 {
		req.Body = io.NopCloser(call.reader())
		req.ContentLength = size
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(call.reader()), nil }
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil && !gotConn.Load() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return res, nil
}

// Probe requests the upstream's health and returns the response time.
func (c *Client) Probe(ctx context.Context, baseURL string) (time.Duration, error) {
	start := time.Now()
	_, err := c.Health(ctx, baseURL)
	return time.Since(start), err
}

// Health requests the upstream's health.
func (c *Client) Health(ctx context.Context, baseURL string) (Health, error) {
	var h Health
	err := c.control(ctx, http.MethodGet, baseURL+PathHealth, nil, &h)
	return h, err
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context, baseURL string) (LoadReport, error) {
	var r LoadReport
	target := baseURL + PathLoad + "?owner=" + url.QueryEscape(c.opts.Owner)
	err := c.control(ctx, http.MethodGet, target, nil, &r)
	return r, err
}

// Events returns the engine's cache events after a sequence number.
func (c *Client) Events(ctx context.Context, baseURL string, after uint64) (CacheEvents, error) {
	var e CacheEvents
	target := baseURL + PathEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.control(ctx, http.MethodGet, target, nil, &e)
	return e, err
}

// Holds lists the memory that the engine keeps for the router.
func (c *Client) Holds(ctx context.Context, baseURL string) (Holds, error) {
	var h Holds
	err := c.control(ctx, http.MethodGet, baseURL+PathHolds, nil, &h)
	return h, err
}

// ReleaseHold releases one hold; an absent hold is no error.
func (c *Client) ReleaseHold(ctx context.Context, baseURL, name string) error {
	target := baseURL + PathHolds + "?name=" + url.QueryEscape(name)
	return c.control(ctx, http.MethodDelete, target, nil, nil)
}

// Reserve reserves engine memory; it returns ErrConflict if too little is free.
func (c *Client) Reserve(ctx context.Context, baseURL string, r ReserveRequest) error {
	return c.control(ctx, http.MethodPost, baseURL+PathReserve, r, nil)
}

// Cancel cancels a request and frees its memory; an absent one is no error.
func (c *Client) Cancel(ctx context.Context, baseURL, requestID string) error {
	body := CancelRequest{RequestID: requestID}
	return c.control(ctx, http.MethodPost, baseURL+PathCancel, body, nil)
}

// maxControlBytes bounds the answer of a control call.
const maxControlBytes = 4 << 20

// control sends a JSON call and decodes its JSON answer into out.
func (c *Client) control(ctx context.Context, method, target string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	call := Call{Method: method, URL: target, Header: http.Header{}}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		call.Body = [][]byte{data}
		call.Header.Set("Content-Type", "application/json")
	}
	res, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxControlBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return decodeControl(res.StatusCode, data, out)
}

func decodeControl(status int, data []byte, out any) error {
	if status == http.StatusConflict {
		return ErrConflict
	}
	if status/100 != 2 {
		return &StatusError{Status: status, Body: string(data[:min(len(data), 200)])}
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, out), "decoding the upstream's answer")
}

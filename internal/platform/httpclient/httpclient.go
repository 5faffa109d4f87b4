// Package httpclient implements the platform's interfaces over HTTP with JSON
// bodies, as described in docs/PLATFORM.md.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/sockets"
)

// Defaults and limits of the client.
const (
	defaultTimeout  = 2 * time.Second
	defaultMaxConns = 16
	maxAnswerBytes  = 64 << 20
)

// Options configures a Client.
type Options struct {
	// BaseURL is the base URL of the platform's services, without a final slash.
	BaseURL string
	// Timeout bounds one call; zero is 2 s.
	Timeout time.Duration
	// MaxConns bounds the number of open connections; zero is 16.
	MaxConns int
	// Transport replaces the default transport, for tests.
	Transport http.RoundTripper
}

// Client implements all of the platform's interfaces. It is safe for
// concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var (
	_ platform.Table       = (*Client)(nil)
	_ platform.Objects     = (*Client)(nil)
	_ platform.LiveList    = (*Client)(nil)
	_ platform.WeightStore = (*Client)(nil)
)

// New returns a client. It opens no connection.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.MaxConns <= 0 {
		opts.MaxConns = defaultMaxConns
	}
	if opts.Transport == nil {
		opts.Transport = newTransport(opts)
	}
	return &Client{
		base:    strings.TrimSuffix(opts.BaseURL, "/"),
		timeout: opts.Timeout,
		http:    &http.Client{Transport: opts.Transport, CheckRedirect: refuseRedirect},
	}
}

// refuseRedirect prevents the HTTP client from sending a write twice.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport(opts Options) *http.Transport {
	dialer := &net.Dialer{Timeout: opts.Timeout}
	t := sockets.NewTransport(dialer.DialContext)
	t.MaxConnsPerHost = opts.MaxConns
	return t
}

// readBody and scanBody are the request bodies of /table/read and /table/scan, and
// rowsBody is the body of their answers.
type readBody struct {
	Keys []string `json:"keys"`
}

type scanBody struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type rowsBody struct {
	Rows []platform.Row `json:"rows"`
}

// Read implements platform.Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var answer rowsBody
	if err := c.postJSON(ctx, "/table/read", readBody{Keys: keys}, &answer); err != nil {
		return nil, unavailable(err)
	}
	if len(answer.Rows) != len(keys) {
		return nil, fmt.Errorf("%w: %d rows for %d keys", platform.ErrUnavailable, len(answer.Rows), len(keys))
	}
	return answer.Rows, nil
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var answer rowsBody
	if err := c.postJSON(ctx, "/table/scan", scanBody{Prefix: prefix, After: after, Limit: limit}, &answer); err != nil {
		return nil, unavailable(err)
	}
	return answer.Rows, nil
}

// Commit implements platform.Table. It returns platform.ErrUnavailable only
// when nothing can have been written.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	var answer platform.TxnResult
	if err := c.postJSON(ctx, "/table/commit", txn, &answer); err != nil {
		return platform.TxnResult{}, writeError(err)
	}
	return answer, nil
}

// PutObject implements platform.Objects. It returns platform.ErrUnknownOutcome
// if the object may have been written; since objects are immutable, the caller may
// retry.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, objectPath(key), bytes.NewReader(data))
	return writeError(err)
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	data, err := c.call(ctx, http.MethodGet, objectPath(key), nil)
	if hasStatus(err, http.StatusNotFound) {
		return nil, platform.ErrNotFound
	}
	return data, unavailable(err)
}

// DeleteObject implements platform.Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	_, err := c.call(ctx, http.MethodDelete, objectPath(key), nil)
	return writeError(err)
}

// objectPath returns the path of an object; it escapes each segment of the key and
// keeps the slashes.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return "/objects/" + strings.Join(parts, "/")
}

// List implements platform.LiveList.
func (c *Client) List(ctx context.Context) ([]platform.LiveListEntry, error) {
	var answer struct {
		Instances []platform.LiveListEntry `json:"instances"`
	}
	data, err := c.call(ctx, http.MethodGet, "/live", nil)
	if err != nil {
		return nil, unavailable(err)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, unavailable(err)
	}
	return answer.Instances, nil
}

// Weights implements platform.WeightStore.
func (c *Client) Weights(ctx context.Context, model, version string) (int64, time.Duration, error) {
	path := "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	data, err := c.call(ctx, http.MethodGet, path, nil)
	var status *statusError
	switch {
	case hasStatus(err, http.StatusNotFound):
		return 0, 0, platform.ErrNotFound
	case errors.As(err, &status) && status.code == http.StatusTooManyRequests:
		return 0, status.retryAfter, platform.ErrRateLimited
	case err != nil:
		return 0, 0, unavailable(err)
	}
	var answer struct {
		Size int64 `json:"size"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, 0, unavailable(err)
	}
	return answer.Size, 0, nil
}

// postJSON sends body as JSON and decodes the answer.
func (c *Client) postJSON(ctx context.Context, path string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return &notSentError{err}
	}
	data, err := c.call(ctx, http.MethodPost, path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, answer)
}

// call sends one request and returns the whole body of a 2xx answer.
func (c *Client) call(ctx context.Context, method, path string, body io.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, &notSentError{err}
	}
	req.GetBody = nil // only the caller retries a commit, never the transport
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, newStatusError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = fmt.Errorf("answer is over %d bytes", maxAnswerBytes)
	}
	return data, err
}

// statusError is an answer with a status that is not 2xx.
type statusError struct {
	code       int
	retryAfter time.Duration
}

func newStatusError(resp *http.Response) *statusError {
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &statusError{code: resp.StatusCode, retryAfter: time.Duration(seconds) * time.Second}
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.code) }

func hasStatus(err error, code int) bool {
	var status *statusError
	return errors.As(err, &status) && status.code == code
}

// notSentError is a failure before anything was sent.
type notSentError struct{ cause error }

// Error implements error.
func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// writeError maps the failure of a write to ErrUnavailable if it cannot have taken
// effect, and to ErrUnknownOutcome otherwise.
func writeError(err error) error {
	if err == nil {
		return nil
	}
	if isNotAccepted(err) {
		return unavailable(err)
	}
	return fmt.Errorf("%w: %v", platform.ErrUnknownOutcome, err)
}

// isNotAccepted reports whether the service certainly did not accept the call: it
// answered 503, or no connection was established.
func isNotAccepted(err error) bool {
	if hasStatus(err, http.StatusServiceUnavailable) {
		return true
	}
	var notSent *notSentError
	var op *net.OpError
	return errors.As(err, &notSent) || (errors.As(err, &op) && op.Op == "dial")
}

// unavailable maps the failure of a call that changes nothing to ErrUnavailable.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
}

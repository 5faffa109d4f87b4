// Package client sends the requests of a load experiment and checks each answer
// while it arrives.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
	"github.com/banyanroute/banyanroute/internal/standin/answer"
	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// Headers of requests to instances and of their answers.
const (
	headerTimeout        = "X-Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerResultCode     = "X-Result-Code"
	headerExecution      = "X-Execution"
	headerRequestID      = "X-Request-Id"
)

// Limits on connections and answers.
const (
	maxIdleConnsPerHost = 1024
	dialTimeout         = 5 * time.Second
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 64 << 20
)

// Outcome is the result of one request.
type Outcome struct {
	// Status is the HTTP status; zero if there was no answer.
	Status int
	// ResultCode, Execution and RequestID are the instance's headers:
	// X-Result-Code, X-Execution and X-Request-Id.
	ResultCode int
	Execution  string
	RequestID  string
	RetryAfter time.Duration
	// FirstToken is the time to the first token, Total the time to the end of
	// the answer.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between successive tokens.
	Gaps []time.Duration
	// Tokens is the number of tokens that were verified.
	Tokens int
	// Complete reports whether the complete answer arrived. For a generation request
	// it means that the text is correct as well.
	Complete bool
	// Violation describes what is wrong with the answer; empty if nothing is.
	Violation string
	// Failure is the reason why there is no complete answer.
	Failure string
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	model   string
	service string
	grace   time.Duration
}

// New returns a client that connects to loopback addresses only. It stops
// waiting for an answer once the request's time limit and grace have passed.
func New(model, service string, grace time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if err := httpjson.CheckLoopback(address); err != nil {
				return nil, trace.Wrap(err)
			}
			return dialer.DialContext(ctx, network, address)
		},
	}
	return &Client{http: &http.Client{Transport: transport}, model: model, service: service, grace: grace}
}

// Do sends an item to the instance at base and reads the answer to its end.
func (c *Client) Do(ctx context.Context, base string, item workload.Item) Outcome {
	ctx, cancel := context.WithTimeout(ctx, item.Timeout+c.grace)
	defer cancel()
	var out Outcome
	req, err := c.request(ctx, base, item)
	if err != nil {
		out.Failure = err.Error()
		return out
	}
	prompt := item.Prompt.Hash()
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		out.Failure = failureName(err)
		out.Total = time.Since(start)
		return out
	}
	defer resp.Body.Close()
	out.readHeader(resp)
	switch {
	case resp.StatusCode != http.StatusOK:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		out.Failure = "refused"
	case item.Kind != workload.Generate:
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		out.Complete = err == nil
	case item.Stream:
		out.readStream(resp.Body, item, prompt, start)
	default:
		out.readWhole(resp.Body, item, prompt)
	}
	out.Total = time.Since(start)
	return out
}

// request builds the HTTP request of an item.
func (c *Client) request(ctx context.Context, base string, item workload.Item) (*http.Request, error) {
	var req *http.Request
	var err error
	switch item.Kind {
	case workload.Generate:
		req, err = c.generate(ctx, base, item)
	case workload.Get:
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, c.serviceURL(base, item), nil)
	default:
		body := strings.NewReader(fmt.Sprintf(`{"number":%d}`, item.Number))
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, c.serviceURL(base, item), body)
	}
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+item.WorkspaceKey)
	req.Header.Set(headerTimeout, item.Timeout.String())
	if item.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, item.IdempotencyKey)
	}
	return req, nil
}

func (c *Client) serviceURL(base string, item workload.Item) string {
	return fmt.Sprintf("%s/services/%s/items/%d", base, c.service, item.Number)
}

// generate builds a generation request whose prompt is generated while the body
// is sent.
func (c *Client) generate(ctx context.Context, base string, item workload.Item) (*http.Request, error) {
	head := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"`, c.model, item.OutputTokens, item.Stream)
	const tail = `"}]}`
	body := func() (io.ReadCloser, error) {
		return io.NopCloser(io.MultiReader(strings.NewReader(head), item.Prompt.Reader(), strings.NewReader(tail))), nil
	}
	first, _ := body()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", first)
	if err != nil {
		return nil, err
	}
	req.GetBody = body
	req.ContentLength = int64(len(head) + item.Prompt.Bytes() + len(tail))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (o *Outcome) readHeader(resp *http.Response) {
	o.Status = resp.StatusCode
	o.ResultCode, _ = strconv.Atoi(resp.Header.Get(headerResultCode))
	o.Execution = resp.Header.Get(headerExecution)
	o.RequestID = resp.Header.Get(headerRequestID)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	o.RetryAfter = time.Duration(seconds) * time.Second
}

// answerBody holds the fields of an answer or chunk that are checked.
type answerBody struct {
	Choices []struct {
		Delta        *content `json:"delta"`
		Message      *content `json:"message"`
		FinishReason *string  `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

type content struct {
	Content string `json:"content"`
}

// readWhole reads and checks an answer that is not streamed.
func (o *Outcome) readWhole(body io.Reader, item workload.Item, prompt answer.Hash) {
	var a answerBody
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&a); err != nil {
		o.Failure = failureName(err)
		return
	}
	checker := answer.NewChecker(prompt)
	if len(a.Choices) != 1 || a.Choices[0].Message == nil {
		o.Violation = "answer without a message"
		return
	}
	err := errors.Join(checker.Add(a.Choices[0].Message.Content), checker.Close(item.OutputTokens))
	o.Tokens = checker.Tokens()
	if err != nil {
		o.Violation = err.Error()
		return
	}
	o.Complete = true
}

// failureName classifies an error under a short name that contains no address, so
// that equal failures are counted together.
func failureName(err error) string {
	var netErr net.Error
	var opErr *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout():
		return "no answer in time"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "connection closed early"
	case errors.As(err, &opErr):
		return "connection " + opErr.Op + " failed"
	}
	return "broken answer"
}

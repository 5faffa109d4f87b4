package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client has seen of its request.
type answer struct {
	attempt string
	sent    time.Time
	ended   time.Time
	status  int
	header  http.Header
	body    string
	// err is set if there is no whole answer.
	err error
}

// request is one request of a client.
type request struct {
	method   string
	path     string
	body     string
	key      string
	deadline time.Duration
	header   map[string]string
}

const host = "ficu95.example"

var fresh = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends a request over a new connection and waits for the whole answer.
func (n *node) send(q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+500*time.Millisecond)
	defer cancel()
	a := answer{attempt: random(16), sent: time.Now()}
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.front+q.path, body)
	must(err)
	req.Host = host
	req.Header.Set("Banyanroute-Attempt-Id", a.attempt)
	req.Header.Set("Banyanroute-Deadline-Remaining", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		req.Header.Set("Authorization", "Token "+q.key)
	}
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	n.w.log("client sends %s %s %s to %s", a.attempt, q.method, q.path, n.name)
	res, err := fresh.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		res.Body.Close()
		a.status, a.header, a.body = res.StatusCode, res.Header, string(data)
	}
	a.ended, a.err = time.Now(), err
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		n.w.log("client of %s has no answer at its deadline", a.attempt)
	case err != nil:
		n.w.log("client of %s gets status %d, then %v", a.attempt, a.status, err)
	default:
		n.w.log("client of %s gets %d, signature %q: %s", a.attempt, a.status, a.header.Get("Banyanroute-Response-Signature"), lines(a.body))
	}
	return a
}

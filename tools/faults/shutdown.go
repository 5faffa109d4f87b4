package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
	"github.com/banyanroute/banyanroute/internal/standin/answer"
)

// stopProbe is a long stream that runs through an instance while it stops.
type stopProbe struct{ done chan string }

// stopLimit bounds a planned stop: the time of the longest request, and time to
// settle.
const stopLimit = requestTimeout + 15*time.Second

// Size of the probe: long enough to outlive the notice of a planned stop.
const (
	probePrompt = "stop probe "
	probeTokens = 1500
)

// newStopProbe opens the stream and returns once its first token has come.
func newStopProbe(ctx context.Context, in *localfleet.Instance) *stopProbe {
	p := &stopProbe{done: make(chan string, 1)}
	started := make(chan struct{})
	go func() { p.done <- p.stream(ctx, in, started) }()
	select {
	case <-started:
	case <-time.After(2 * time.Second):
	}
	return p
}

// stream returns a problem if a stream that had begun was cut off. Errors of
// the instance that come from engines are no cuts.
func (p *stopProbe) stream(ctx context.Context, in *localfleet.Instance, started chan struct{}) string {
	defer func() {
		select {
		case <-started:
		default:
			close(started)
		}
	}()
	body := fmt.Sprintf(`{"model":"tutor-llm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, probeTokens, probePrompt)
	req, err := request(ctx, in, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return ""
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil || res.StatusCode != http.StatusOK {
		return ""
	}
	defer res.Body.Close()
	close(started)
	text, err := readText(res.Body, true)
	switch {
	case err == nil && text == answer.Text(answer.Of(probePrompt), probeTokens):
		return ""
	case err == nil:
		return "the stream through the stopping instance was wrong"
	}
	if kind := errorKind(err); kind != "connection" && kind != "no end marker" {
		return ""
	}
	return fmt.Sprintf("the stream through %s was cut: %v", in.Name, err)
}

// problem waits for the stream's end.
func (p *stopProbe) problem() string { return <-p.done }

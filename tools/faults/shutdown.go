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

// shutdownProbe is a long stream through an instance that is shut down meanwhile.
type shutdownProbe struct{ done chan string }

// shutdownTimeout bounds a graceful shutdown: the time limit of a request, plus time
// for the drain notice and the exit of the process.
const shutdownTimeout = requestTimeout + 15*time.Second

// Prompt and output length of the probe. The stream lasts longer than the notice
// period at the start of a graceful shutdown.
const (
	probePrompt = "stop probe "
	probeTokens = 1500
)

// newShutdownProbe opens the stream and returns once the answer has begun, or after
// two seconds.
func newShutdownProbe(ctx context.Context, in *localfleet.Instance) *shutdownProbe {
	p := &shutdownProbe{done: make(chan string, 1)}
	started := make(chan struct{})
	go func() { p.done <- p.stream(ctx, in, started) }()
	select {
	case <-started:
	case <-time.After(2 * time.Second):
	}
	return p
}

// stream returns a problem if a stream that had begun was interrupted or had the
// wrong text. An error event is not an interruption: the instance sends it for a
// failure of an engine.
func (p *shutdownProbe) stream(ctx context.Context, in *localfleet.Instance, started chan struct{}) string {
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
	case err == nil && text == answer.Text(answer.HashOf(probePrompt), probeTokens):
		return ""
	case err == nil:
		return "the stream through the stopping instance was wrong"
	}
	if kind := errorKind(err); kind != "connection" && kind != "no end marker" {
		return ""
	}
	return fmt.Sprintf("the stream through %s was cut: %v", in.Name, err)
}

// problem waits for the end of the stream and returns its problem, if any.
func (p *shutdownProbe) problem() string { return <-p.done }

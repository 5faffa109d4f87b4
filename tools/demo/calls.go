package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
	"github.com/banyanroute/banyanroute/internal/standin/answer"
)

// response is the outcome of a generation request.
type response struct {
	firstToken time.Duration
	tokens     int
	// complete reports whether all tokens arrived in order, followed by the end
	// marker.
	complete bool
}

// bytesPerToken is the number of bytes per token that the router assumes.
const bytesPerToken = 4

// generate sends a chat request with a prompt of about promptTokens tokens and reads
// the streamed answer.
func generate(ctx context.Context, address string, promptTokens, outputTokens int) (response, error) {
	prompt := strings.Repeat("logbook ", promptTokens*bytesPerToken/len("logbook "))
	body := fmt.Sprintf(`{"model":"tutor-llm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, outputTokens, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return response{}, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.AlphaKey)
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body) // the status is the error to return
		return response{}, trace.BadParameter("generation request answered with status %d: %s", res.StatusCode, text)
	}
	return readStream(res.Body, start, answer.Text(answer.HashOf(prompt), outputTokens))
}

// readStream reads the events and compares the text with the expected one.
func readStream(body io.Reader, start time.Time, want string) (response, error) {
	var r response
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if r.firstToken == 0 {
			r.firstToken = time.Since(start)
		}
		if data == "[DONE]" {
			r.complete = text.String() == want
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return r, trace.Wrap(err)
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			text.WriteString(chunk.Choices[0].Delta.Content)
			r.tokens++
		}
	}
	return r, trace.Wrap(scanner.Err())
}

// callAnswer is the answer to a call of a plain service.
type callAnswer struct {
	status   int
	code     string
	replayed bool
	body     string
}

// book makes a non-idempotent call.
func book(ctx context.Context, address, key, body string) (callAnswer, error) {
	return callService(ctx, http.MethodPost, address, "/bookings", key, body)
}

// lookup makes an idempotent call and returns the name of the upstream that served
// it.
func lookup(ctx context.Context, address string) (string, error) {
	a, err := callService(ctx, http.MethodGet, address, "/slots", "", "")
	if err != nil {
		return "", err
	}
	var served struct {
		Service string `json:"service"`
	}
	err = json.Unmarshal([]byte(a.body), &served)
	return served.Service, trace.Wrap(err)
}

func callService(ctx context.Context, method, address, path, key, body string) (callAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/services/booking-api"+path, strings.NewReader(body))
	if err != nil {
		return callAnswer{}, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.AlphaKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return callAnswer{}, trace.Wrap(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return callAnswer{
		status:   res.StatusCode,
		code:     res.Header.Get("X-Result-Code"),
		replayed: res.Header.Get("Idempotency-Replayed") == "true",
		body:     string(text),
	}, trace.Wrap(err)
}

// expectRuns checks that all services together ran the call with a key want times.
func (d *run) expectRuns(key string, want int) error {
	got := 0
	for _, up := range d.fleet.Services {
		n, err := runsOf(d.ctx, up.Address, key)
		if err != nil {
			return err
		}
		got += n
	}
	say("the booking services ran %s %d time(s)", key, got)
	if got != want {
		return trace.BadParameter("key %s ran %d times, want %d", key, got, want)
	}
	return nil
}

// runsOf returns how often the stand-in service at an address ran the call with a
// key.
func runsOf(ctx context.Context, address, key string) (int, error) {
	var record struct {
		Calls []struct {
			Key  string `json:"key"`
			Runs int    `json:"runs"`
		} `json:"calls"`
	}
	if err := localfleet.Fetch(ctx, "http://"+address+"/standin/record", &record); err != nil {
		return 0, err
	}
	runs := 0
	for _, c := range record.Calls {
		if c.Key == key {
			runs += c.Runs
		}
	}
	return runs, nil
}

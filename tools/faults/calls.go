package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
	"github.com/banyanroute/banyanroute/internal/standin/answer"
)

// reply is the answer to one call.
type reply struct {
	status    int
	code      string
	execution string
	requestID string
	body      []byte
	err       error
}

// request builds a caller's request with the API key and the time limit.
func request(ctx context.Context, in *localfleet.Instance, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.CallersAddress+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.AlphaKey)
	req.Header.Set("X-Request-Timeout", requestTimeout.String())
	return req, nil
}

// call makes one call of a plain service.
func (l *load) call(ctx context.Context, in *localfleet.Instance, method, path, key, body string) reply {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+2*l.slack)
	defer cancel()
	req, err := request(ctx, in, method, path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Idempotency-Key", key)
	// Without GetBody, net/http does not retry a request with an Idempotency-Key
	// by itself; the checks must see each attempt.
	req.GetBody = nil
	res, err := l.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode, code: res.Header.Get("X-Result-Code"), execution: res.Header.Get("X-Execution"),
		requestID: res.Header.Get("X-Request-Id"), body: text, err: err,
	}
}

// generate sends one generation request and checks its answer.
func (l *load) generate(ctx context.Context, spec generationSpec) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+2*l.slack)
	defer cancel()
	prompt := fmt.Sprintf("%08d", spec.salt) + strings.Repeat("logbook ", spec.promptTokens/2)
	body := fmt.Appendf(nil, `{"model":"tutor-llm","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`, spec.stream, spec.outputTokens, prompt)
	in := l.fleet.Instances[spec.instance]
	req, err := request(ctx, in, http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	start := time.Now()
	kind, problem := l.readAnswer(req, spec.stream, answer.Text(answer.HashOf(prompt), spec.outputTokens))
	l.checkTime(start, fmt.Sprintf("generation of %d tokens", spec.promptTokens), ctx.Err())
	l.report.check(correctAnswer, problem)
	l.recordOutcome("generation: "+kind, kind != "whole")
}

// readAnswer sends the request and returns the kind of outcome, and a problem if a
// complete answer is not the expected one.
func (l *load) readAnswer(req *http.Request, stream bool, want string) (kind, problem string) {
	res, err := l.client.Do(req)
	if err != nil {
		return "connection failed", ""
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Sprintf("%d (%s)", res.StatusCode, res.Header.Get("X-Result-Code")), ""
	}
	text, err := readText(res.Body, stream)
	switch {
	case err != nil:
		return "broken off with an error: " + errorKind(err), ""
	case text != want:
		return "wrong", fmt.Sprintf("answer of %d bytes differs from the right one of %d bytes", len(text), len(want))
	}
	return "whole", ""
}

// errIncomplete is returned for a stream that ended without its end marker.
var errIncomplete = errors.New("no end marker")

// streamError is an error that an instance sent within a stream.
type streamError struct{ code string }

// Error implements error.
func (e *streamError) Error() string { return e.code }

// errorKind returns the name under which the report counts an error.
func errorKind(err error) string {
	var s *streamError
	switch {
	case errors.As(err, &s):
		return s.code
	case errors.Is(err, errIncomplete):
		return "no end marker"
	}
	return "connection"
}

// chunk holds the fields read from a stream event or from an answer that is not
// streamed.
type chunk struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readText returns the text of a complete answer.
func readText(body io.Reader, stream bool) (string, error) {
	if !stream {
		var c chunk
		if err := json.NewDecoder(body).Decode(&c); err != nil {
			return "", err
		}
		if len(c.Choices) == 0 {
			return "", errIncomplete
		}
		return c.Choices[0].Message.Content, nil
	}
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", err
		}
		if c.Error != nil {
			return "", &streamError{c.Error.Code}
		}
		if len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", errIncomplete
}

// checkNotRun checks against the services' execution logs that no request refused
// as not run did run, and that no idempotency key ran more than once.
func (l *load) checkNotRun() {
	runs := map[string]int{}
	for _, up := range l.fleet.Services {
		data, err := os.ReadFile(up.ExecutionLog)
		if err != nil {
			l.report.check(atMostOnce, "journal unreadable: "+err.Error())
			return
		}
		for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			id, key, ok := strings.Cut(line, " ")
			if !ok {
				continue
			}
			runs[key]++
			if refusedKey, ran := l.notRun[id]; ran {
				l.report.check(notRunCorrect, fmt.Sprintf("request %s of key %s was said not to have run and ran", id, refusedKey))
			}
		}
	}
	for range l.notRun {
		l.report.check(notRunCorrect, "")
	}
	for key, n := range runs {
		problem := ""
		if n > 1 {
			problem = fmt.Sprintf("key %s ran %d times", key, n)
		}
		l.report.check(atMostOnce, problem)
	}
}

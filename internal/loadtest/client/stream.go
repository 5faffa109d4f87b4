package client

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
	"github.com/banyanroute/banyanroute/internal/standin/answer"
)

// Sizes of the buffer for one line of a stream.
const (
	lineBytes    = 4 << 10
	maxLineBytes = 1 << 20
)

// endMarker is the data of the event that ends a stream.
const endMarker = "[DONE]"

// streamReader checks the events of one stream.
type streamReader struct {
	out     *Outcome
	checker *answer.Checker
	began   time.Time
	last    time.Time
	// finished states whether a finish reason came, and event is the name of the
	// event under way.
	finished bool
	event    string
}

// readStream reads server-sent events up to the end marker.
func (o *Outcome) readStream(body io.Reader, item workload.Item, prompt answer.Hash, began time.Time) {
	r := &streamReader{out: o, checker: answer.NewChecker(prompt), began: began}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, lineBytes), maxLineBytes)
	done := false
	for !done && o.Violation == "" && o.Failure == "" && lines.Scan() {
		done = r.line(lines.Text())
	}
	o.Tokens = r.checker.Tokens()
	switch {
	case o.Violation != "" || o.Failure != "":
	case !done && lines.Err() != nil:
		o.Failure = failureName(lines.Err())
	case !done:
		o.Failure = "stream ended without its end marker"
	default:
		r.end(item)
	}
}

// line handles one line and reports whether it is the end marker.
func (r *streamReader) line(line string) (done bool) {
	if line == "" {
		r.event = ""
		return false
	}
	if name, ok := strings.CutPrefix(line, "event:"); ok {
		r.event = strings.TrimSpace(name)
		return false
	}
	data, ok := strings.CutPrefix(line, "data:")
	if !ok {
		return false
	}
	data = strings.TrimSpace(data)
	if data == endMarker {
		return true
	}
	r.data(data)
	return false
}

// streamError is the data of an event that ends a stream early.
type streamError struct {
	Error *struct {
		Code any `json:"code"`
	} `json:"error"`
}

// data handles the data of one event.
func (r *streamReader) data(data string) {
	var failed streamError
	if json.Unmarshal([]byte(data), &failed) == nil && (failed.Error != nil || r.event == "error") {
		r.out.Failure = "error in the stream"
		if failed.Error != nil && failed.Error.Code != nil {
			r.out.Failure = fmt.Sprintf("error %v in the stream", failed.Error.Code)
		}
		return
	}
	var a answerBody
	if err := json.Unmarshal([]byte(data), &a); err != nil {
		r.out.Violation = "chunk is not JSON"
		return
	}
	for _, choice := range a.Choices {
		r.finished = r.finished || choice.FinishReason != nil
		if choice.Delta != nil && choice.Delta.Content != "" {
			r.token(choice.Delta.Content)
		}
	}
}

// token records the time of a token and checks it.
func (r *streamReader) token(text string) {
	now := time.Now()
	if r.last.IsZero() {
		r.out.FirstToken = now.Sub(r.began)
	} else {
		r.out.Gaps = append(r.out.Gaps, now.Sub(r.last))
	}
	r.last = now
	if err := r.checker.Add(text); err != nil {
		r.out.Violation = err.Error()
	}
}

// end checks an answer that has its end marker.
func (r *streamReader) end(item workload.Item) {
	if err := r.checker.Close(item.Output); err != nil {
		r.out.Violation = err.Error()
		return
	}
	if !r.finished {
		r.out.Violation = "end marker without a finish reason"
		return
	}
	r.out.Complete = true
}

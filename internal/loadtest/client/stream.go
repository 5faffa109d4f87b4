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

// Initial and maximum size of the buffer for one line of a stream.
const (
	initialLineBytes = 4 << 10
	maxLineBytes     = 1 << 20
)

// endMarker is the data of the event that ends a stream.
const endMarker = "[DONE]"

// streamReader checks the events of one stream.
type streamReader struct {
	out     *Outcome
	checker *answer.Checker
	start   time.Time
	// lastToken is when the latest token arrived.
	lastToken time.Time
	// finished reports whether a chunk had a finish reason; event is the name of
	// the event being read.
	finished bool
	event    string
}

// readStream reads server-sent events up to the end marker.
func (o *Outcome) readStream(body io.Reader, item workload.Item, prompt answer.Hash, start time.Time) {
	r := &streamReader{out: o, checker: answer.NewChecker(prompt), start: start}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, initialLineBytes), maxLineBytes)
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
		r.checkEnd(item)
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

// token records the arrival time of a token and checks its text.
func (r *streamReader) token(text string) {
	now := time.Now()
	if r.lastToken.IsZero() {
		r.out.FirstToken = now.Sub(r.start)
	} else {
		r.out.Gaps = append(r.out.Gaps, now.Sub(r.lastToken))
	}
	r.lastToken = now
	if err := r.checker.Add(text); err != nil {
		r.out.Violation = err.Error()
	}
}

// checkEnd checks the stream as a whole once its end marker has arrived.
func (r *streamReader) checkEnd(item workload.Item) {
	if err := r.checker.Close(item.OutputTokens); err != nil {
		r.out.Violation = err.Error()
		return
	}
	if !r.finished {
		r.out.Violation = "end marker without a finish reason"
		return
	}
	r.out.Complete = true
}

package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/dispatch"
)

// eventStream is the content type of a streamed answer.
const eventStream = "text/event-stream"

// sink is a dispatch.Sink that counts the answer's tokens.
type sink interface {
	dispatch.Sink
	tokens() int
}

// newSink returns a sink that streams to the caller or assembles the answer.
// writes to the caller fail some time after the deadline.
func newSink(x *exchange, stream bool, deadline time.Time) sink {
	controller := http.NewResponseController(x.w)
	controller.SetWriteDeadline(deadline.Add(writeGrace)) //nolint:errcheck // the server supports deadlines
	if stream {
		return &streamSink{w: x.w, controller: controller}
	}
	return &wholeSink{w: x.w}
}

// writeGrace is how long after the deadline the caller may still take the
// answer's last bytes.
const writeGrace = 5 * time.Second

// streamSink sends each chunk as a server-sent event.
type streamSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	chunks     int
	buffer     []byte
}

// Chunk implements dispatch.Sink.
func (s *streamSink) Chunk(data []byte) error {
	if s.chunks == 0 {
		s.w.Header().Set("Content-Type", eventStream)
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.Header().Set(HeaderResultCode, "0")
	}
	s.chunks++
	return s.send(data)
}

// End implements dispatch.Sink.
func (s *streamSink) End() error { return s.send([]byte("[DONE]")) }

func (s *streamSink) send(data []byte) error {
	s.buffer = append(s.buffer[:0], "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *streamSink) tokens() int { return s.chunks }

// chunk holds the fields of a streamed chunk that a whole answer repeats.
type chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Usage   json.RawMessage `json:"usage"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// wholeAnswer is an OpenAI answer that is not streamed.
type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// wholeChoice is the one choice of a whole answer.
type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

// wholeMessage is the message of a chat answer.
type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chunkObject is the object name of a streamed chat chunk.
const chunkObject = "chat.completion.chunk"

// wholeSink assembles the answer and sends it at the end.
type wholeSink struct {
	w      http.ResponseWriter
	chunks int
	answer wholeAnswer
	text   []byte
	finish *string
}

// Chunk implements dispatch.Sink.
func (s *wholeSink) Chunk(data []byte) error {
	s.chunks++
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if s.chunks == 1 {
		s.answer = wholeAnswer{ID: c.ID, Object: c.Object, Created: c.Created, Model: c.Model}
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		s.answer.Usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	s.text = append(s.text, choice.Text...)
	s.text = append(s.text, choice.Delta.Content...)
	if choice.FinishReason != nil {
		s.finish = choice.FinishReason
	}
	return nil
}

// End implements dispatch.Sink.
func (s *wholeSink) End() error {
	choice := wholeChoice{FinishReason: s.finish}
	text := string(s.text)
	if s.answer.Object == chunkObject {
		s.answer.Object = "chat.completion"
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	s.answer.Choices = []wholeChoice{choice}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(HeaderResultCode, "0")
	return json.NewEncoder(s.w).Encode(s.answer)
}

func (s *wholeSink) tokens() int { return s.chunks }

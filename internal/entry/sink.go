package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/dispatch"
)

// eventStream is the content type of server-sent events.
const eventStream = "text/event-stream"

// sink is a dispatch.Sink that counts the answer's tokens.
type sink interface {
	dispatch.Sink
	tokens() int
}

// newSink returns a sink that streams to the caller or assembles the answer.
func newSink(x *exchange, stream bool) sink {
	if stream {
		return &streamSink{w: x.w, controller: http.NewResponseController(x.w)}
	}
	return &bufferedSink{w: x.w}
}

// writeGrace is the time after the deadline in which the caller can still
// receive the last bytes of the answer.
const writeGrace = 5 * time.Second

// limitWrites makes writes to the caller fail once writeGrace has passed after the
// deadline, so that a caller that does not read holds nothing for longer. It ends with the
// request.
func (x *exchange) limitWrites(deadline time.Time) {
	controller := http.NewResponseController(x.w)
	controller.SetWriteDeadline(deadline.Add(writeGrace)) //nolint:errcheck // the server supports deadlines
}

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

// chunk holds the fields of a streamed chunk that go into an unstreamed answer.
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

// completion is an unstreamed answer of the OpenAI API.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

// completionChoice is the one choice of a completion.
type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

// completionMessage is the message of a chat completion.
type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatChunkObject is the value of "object" in a chunk of a chat completion.
const chatChunkObject = "chat.completion.chunk"

// bufferedSink assembles an unstreamed answer and sends it at the end.
type bufferedSink struct {
	w      http.ResponseWriter
	chunks int
	answer completion
	text   []byte
	finish *string
}

// Chunk implements dispatch.Sink.
func (s *bufferedSink) Chunk(data []byte) error {
	s.chunks++
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if s.chunks == 1 {
		s.answer = completion{ID: c.ID, Object: c.Object, Created: c.Created, Model: c.Model}
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
func (s *bufferedSink) End() error {
	choice := completionChoice{FinishReason: s.finish}
	text := string(s.text)
	if s.answer.Object == chatChunkObject {
		s.answer.Object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	s.answer.Choices = []completionChoice{choice}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(HeaderResultCode, "0")
	return json.NewEncoder(s.w).Encode(s.answer)
}

func (s *bufferedSink) tokens() int { return s.chunks }

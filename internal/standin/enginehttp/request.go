package enginehttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/answer"
	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Limits and defaults of a generation request.
const (
	// maxBodyBytes allows for a prompt of four million tokens.
	maxBodyBytes     = 16 << 20
	defaultMaxTokens = 16
)

// body is the JSON body of a generation request, with the fields that the engine
// uses.
type body struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	// Continuation is the text of the tokens up to HeaderContinueFrom.
	Continuation string `json:"continuation"`
}

type message struct {
	Content json.RawMessage `json:"content"`
}

// call is a parsed generation request and the format of its answer.
type call struct {
	request engine.Request
	chat    bool
	stream  bool
	// resume reports whether the call resumes a stream of which the client has
	// the tokens up to position.
	resume   bool
	position int
}

// parse reads a generation request. It crashes the process if the body contains
// the crash marker of the fault switches.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, chat bool) (*call, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	s.faults.CheckBody(data)
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, err
	}
	c := &call{chat: chat, stream: b.Stream}
	c.request = engine.Request{
		ID:        r.Header.Get(upstream.HeaderRequestID),
		Attempt:   max(1, headerInt(r, upstream.HeaderAttempt)),
		Priority:  headerInt(r, upstream.HeaderPriority),
		Model:     b.Model,
		MaxTokens: maxTokens(b),
		Blocks:    headerStrings(r, upstream.HeaderPrefixBlocks),

		Reservations: headerStrings(r, upstream.HeaderReservation),
	}
	if c.request.ID == "" {
		c.request.ID = s.nextID()
	}
	if ms := headerInt(r, upstream.HeaderDeadline); ms > 0 {
		c.request.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	c.request.PromptBytes, c.request.Prompt = prompt(b)
	c.request.Start = headerInt(r, upstream.HeaderContinueFrom)
	c.request.PromptBytes += len(b.Continuation)
	c.position = c.request.Start
	if text := r.Header.Get(upstream.HeaderLastEventID); text != "" {
		c.resume, c.stream = true, true
		c.position, err = strconv.Atoi(text)
	}
	return c, err
}

func maxTokens(b body) int {
	switch {
	case b.MaxTokens > 0:
		return b.MaxTokens
	case b.MaxCompletionTokens > 0:
		return b.MaxCompletionTokens
	}
	return defaultMaxTokens
}

// prompt returns the length and hash of the text of all messages, or of the
// prompt. Content that isn't a string counts as its JSON text.
func prompt(b body) (int, answer.Hash) {
	h := answer.NewHasher()
	length := 0
	add := func(raw json.RawMessage) {
		var text string
		if json.Unmarshal(raw, &text) != nil {
			text = string(raw)
		}
		length += len(text)
		h.WriteString(text)
	}
	for _, m := range b.Messages {
		add(m.Content)
	}
	if len(b.Prompt) > 0 {
		add(b.Prompt)
	}
	return length, h.Sum()
}

func headerInt(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return 0
	}
	return n
}

func headerStrings(r *http.Request, name string) []string {
	text := r.Header.Get(name)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

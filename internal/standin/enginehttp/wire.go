package enginehttp

import (
	"github.com/banyanroute/banyanroute/internal/standin/answer"
)

// finishLength is the finish reason of an answer with all requested tokens.
const finishLength = "length"

// completion is an answer, or a chunk of one, in the format of the OpenAI API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *usageDetails `json:"prompt_tokens_details,omitempty"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (c *call) usage(prompt, cached, generated int) *usage {
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: generated,
		TotalTokens:      prompt + generated,
		Details:          &usageDetails{CachedTokens: cached},
	}
}

// base returns the fields that an answer shares with its chunks.
func (c *call) base(created int64, streamed bool) completion {
	object := "text_completion"
	if c.chat {
		object = "chat.completion"
		if streamed {
			object = "chat.completion.chunk"
		}
	}
	return completion{ID: "cmpl-" + c.request.ID, Object: object, Created: created, Model: c.request.Model}
}

// chunk returns the chunk of one token.
func (c *call) chunk(created int64, position int) completion {
	token := answer.Token(c.request.Prompt, position)
	out := c.base(created, true)
	if !c.chat {
		out.Choices = []choice{{Text: &token}}
		return out
	}
	delta := &content{Content: token}
	if position == 1 {
		delta.Role = "assistant"
	}
	out.Choices = []choice{{Delta: delta}}
	return out
}

// lastChunk returns the chunk that ends a stream.
func (c *call) lastChunk(created int64, u *usage) completion {
	reason := finishLength
	out := c.base(created, true)
	out.Usage = u
	if c.chat {
		out.Choices = []choice{{Delta: &content{}, FinishReason: &reason}}
		return out
	}
	empty := ""
	out.Choices = []choice{{Text: &empty, FinishReason: &reason}}
	return out
}

// unstreamed returns an answer that is not streamed.
func (c *call) unstreamed(created int64, u *usage) completion {
	reason := finishLength
	text := answer.Text(c.request.Prompt, u.CompletionTokens)
	out := c.base(created, false)
	out.Usage = u
	if c.chat {
		out.Choices = []choice{{Message: &content{Role: "assistant", Content: text}, FinishReason: &reason}}
		return out
	}
	out.Choices = []choice{{Text: &text, FinishReason: &reason}}
	return out
}

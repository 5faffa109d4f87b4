package dispatch

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/banyanroute/banyanroute/internal/admit"
)

// Body is the caller's JSON object, which is forwarded without a copy. Fields
// that the dispatcher adds are sent before the caller's first field.
type Body struct {
	// Rest is the object after its opening brace.
	Rest []byte
	// Empty reports whether the object has no field.
	Empty bool
	// AddStream adds a field that requests a stream, because the caller's body
	// has none.
	AddStream bool
}

// Sections returns the body to send, in sections. A continuation that is not empty
// is added as the field "continuation".
func (b *Body) Sections(continuation string) [][]byte {
	var fields []string
	if b.AddStream {
		fields = append(fields, `"stream":true`)
	}
	if continuation != "" {
		quoted, _ := json.Marshal(continuation) // a string always encodes
		fields = append(fields, `"continuation":`+string(quoted))
	}
	head := "{" + strings.Join(fields, ",")
	if len(fields) > 0 && !b.Empty {
		head += ","
	}
	return [][]byte{[]byte(head), b.Rest}
}

// chunkBody is the part of a chunk that is decoded.
type chunkBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// addChunk appends the text of a chunk's first choice and records whether the
// chunk has a finish reason.
func (g *generation) addChunk(data []byte) {
	var c chunkBody
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return
	}
	choice := c.Choices[0]
	g.text = append(g.text, choice.Text...)
	g.text = append(g.text, choice.Delta.Content...)
	g.finished = g.finished || choice.FinishReason != nil
}

// joinBlocks formats prefix block hashes for upstream.HeaderPrefixBlocks.
func joinBlocks(blocks []uint64) string {
	var b strings.Builder
	for i, block := range blocks {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(block, 16))
	}
	return b.String()
}

// joinParts formats the names of reservations for upstream.HeaderReservation.
func joinParts(parts []admit.Part) string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, part.Name)
	}
	return strings.Join(names, ",")
}

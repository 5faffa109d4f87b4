package dispatch

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/banyanroute/banyanroute/internal/admit"
)

// Body is the caller's JSON object, which is forwarded without a copy. Fields
// of our own are sent before the caller's first field.
type Body struct {
	// Rest is the object after its opening brace.
	Rest []byte
	// Empty says that the object has no field.
	Empty bool
	// AddStream asks for a stream where the caller's body does not.
	AddStream bool
}

// Sections returns the body to send; a continuation that is not empty is sent
// as the field "continuation".
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

// delta is the part of a chunk that carries text.
type delta struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// addChunk appends the text of a chunk's first choice and notes whether the
// chunk says that the answer is finished.
func (g *generation) addChunk(data []byte) {
	var d delta
	if json.Unmarshal(data, &d) != nil || len(d.Choices) == 0 {
		return
	}
	choice := d.Choices[0]
	g.text = append(g.text, choice.Text...)
	g.text = append(g.text, choice.Delta.Content...)
	g.finished = g.finished || choice.FinishReason != nil
}

// joinBlocks formats prefix block hashes for the engine.
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

// joinParts formats the names of reservations for the engine.
func joinParts(parts []admit.Part) string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, part.Name)
	}
	return strings.Join(names, ",")
}

package entry

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/dispatch"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// rawField is the JSON of a field as a subslice of the body, not a copy.
// json.Unmarshal passes a part of its input to UnmarshalJSON, and the body is in
// memory for longer than the field.
type rawField []byte

// UnmarshalJSON implements json.Unmarshaler.
func (s *rawField) UnmarshalJSON(data []byte) error {
	*s = data
	return nil
}

// present reports whether the field is set and not null.
func (s rawField) present() bool { return len(s) > 0 && string(s) != "null" }

// generationFields holds the fields of an OpenAI request that the router reads.
type generationFields struct {
	Model               string   `json:"model"`
	Messages            rawField `json:"messages"`
	Prompt              rawField `json:"prompt"`
	Stream              rawField `json:"stream"`
	MaxTokens           *int     `json:"max_tokens"`
	MaxCompletionTokens *int     `json:"max_completion_tokens"`
	N                   *int     `json:"n"`
	Tools               rawField `json:"tools"`
	Logprobs            rawField `json:"logprobs"`
	Continuation        rawField `json:"continuation"`
}

// generationRequest is a validated OpenAI request.
type generationRequest struct {
	model  string
	stream bool
	// plainText reports whether the answer is one choice of plain text, so
	// that it can be assembled from a stream and continued on another engine.
	plainText    bool
	promptTokens int
	outputTokens int
	blocks       []uint64
	fingerprint  uint64
	// parts are the keys of the messages that other requests may share.
	parts []uint64
	body  dispatch.Body
}

// parseGeneration reads the fields that the router needs. It may overwrite the
// value of "stream" in body, so that engines always stream.
func parseGeneration(workspace string, body []byte) (*generationRequest, *result.Error) {
	body = bytes.TrimSpace(body)
	var f generationFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, result.Wrap(err, result.BadRequest, "the body is not a valid request: %v", err)
	}
	if err := checkFields(&f); err != nil {
		return nil, err
	}
	prompt := f.Messages
	if !prompt.present() {
		prompt = f.Prompt
	}
	req := &generationRequest{
		model:        f.Model,
		stream:       string(f.Stream) == "true",
		plainText:    (f.N == nil || *f.N == 1) && !f.Tools.present() && !f.Logprobs.present(),
		promptTokens: max(1, len(prompt)/upstream.BytesPerToken),
		outputTokens: outputTokens(&f),
		blocks:       prefixBlocks(f.Model, prompt),
		fingerprint:  fingerprint(workspace, body),
		parts:        sharedParts(f.Model, f.Messages),
	}
	req.body = dispatch.Body{Rest: body[1:], Empty: len(bytes.TrimSpace(body[1:])) == 1}
	if req.plainText {
		overwriteStream(f.Stream)
		req.body.AddStream = !hasExactStreamKey(f.Stream, body)
	}
	return req, nil
}

// checkFields rejects requests that no engine would accept.
func checkFields(f *generationFields) *result.Error {
	switch {
	case f.Model == "":
		return result.New(result.BadRequest, "field model is missing")
	case !f.Messages.present() && !f.Prompt.present():
		return result.New(result.BadRequest, "field messages or prompt is missing")
	case f.Stream.present() && string(f.Stream) != "true" && string(f.Stream) != "false":
		return result.New(result.BadRequest, "field stream must be true or false")
	case f.Continuation.present():
		return result.New(result.BadRequest, "field continuation is reserved")
	case f.N != nil && *f.N < 1:
		return result.New(result.BadRequest, "field n must be at least 1")
	case f.MaxTokens != nil && *f.MaxTokens < 1:
		return result.New(result.BadRequest, "field max_tokens must be at least 1")
	case f.MaxCompletionTokens != nil && *f.MaxCompletionTokens < 1:
		return result.New(result.BadRequest, "field max_completion_tokens must be at least 1")
	}
	return nil
}

// overwriteStream overwrites the value false or null in place with true, padded
// to the same length, so that the engine streams the answer to a caller that
// requested it unstreamed.
func overwriteStream(value rawField) {
	switch string(value) {
	case "false":
		copy(value, "true ")
	case "null":
		copy(value, "true")
	}
}

// hasExactStreamKey reports whether an engine will find the field, that is,
// whether the body has its key in lower case. The decoder here matches keys in
// any case, but an engine's may not.
func hasExactStreamKey(value rawField, body []byte) bool {
	return len(value) > 0 && bytes.Contains(body, []byte(`"stream"`))
}

// defaultOutputTokens is the estimated length of an answer whose request sets
// no maximum.
const defaultOutputTokens = 256

// outputTokens returns the maximum length of the answer, or an estimate if the
// request sets none.
func outputTokens(f *generationFields) int {
	switch {
	case f.MaxCompletionTokens != nil:
		return *f.MaxCompletionTokens
	case f.MaxTokens != nil:
		return *f.MaxTokens
	}
	return defaultOutputTokens
}

// blockBytes is the estimated length in bytes of one prefix block of the
// prompt.
const blockBytes = upstream.BlockTokens * upstream.BytesPerToken

// prefixBlocks hashes the first whole blocks of the prompt. Each hash also
// covers the blocks before it, so that equal hashes mean equal prefixes.
func prefixBlocks(model string, prompt []byte) []uint64 {
	count := min(len(prompt)/blockBytes, upstream.MaxPrefixBlocks)
	blocks := make([]uint64, 0, count)
	digest := xxhash.New()
	digest.WriteString(model) //nolint:errcheck // never fails
	for i := range count {
		digest.Write(prompt[i*blockBytes : (i+1)*blockBytes]) //nolint:errcheck // never fails
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// sharedParts returns hashes of the messages of a conversation, each with the model. The
// last one is left out, because it is the request's own. A text prompt has no parts.
func sharedParts(model string, messages []byte) []uint64 {
	var list []rawField
	if err := json.Unmarshal(messages, &list); err != nil || len(list) < 2 {
		return nil // the engine answers a request whose messages are invalid
	}
	list = list[:min(len(list)-1, poison.MaxParts)]
	parts := make([]uint64, len(list))
	digest := xxhash.New()
	for i, message := range list {
		digest.Reset()
		digest.WriteString(model) //nolint:errcheck // never fails
		digest.Write(message)     //nolint:errcheck // never fails
		parts[i] = digest.Sum64()
	}
	return parts
}

// fingerprint identifies a request body of a workspace, to detect requests that
// crash upstreams.
func fingerprint(workspace string, body []byte) uint64 {
	digest := xxhash.New()
	digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(workspace)))) //nolint:errcheck // never fails
	digest.WriteString(workspace)                                               //nolint:errcheck // never fails
	digest.Write(body)                                                          //nolint:errcheck // never fails
	return digest.Sum64()
}

// timeout returns the timeout of a request: the caller's from the header, but
// at most the first limit that is set, or the fallback if none is.
func timeout(header string, fallback time.Duration, limits ...catalogue.Limits) (time.Duration, *result.Error) {
	allowed := fallback
	for _, l := range limits {
		if l.Timeout > 0 {
			allowed = l.Timeout.Std()
			break
		}
	}
	if header == "" {
		return allowed, nil
	}
	requested, err := parseTimeout(header)
	if err != nil || requested <= 0 {
		return 0, result.New(result.BadRequest, "header %s must be a time above zero, for example 30s or 30", HeaderTimeout)
	}
	return min(requested, allowed), nil
}

// parseTimeout accepts a duration with a unit, or seconds.
func parseTimeout(text string) (time.Duration, error) {
	text = strings.TrimSpace(text)
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) {
			return 0, strconv.ErrSyntax
		}
		seconds = max(0, min(seconds, maxTimeoutSeconds))
		return time.Duration(seconds * float64(time.Second)), nil
	}
	return time.ParseDuration(text)
}

// maxTimeoutSeconds keeps a caller's number within the range of time.Duration.
const maxTimeoutSeconds = 24 * 60 * 60

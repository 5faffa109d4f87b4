package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/standin/answer"
)

const chatPath = "/v1/chat/completions"

// TestUnstreamedAnswerIsAssembled checks that a caller that does not set
// "stream" to true gets an unstreamed answer.
func TestUnstreamedAnswerIsAssembled(t *testing.T) {
	f := newFixture(t)
	for _, stream := range []string{"", `"stream":false,`, `"stream":null,`, `"Stream":false,`, `"x":{"stream":1},`} {
		r := f.send(t, "POST", chatPath, alphaKey, `{"model":"m",`+stream+`"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`)
		var got struct {
			Object  string
			Choices []struct {
				Message      struct{ Role, Content string }
				FinishReason string `json:"finish_reason"`
			}
			Usage struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		if err := json.Unmarshal([]byte(r.body), &got); err != nil || r.status != http.StatusOK {
			t.Fatalf("status %d, %v: %s", r.status, err, r.body)
		}
		if got.Object != "chat.completion" || len(got.Choices) != 1 || got.Usage.CompletionTokens != 5 {
			t.Fatalf("got %s", r.body)
		}
		c := got.Choices[0]
		if c.Message.Role != "assistant" || c.Message.Content != answer.Text(answer.HashOf("hello"), 5) || c.FinishReason != "length" {
			t.Fatalf("got %s", r.body)
		}
	}
}

// TestStreamedAnswer checks the events, end marker and headers of a stream.
func TestStreamedAnswer(t *testing.T) {
	f := newFixture(t)
	r := f.send(t, "POST", "/v1/completions", alphaKey, `{"model":"m","stream":true,"max_tokens":3,"prompt":"hello"}`)
	if r.status != http.StatusOK || r.header.Get("Content-Type") != "text/event-stream" || r.header.Get(HeaderRequestID) == "" {
		t.Fatalf("status %d, header %v", r.status, r.header)
	}
	if events := strings.Split(strings.TrimSpace(r.body), "\n\n"); len(events) != 5 || events[4] != "data: [DONE]" {
		t.Fatalf("got %q", r.body)
	}
}

// TestRefusals checks the result code, status and execution of refused
// requests.
func TestRefusals(t *testing.T) {
	f := newFixture(t)
	good := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	cases := map[string]struct {
		method, path, key, body string
		header                  []string
		want                    result.Code
	}{
		"no key":             {"POST", chatPath, "", good, nil, result.Unauthenticated},
		"wrong key":          {"POST", chatPath, "nobody", good, nil, result.Unauthenticated},
		"model not allowed":  {"POST", chatPath, betaKey, good, nil, result.Forbidden},
		"unknown model":      {"POST", chatPath, alphaKey, `{"model":"x","prompt":"a"}`, nil, result.UnknownModel},
		"no JSON":            {"POST", chatPath, alphaKey, `{"model":`, nil, result.BadRequest},
		"an array":           {"POST", chatPath, alphaKey, `[1]`, nil, result.BadRequest},
		"no prompt":          {"POST", chatPath, alphaKey, `{"model":"m"}`, nil, result.BadRequest},
		"bad stream":         {"POST", chatPath, alphaKey, `{"model":"m","prompt":"a","stream":1}`, nil, result.BadRequest},
		"bad max_tokens":     {"POST", chatPath, alphaKey, `{"model":"m","prompt":"a","max_tokens":0}`, nil, result.BadRequest},
		"too much output":    {"POST", chatPath, alphaKey, `{"model":"m","prompt":"a","max_tokens":1001}`, nil, result.BadRequest},
		"reserved field":     {"POST", chatPath, alphaKey, `{"model":"m","prompt":"a","continuation":"b"}`, nil, result.BadRequest},
		"prompt too long":    {"POST", chatPath, alphaKey, `{"model":"m","prompt":"` + strings.Repeat("a", 50_000) + `"}`, nil, result.BodyTooLarge},
		"body too large":     {"POST", chatPath, alphaKey, strings.Repeat(" ", 1<<20) + good, nil, result.BodyTooLarge},
		"bad timeout":        {"POST", chatPath, alphaKey, good, []string{HeaderTimeout, "-3s"}, result.BadRequest},
		"unknown route":      {"GET", "/v2/x", alphaKey, "", nil, result.UnknownRoute},
		"unknown service":    {"GET", "/services/x/slots", alphaKey, "", nil, result.UnknownService},
		"service forbidden":  {"GET", "/services/bookings/slots", betaKey, "", nil, result.Forbidden},
		"no such call":       {"DELETE", "/services/bookings/slots", alphaKey, "", nil, result.UnknownRoute},
		"no idempotency key": {"POST", "/services/bookings/book", alphaKey, "", nil, result.MissingKey},
		"encoded slash":      {"GET", "/services/bookings/slots%2fx", alphaKey, "", nil, result.BadRequest},
		"encoded dots":       {"GET", "/services/bookings/slots/%2e%2e/book", alphaKey, "", nil, result.BadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.send(t, c.method, c.path, c.key, c.body, c.header...)
			if r.header.Get(HeaderResultCode) != fmt.Sprint(int(c.want)) || r.status != c.want.Info().Status {
				t.Fatalf("status %d, header %v: %s", r.status, r.header, r.body)
			}
			var body errorBody
			if err := json.Unmarshal([]byte(r.body), &body); err != nil || body.Error.Execution != result.NotRun || body.Error.Message == "" {
				t.Fatalf("%v: %s", err, r.body)
			}
		})
	}
}

// TestServiceCalls checks an idempotent call, and that a non-idempotent call
// that is sent again gets the stored answer, or an error if its body differs.
func TestServiceCalls(t *testing.T) {
	f := newFixture(t)
	if r := f.send(t, "GET", "/services/bookings/slots?day=1", alphaKey, ""); r.status != http.StatusOK || !strings.Contains(r.body, "/slots") {
		t.Fatalf("lookup: %d %s", r.status, r.body)
	}
	first := f.send(t, "POST", "/services/bookings/book", alphaKey, "slot=9", HeaderIdempotencyKey, "k1")
	again := f.send(t, "POST", "/services/bookings/book", alphaKey, "slot=9", HeaderIdempotencyKey, "k1")
	if first.status != http.StatusOK || again.header.Get(HeaderReplayed) != "true" || first.body != again.body {
		t.Fatalf("first %d %s; again %d %s", first.status, first.body, again.status, again.body)
	}
	other := f.send(t, "POST", "/services/bookings/book", alphaKey, "slot=10", HeaderIdempotencyKey, "k1")
	if other.header.Get(HeaderResultCode) != fmt.Sprint(int(result.KeyReused)) {
		t.Fatalf("another body: %d %s", other.status, other.body)
	}
}

// TestModels checks that a workspace sees only the models that it may use.
func TestModels(t *testing.T) {
	f := newFixture(t)
	if r := f.send(t, "GET", "/v1/models", alphaKey, ""); !strings.Contains(r.body, `"id":"m"`) {
		t.Fatalf("got %s", r.body)
	}
	if r := f.send(t, "GET", "/v1/models", betaKey, ""); !strings.Contains(r.body, `"data":[]`) {
		t.Fatalf("got %s", r.body)
	}
}

// TestTimeoutHeader checks that callers may set a shorter timeout but not a
// longer one, and that invalid values are refused.
func TestTimeoutHeader(t *testing.T) {
	cases := map[string]time.Duration{"": time.Minute, "5s": 5 * time.Second, "5": 5 * time.Second, "2m": time.Minute, "1e300": time.Minute}
	for header, want := range cases {
		if got, err := timeout(header, time.Minute); err != nil || got != want {
			t.Errorf("%q: got %s, %v", header, got, err)
		}
	}
	for _, header := range []string{"0", "-1", "soon", "NaN", "-1e300"} {
		if got, err := timeout(header, time.Minute); err == nil {
			t.Errorf("%q: got %s", header, got)
		}
	}
}

// FuzzParseGeneration checks that the body of each accepted request stays valid
// JSON with a continuation added, and that it requests a stream if the answer is
// plain text.
func FuzzParseGeneration(f *testing.F) {
	f.Add(`{"model":"m","messages":[],"stream":false}`)
	f.Add(` {"model":"m","prompt":"x","n":2,"max_tokens":3} `)
	f.Fuzz(func(t *testing.T, text string) {
		req, err := parseGeneration("w", []byte(text))
		if err != nil {
			return
		}
		var body []byte
		for _, section := range req.body.Sections("so far") {
			body = append(body, section...)
		}
		var sent struct {
			Stream       *bool
			Continuation string
		}
		if err := json.Unmarshal(body, &sent); err != nil {
			t.Fatalf("%q became %q: %v", text, body, err)
		}
		if req.plainText && (sent.Stream == nil || !*sent.Stream) && strings.Count(strings.ToLower(text), "stream") < 2 {
			t.Fatalf("%q became %q, which does not request a stream", text, body)
		}
	})
}

// TestEngineBodyRequestsStream checks that the body sent to engines requests a
// stream under the lower-case key, which a case-sensitive decoder needs.
func TestEngineBodyRequestsStream(t *testing.T) {
	for _, field := range []string{``, `,"stream":false`, `,"stream":null`, `,"stream":true`, `,"Stream":false`, `,"x":{"stream":1}`} {
		req, err := parseGeneration("w", []byte(`{"model":"m","prompt":"p"`+field+`}`))
		if err != nil {
			t.Fatal(err)
		}
		var sent map[string]any
		body := strings.Join([]string{string(req.body.Sections("")[0]), string(req.body.Sections("")[1])}, "")
		if err := json.Unmarshal([]byte(body), &sent); err != nil || sent["stream"] != true {
			t.Errorf("%q became %s (%v)", field, body, err)
		}
	}
}

// TestMessagesAreSharedParts checks that requests share the parts of equal messages at any
// place but the last, for one model only, and that text prompts have none.
func TestMessagesAreSharedParts(t *testing.T) {
	partsOf := func(body string) []uint64 {
		t.Helper()
		req, err := parseGeneration("w", []byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return req.parts
	}
	const system, document, question = `{"role":"system","content":"s"}`, `{"role":"user","content":"d"}`, `{"role":"user","content":"q"}`
	chat := func(model string, messages ...string) []uint64 {
		return partsOf(`{"model":"` + model + `","messages":[` + strings.Join(messages, ",") + `]}`)
	}
	all := chat("m", system, document, question)
	if len(all) != 2 {
		t.Fatalf("got %d parts, want all messages but the last", len(all))
	}
	if other := chat("m", document, system); len(other) != 1 || other[0] != all[1] {
		t.Errorf("got %v for the same document elsewhere, want %d", other, all[1])
	}
	if other := chat("n", system, question); other[0] == all[0] {
		t.Error("requests to two models share a part")
	}
	if one, text := chat("m", question), partsOf(`{"model":"m","prompt":"p"}`); len(one)+len(text) != 0 {
		t.Errorf("got %v and %v, want none", one, text)
	}
}

package httpclient

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/standin/lateanswer"
)

// serve starts a server with one handler and returns a client of it.
func serve(t *testing.T, h http.HandlerFunc) *Client {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return New(Options{BaseURL: server.URL})
}

// answer returns a handler that reads the request and answers with a status, a
// body and Retry-After.
func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// closeUnanswered is a handler that reads the request and closes the connection.
func closeUnanswered(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// noProxyTransport is a transport that uses no proxy.
var noProxyTransport = &http.Transport{Proxy: func(*http.Request) (*url.URL, error) { return nil, nil }}

// TestCommitMapsFailures checks that a failed commit is ErrUnavailable only if it
// cannot have taken effect, and that it is sent once.
func TestCommitMapsFailures(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"503":           {answer(http.StatusServiceUnavailable, ""), platform.ErrUnavailable},
		"500":           {answer(http.StatusInternalServerError, ""), platform.ErrUnknownOutcome},
		"502":           {answer(http.StatusBadGateway, ""), platform.ErrUnknownOutcome},
		"400":           {answer(http.StatusBadRequest, ""), platform.ErrUnknownOutcome},
		"not JSON":      {answer(http.StatusOK, "<html>"), platform.ErrUnknownOutcome},
		"truncated":     {answer(http.StatusOK, `{"committed":`), platform.ErrUnknownOutcome},
		"closed":        {closeUnanswered, platform.ErrUnknownOutcome},
		"redirect":      {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) }, platform.ErrUnknownOutcome},
		"proper answer": {answer(http.StatusOK, `{"committed":true}`), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			client := serve(t, func(w http.ResponseWriter, r *http.Request) { calls.Add(1); c.handler(w, r) })
			if _, err := client.Commit(t.Context(), platform.Txn{ID: "x"}); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if n := calls.Load(); n != 1 {
				t.Errorf("the write was sent %d times, want 1", n)
			}
		})
	}
}

func TestCommitWithoutConnectionIsUnavailable(t *testing.T) {
	client := New(Options{BaseURL: "http://127.0.0.1:1", Transport: noProxyTransport})
	if _, err := client.Commit(t.Context(), platform.Txn{ID: "x"}); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
}

// roundTrip is a function that implements http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestCommitTimeoutIsUnknown checks that a commit that is not answered in time has
// an unknown outcome.
func TestCommitTimeoutIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := roundTrip(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		client := New(Options{BaseURL: "http://store", Transport: silent, Timeout: 3 * time.Second})
		begin := time.Now()
		_, err := client.Commit(t.Context(), platform.Txn{ID: "x"})
		if !errors.Is(err, platform.ErrUnknownOutcome) || time.Since(begin) != 3*time.Second {
			t.Fatalf("got %v after %s, want unknown outcome after 3s", err, time.Since(begin))
		}
	})
}

func TestReadFailuresAreUnavailable(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"503": answer(http.StatusServiceUnavailable, ""), "closed": closeUnanswered, "too few rows": answer(http.StatusOK, `{"rows":[]}`),
	} {
		if _, err := serve(t, h).Read(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("%s: got %v, want unavailable", name, err)
		}
	}
}

func TestObjectsAndWeights(t *testing.T) {
	client := serve(t, answer(http.StatusNotFound, ""))
	if _, err := client.GetObject(t.Context(), "a/b"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("got %v, want not found", err)
	}
	if _, _, err := client.Weights(t.Context(), "m", "v"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("got %v, want not found", err)
	}
	client = serve(t, answer(http.StatusTooManyRequests, ""))
	if _, after, err := client.Weights(t.Context(), "m", "v"); !errors.Is(err, platform.ErrRateLimited) || after != 7*time.Second {
		t.Errorf("got %v with retry after %s, want rate limited with 7s", err, after)
	}
	path := make(chan string, 1)
	client = serve(t, func(w http.ResponseWriter, r *http.Request) {
		path <- r.URL.EscapedPath()
		w.WriteHeader(http.StatusNoContent)
	})
	if err := client.PutObject(t.Context(), "answers/a b?c", nil); err != nil {
		t.Fatal(err)
	}
	if got := <-path; got != "/objects/answers/a%20b%3Fc" {
		t.Errorf("got path %s", got)
	}
}

// TestLateSecondAnswerIsNoAnswerToNextCall checks that a second copy of the answer to an
// earlier call is not taken for an answer.
func TestLateSecondAnswerIsNoAnswerToNextCall(t *testing.T) {
	address := lateanswer.Start(t, false, func(r *http.Request) string {
		var body readBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		return `{"rows":[{"key":"` + body.Keys[0] + `"}]}`
	})
	c := New(Options{BaseURL: "http://" + address})
	for _, key := range []string{"a", "b", "c"} {
		if rows, err := c.Read(t.Context(), key); err != nil || len(rows) != 1 || rows[0].Key != key {
			t.Errorf("read of %s: got %v, %v", key, rows, err)
		}
	}
}

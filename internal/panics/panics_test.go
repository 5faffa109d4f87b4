package panics

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// newLog returns a logger of a part and its output.
func newLog(part string) (*logrus.Entry, *bytes.Buffer) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	return logger.WithField("part", part), &out
}

// TestPanicIsReported checks that a contained panic is logged with its stack and the fields
// of the logger, and counted by part.
func TestPanicIsReported(t *testing.T) {
	log, out := newLog("reported")
	counter := metrics.GetOrCreateCounter(`banyanroute_panics_total{part="reported"}`)
	before := counter.Get()
	Run(log.WithField("request", "r1"), func() { panic("boom") })
	for _, want := range []string{"request=r1", "panic=boom", "TestPanicIsReported"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log lacks %q: %s", want, out)
		}
	}
	if n := counter.Get() - before; n != 1 {
		t.Errorf("counted %d panics, want 1", n)
	}
}

// TestRecoverError checks that a panic becomes an error and that other results pass.
func TestRecoverError(t *testing.T) {
	log, _ := newLog("error")
	call := func(f func() error) (err error) {
		defer RecoverError(log, &err)
		return f()
	}
	if err := call(func() error { panic("boom") }); err == nil || !strings.Contains(err.Error(), "boom") {
		t.Errorf("got %v, want the panic", err)
	}
	failed := errors.New("failed")
	if err := call(func() error { return failed }); err != failed {
		t.Errorf("got %v, want %v", err, failed)
	}
}

// TestRestart checks that a task is run again after panics, and no more after it returned or
// its context ended.
func TestRestart(t *testing.T) {
	log, _ := newLog("restart")
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		Restart(t.Context(), log, func(context.Context) {
			if runs++; runs < 3 {
				panic("boom")
			}
		})
		if runs != 3 {
			t.Errorf("%d runs, want 3", runs)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*restartPause/2)
		defer cancel()
		runs = 0
		Restart(ctx, log, func(context.Context) { runs++; panic("boom") })
		if runs != 3 {
			t.Errorf("%d runs in %s, want 3", runs, 5*restartPause/2)
		}
	})
}

// TestHandlerAbortsConnection checks that a panicking handler aborts its connection and that
// the server goes on.
func TestHandlerAbortsConnection(t *testing.T) {
	log, out := newLog("handler")
	server := httptest.NewServer(Handler(log, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/panic":
			panic("boom")
		case "/abort":
			panic(http.ErrAbortHandler)
		}
	})))
	defer server.Close()
	client := &http.Client{Timeout: 5 * time.Second}
	for path, ok := range map[string]bool{"/panic": false, "/abort": false, "/": true} {
		res, err := client.Post(server.URL+path, "", nil) // not retried by the client
		if err == nil {
			res.Body.Close()
		}
		if (err == nil) != ok {
			t.Errorf("%s: error %v", path, err)
		}
	}
	server.Close() // waits for the handlers
	if n := strings.Count(out.String(), "panic contained"); n != 1 {
		t.Errorf("%d panics were logged, want 1: an aborted connection is none", n)
	}
}

// Package panics contains panics: one that happens while a request, a message or a
// background task is handled is logged with its stack and counted, and ends only that
// request, message or task. A panic in the main loop of an actor ends the process in the
// usual order, as any other error of an actor does.
//
// The functions expect that locks are released by deferred calls.
package panics

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Rate limit of the log lines; all panics are counted.
const (
	linesPerSecond = 2
	linesBurst     = 20
)

var lines = rate.NewLimiter(linesPerSecond, linesBurst)

// Recover must be deferred. It contains a panic and then calls the functions of then.
// http.ErrAbortHandler, with which a handler aborts its connection, is no fault and
// passes.
func Recover(log *logrus.Entry, then ...func()) {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	report(log, value)
	for _, f := range then {
		f()
	}
}

// RecoverError must be deferred. It contains a panic and returns it in err.
func RecoverError(log *logrus.Entry, err *error) {
	if value := recover(); value != nil {
		report(log, value)
		*err = trace.Errorf("panic: %v", value)
	}
}

// Run calls f and contains its panic.
func Run(log *logrus.Entry, f func()) {
	defer Recover(log)
	f()
}

// Guard returns a function for a new goroutine that calls f and contains its panic.
func Guard(log *logrus.Entry, f func()) func() {
	return func() { Run(log, f) }
}

// AfterFunc is time.AfterFunc for a function whose panic is contained.
func AfterFunc(log *logrus.Entry, d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, Guard(log, f))
}

// report counts and logs a panic. It is called by a deferred function, so the stack is
// that of the panic.
func report(log *logrus.Entry, value any) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_panics_total{part=%q}`, fmt.Sprint(log.Data["part"]))).Inc()
	if lines.Allow() {
		log.WithField("panic", fmt.Sprint(value)).WithField("stack", string(debug.Stack())).Error("panic contained")
	}
}

// restartPause is the pause before a task that has panicked is run again.
const restartPause = time.Second

// Restart calls f, and again after a pause if it panics, until it returns or ctx ends.
func Restart(ctx context.Context, log *logrus.Entry, f func(ctx context.Context)) {
	for {
		returned := false
		Run(log, func() {
			f(ctx)
			returned = true
		})
		if returned || !sleep.For(ctx, restartPause) {
			return
		}
	}
}

// Handler returns a handler that reports a panic of h and then aborts the connection.
func Handler(log *logrus.Entry, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer Recover(log.WithField("path", r.URL.Path), func() { panic(http.ErrAbortHandler) })
		h.ServeHTTP(w, r)
	})
}

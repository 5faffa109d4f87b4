// Package fault implements the fault switches of the stand-in engine and the
// stand-in service. Tests and demonstrations set them over HTTP, to make the process
// crash, freeze, slow down, refuse requests, or lose streams and answers.
package fault

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// controlPrefix is the prefix of the paths that faults do not affect.
const controlPrefix = "/standin/"

// exitCrash is the exit status of a crash caused by a switch.
const exitCrash = 3

// Faults is the state of the fault switches. The zero value is a healthy process.
type Faults struct {
	// Crash ends the process immediately.
	Crash bool `json:"crash,omitempty"`
	// CrashMarker, if set, ends the process on a request whose body contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Freeze pauses all work and all answers until it is cleared.
	Freeze bool `json:"freeze"`
	// SlowFactor multiplies the duration of work; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Refuse refuses new requests with status 503 and marks them as not run.
	Refuse bool `json:"refuse"`
	// Leaving makes the process report that it is about to stop; it still serves
	// requests.
	Leaving bool `json:"leaving"`
	// StallOpen stops all data on the streams that are open when it is set,
	// permanently; streams that are opened later work.
	StallOpen bool `json:"stall_open,omitempty"`
	// DropStreams is the number of subsequent streams whose connection is reset
	// after DropAfterTokens tokens.
	DropStreams     int `json:"drop_streams"`
	DropAfterTokens int `json:"drop_after_tokens"`
	// LoseAnswers is the number of subsequent requests that are completed but
	// whose connection is reset instead of answered.
	LoseAnswers int `json:"lose_answers"`
}

// Switches holds the current Faults of a process. It is safe for concurrent use.
type Switches struct {
	exit func(code int)
	// onChange is called with the new faults at each change.
	onChange func(Faults)

	mu     sync.Mutex
	faults Faults
	// thawed is a channel that is closed unless the process is frozen; Set replaces
	// it when a freeze begins.
	thawed chan struct{}
	// epoch counts how often StallOpen was set.
	epoch uint64
}

// New returns the switches of a healthy process. They call exit to crash it.
func New(exit func(code int)) *Switches {
	s := &Switches{exit: exit, onChange: func(Faults) {}, thawed: make(chan struct{})}
	close(s.thawed)
	return s
}

// OnChange sets the function that is called with the new faults at each change. It
// must be called before the switches are used.
func (s *Switches) OnChange(f func(Faults)) { s.onChange = f }

// Get returns the current faults.
func (s *Switches) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults, and crashes the process if Crash is set.
func (s *Switches) Set(f Faults) {
	if f.Crash {
		s.exit(exitCrash)
	}
	s.onChange(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StallOpen {
		s.epoch++
		f.StallOpen = false
	}
	if f.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = f
}

// SlowFactor returns the factor by which work takes longer, 1 by default.
func (s *Switches) SlowFactor() float64 {
	if f := s.Get().SlowFactor; f > 0 {
		return f
	}
	return 1
}

// WaitThawed returns when the process is not frozen, or with ctx's error.
func (s *Switches) WaitThawed(ctx context.Context) error {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
		return nil
	default:
	}
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Epoch returns how often StallOpen was set. A stream is stalled if it was opened
// at an earlier epoch than the current one.
func (s *Switches) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// CheckBody crashes the process if body contains the crash marker.
func (s *Switches) CheckBody(body []byte) {
	marker := s.Get().CrashMarker
	if marker != "" && bytes.Contains(body, []byte(marker)) {
		s.exit(exitCrash)
	}
}

// TakeLostAnswer reports whether the answer to the current request is to be lost,
// and counts it against LoseAnswers.
func (s *Switches) TakeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// TakeDrop reports whether the current stream is to be dropped, and after how many
// tokens. It counts the stream against DropStreams.
func (s *Switches) TakeDrop() (afterTokens int, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropStreams <= 0 {
		return 0, false
	}
	s.faults.DropStreams--
	return s.faults.DropAfterTokens, true
}

// Wrap returns a handler that adds GET and PUT /standin/faults to next and holds
// back all other requests outside /standin/ while the process is frozen.
func (s *Switches) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == controlPrefix+"faults" {
			s.serve(w, r)
			return
		}
		if !strings.HasPrefix(r.URL.Path, controlPrefix) && s.WaitThawed(r.Context()) != nil {
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Switches) serve(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		httpjson.Write(w, http.StatusOK, s.Get())
	case http.MethodPut:
		var f Faults
		if httpjson.Read(w, r, &f) {
			s.Set(f)
			w.WriteHeader(http.StatusNoContent)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

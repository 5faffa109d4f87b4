// Package fault holds the fault switches of the stand-in engine and the stand-in
// service, set over HTTP by tests and demonstrations.
package fault

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// controlPrefix starts the paths that the switches do not affect.
const controlPrefix = "/standin/"

// exitCrash is the exit status of a crash that a switch asked for.
const exitCrash = 3

// Faults describes how a process misbehaves. The zero value is a healthy process.
type Faults struct {
	// Crash ends the process at once.
	Crash bool `json:"crash,omitempty"`
	// CrashMarker ends the process on a request whose body contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Freeze stops all answers and all work until it is cleared.
	Freeze bool `json:"freeze"`
	// SlowFactor multiplies the time that work takes; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Refuse answers 503 to new requests and marks them as not run.
	Refuse bool `json:"refuse"`
	// Leaving reports that the process is about to stop; it still works.
	Leaving bool `json:"leaving"`
	// StallOpen silences the streams that are open when it is set, for good;
	// streams that are opened later work.
	StallOpen bool `json:"stall_open,omitempty"`
	// DropStreams is the number of coming streams whose connection is reset
	// after DropAfterTokens tokens.
	DropStreams     int `json:"drop_streams"`
	DropAfterTokens int `json:"drop_after_tokens"`
	// LoseAnswers is the number of coming requests that run to their end and
	// whose connection is then reset without an answer.
	LoseAnswers int `json:"lose_answers"`
}

// Switches holds the present Faults of a process. It is safe for concurrent use.
type Switches struct {
	exit func(code int)
	// onChange is called with each change of the faults.
	onChange func(Faults)

	mu     sync.Mutex
	faults Faults
	// thawed is closed while the process is not frozen.
	thawed chan struct{}
	// epoch counts how often StallOpen was set.
	epoch uint64
}

// New returns the switches of a healthy process, which calls exit to crash.
func New(exit func(code int)) *Switches {
	s := &Switches{exit: exit, onChange: func(Faults) {}, thawed: make(chan struct{})}
	close(s.thawed)
	return s
}

// OnChange sets the function that is called with each change. It must be called
// before the switches are in use.
func (s *Switches) OnChange(f func(Faults)) { s.onChange = f }

// Get returns the present faults.
func (s *Switches) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults.
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

// Epoch identifies the streams that the next StallOpen silences: those that
// were opened at the present epoch or before.
func (s *Switches) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// CheckBody crashes the process if body contains the marker.
func (s *Switches) CheckBody(body []byte) {
	marker := s.Get().CrashMarker
	if marker != "" && bytes.Contains(body, []byte(marker)) {
		s.exit(exitCrash)
	}
}

// TakeLostAnswer reports whether the present request's answer is to be lost.
func (s *Switches) TakeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// TakeDrop reports whether the present stream is to be dropped, and after how
// many tokens.
func (s *Switches) TakeDrop() (afterTokens int, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropStreams <= 0 {
		return 0, false
	}
	s.faults.DropStreams--
	return s.faults.DropAfterTokens, true
}

// Wrap returns a handler that adds GET and PUT /standin/faults to next and
// freezes next while the process is frozen.
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

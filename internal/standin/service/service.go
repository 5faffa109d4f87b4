// Package service implements the stand-in of a plain service. Executing a call
// only records it, so that a checker can see which calls ran and how often.
package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 8 << 20

// headerIdempotencyKey is the header with the idempotency key of a call.
const headerIdempotencyKey = "Idempotency-Key"

// Call is the record of the calls with one key.
type Call struct {
	// Key is the Idempotency-Key or, without one, the request ID.
	Key string `json:"key"`
	// Method and Path are those of the first call.
	Method string `json:"method"`
	Path   string `json:"path"`
	// RequestIDs lists the request IDs of the executions.
	RequestIDs []string `json:"request_ids"`
	// Runs counts the executions.
	Runs int `json:"runs"`
}

// Record is the answer of GET /standin/record.
type Record struct {
	Name string `json:"name"`
	// Runs counts all executions. MaxConcurrent is the highest number of
	// concurrent ones.
	Runs          int `json:"runs"`
	MaxConcurrent int `json:"max_concurrent"`
	// RunsWhileLeaving counts the executions that began while leaving was set.
	RunsWhileLeaving int `json:"runs_while_leaving"`
	// Calls lists the calls by key; with ?repeated=true only those that ran more
	// than once.
	Calls []Call `json:"calls"`
}

// Answer is the body of each successful call.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	// Sequence numbers the executions of this process from 1.
	Sequence int `json:"sequence"`
	// BodyBytes is the length of the request's body.
	BodyBytes int `json:"body_bytes"`
}

// Settings configures a Server.
type Settings struct {
	// Name is the name of the service.
	Name string
	// WorkTime is the duration of a call.
	WorkTime time.Duration
	// ExecutionLog, if set, is the log of executions. A line "REQUEST-ID KEY" is
	// written before each of them, so that a checker also finds an execution
	// during which the process crashed.
	ExecutionLog io.Writer
}

// Server is the service's HTTP handler.
type Server struct {
	settings Settings
	faults   *fault.Switches
	mux      *http.ServeMux

	mu               sync.Mutex
	calls            map[string]*Call
	order            []string
	runs             int
	running          int
	maxRunning       int
	runsWhileLeaving int
}

// New returns a Server.
func New(settings Settings, faults *fault.Switches) *Server {
	s := &Server{settings: settings, faults: faults, mux: http.NewServeMux(), calls: map[string]*Call{}}
	s.mux.HandleFunc("GET "+upstream.PathHealth, s.health)
	s.mux.HandleFunc("GET /standin/record", s.record)
	s.mux.HandleFunc("/", s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, upstream.Health{Status: "ok", Leaving: s.faults.Get().Leaving})
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	if s.faults.Get().Refuse {
		w.Header().Set(upstream.HeaderNotRun, "true")
		httpjson.Fail(w, http.StatusServiceUnavailable, "refused", "the service refuses calls")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set(upstream.HeaderNotRun, "true")
		httpjson.Fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.faults.CheckBody(body)
	answer := s.begin(r, len(body))
	s.work(r.Context())
	s.end()
	if s.faults.TakeLostAnswer() {
		httpjson.Reset(w)
		return
	}
	httpjson.Write(w, http.StatusOK, answer)
}

// begin records an execution and returns the answer to it.
func (s *Server) begin(r *http.Request, bodyBytes int) Answer {
	id := r.Header.Get(upstream.HeaderRequestID)
	key := r.Header.Get(headerIdempotencyKey)
	if key == "" {
		key = id
	}
	leaving := s.faults.Get().Leaving
	s.mu.Lock()
	defer s.mu.Unlock()
	call, ok := s.calls[key]
	if !ok {
		call = &Call{Key: key, Method: r.Method, Path: r.URL.Path}
		s.calls[key] = call
		s.order = append(s.order, key)
	}
	if s.settings.ExecutionLog != nil {
		fmt.Fprintf(s.settings.ExecutionLog, "%s %s\n", id, key)
	}
	call.Runs++
	call.RequestIDs = append(call.RequestIDs, id)
	s.runs++
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	if leaving {
		s.runsWhileLeaving++
	}
	return Answer{Service: s.settings.Name, Method: r.Method, Path: r.URL.Path, Key: key, Sequence: s.runs, BodyBytes: bodyBytes}
}

// work waits for the duration of a call. The call continues if the caller
// disconnects.
func (s *Server) work(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	if s.settings.WorkTime > 0 {
		time.Sleep(time.Duration(float64(s.settings.WorkTime) * s.faults.SlowFactor()))
	}
	_ = s.faults.WaitThawed(ctx)
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) record(w http.ResponseWriter, r *http.Request) {
	onlyRepeated := r.URL.Query().Get("repeated") == "true"
	s.mu.Lock()
	rec := Record{Name: s.settings.Name, Runs: s.runs, MaxConcurrent: s.maxRunning, RunsWhileLeaving: s.runsWhileLeaving, Calls: []Call{}}
	for _, key := range s.order {
		call := s.calls[key]
		if !onlyRepeated || call.Runs > 1 {
			c := *call
			c.RequestIDs = append([]string(nil), call.RequestIDs...)
			rec.Calls = append(rec.Calls, c)
		}
	}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, rec)
}

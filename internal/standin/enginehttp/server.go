// Package enginehttp serves the simulated engine of package engine over HTTP. The
// protocol is the OpenAI API with the additions that docs/UPSTREAM.md describes.
package enginehttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Server is the engine's HTTP handler.
type Server struct {
	engine *engine.Engine
	faults *fault.Switches
	mux    *http.ServeMux
	ids    atomic.Uint64
}

// New returns a Server for e.
func New(e *engine.Engine, faults *fault.Switches) *Server {
	s := &Server{engine: e, faults: faults, mux: http.NewServeMux()}
	faults.OnChange(func(f fault.Faults) { e.SetLeaving(f.Leaving) })
	s.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.generate(w, r, true) })
	s.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { s.generate(w, r, false) })
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("POST "+upstream.PathCancel, s.cancel)
	s.mux.HandleFunc("GET "+upstream.PathLoad, s.load)
	s.mux.HandleFunc("GET "+upstream.PathEvents, s.events)
	s.mux.HandleFunc("GET "+upstream.PathHolds, s.holds)
	s.mux.HandleFunc("DELETE "+upstream.PathHolds, s.release)
	s.mux.HandleFunc("POST "+upstream.PathReserve, s.reserve)
	s.mux.HandleFunc("POST "+upstream.PathExport, s.export)
	s.mux.HandleFunc("POST "+upstream.PathImport, s.importKV)
	s.mux.HandleFunc("POST "+upstream.PathOrder, s.order)
	s.mux.HandleFunc("GET "+upstream.PathObserved, s.observed)
	s.mux.HandleFunc("GET "+upstream.PathHealth, s.health)
	s.mux.HandleFunc("GET /standin/record", s.record)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// nextID returns an ID for a request that has none.
func (s *Server) nextID() string {
	return fmt.Sprintf("%s/%s/%d", s.engine.Settings().Name, s.engine.Settings().Boot, s.ids.Add(1))
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range s.engine.Observed().Models {
		if !m.Loading {
			list.Data = append(list.Data, modelInfo{ID: m.Model, Object: "model", OwnedBy: s.engine.Settings().Name})
		}
	}
	httpjson.Write(w, http.StatusOK, list)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var req upstream.CancelRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	s.engine.Cancel(req.RequestID)
	w.WriteHeader(http.StatusOK)
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	report := s.engine.Load()
	if owner := r.URL.Query().Get("owner"); owner != "" {
		report.Requests = ownRequests(report.Requests, owner)
	}
	httpjson.Write(w, http.StatusOK, report)
}

// loadHeader returns the load report for the header of an answer.
func (s *Server) loadHeader() string {
	report := s.engine.Load()
	report.Requests = nil
	text, err := json.Marshal(report)
	if err != nil {
		return ""
	}
	return string(text)
}

// ownRequests returns the IDs of the latest requests of one owner.
func ownRequests(ids []string, owner string) []string {
	var own []string
	for _, id := range ids {
		if strings.HasPrefix(id, owner+"/") {
			own = append(own, id)
		}
	}
	return own[max(0, len(own)-upstream.MaxReportRequests):]
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	httpjson.Write(w, http.StatusOK, s.engine.Events(after))
}

func (s *Server) holds(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.engine.Holds())
}

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	s.engine.Release(r.URL.Query().Get("name"))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) reserve(w http.ResponseWriter, r *http.Request) {
	var req upstream.ReserveRequest
	if httpjson.Read(w, r, &req) {
		respond(w, s.engine.Reserve(req), struct{}{})
	}
}

func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var req upstream.ExportRequest
	if httpjson.Read(w, r, &req) {
		exported, err := s.engine.Export(req)
		respond(w, err, exported)
	}
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var req upstream.ImportRequest
	if httpjson.Read(w, r, &req) {
		respond(w, s.engine.Import(r.Context(), req), struct{}{})
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o upstream.Order
	if httpjson.Read(w, r, &o) {
		respond(w, s.engine.Order(o), struct{}{})
	}
}

// respond answers with v, or with err if it isn't nil.
func respond(w http.ResponseWriter, err error, v any) {
	if err != nil {
		writeRefusal(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, v)
}

func (s *Server) observed(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.engine.Observed())
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, upstream.Health{Status: "ok", Leaving: s.faults.Get().Leaving})
}

// record answers with a summary of what the engine did. It lists all requests by
// default or with ?requests=all, those that were started more than once with
// ?requests=repeated, and none with any other value.
func (s *Server) record(w http.ResponseWriter, r *http.Request) {
	var include func(engine.RequestRecord) bool
	switch r.URL.Query().Get("requests") {
	case "all", "":
		include = func(engine.RequestRecord) bool { return true }
	case "repeated":
		include = func(rec engine.RequestRecord) bool { return rec.Starts > 1 }
	}
	httpjson.Write(w, http.StatusOK, s.engine.Record(include))
}

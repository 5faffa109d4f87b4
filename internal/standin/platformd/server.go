// Package platformd implements the stand-in of the platform's services over HTTP,
// for tests and demonstrations: the table and object store of package memstore; the
// live list, that is, the list of the instances, which lags behind; and the weight
// store, from which model weights are downloaded at a limited rate.
// docs/PLATFORM.md describes the protocol.
package platformd

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// maxObjectBytes bounds the size of an object.
const maxObjectBytes = 64 << 20

// Faults is the body of PUT /standin/faults.
type Faults struct {
	memstore.Faults
	// LiveLagMs is the lag of the live list in milliseconds.
	LiveLagMs int64 `json:"live_lag_ms"`
	// WeightBytesPerSecond is the rate of the weight store; 0 means no limit.
	WeightBytesPerSecond int64 `json:"weight_bytes_per_second"`
}

// Settings configures a Server.
type Settings struct {
	// LiveLag is the lag of the live list.
	LiveLag time.Duration
	// WeightRate is the rate of the weight store in bytes per second; 0 means no
	// limit.
	WeightRate int64
	// WeightSize is the size in bytes of each model version whose size was not
	// set; 0 means that such a version does not exist.
	WeightSize int64
}

// Server is the HTTP handler of the platform's services.
type Server struct {
	store *memstore.Store
	mux   *http.ServeMux

	mu      sync.Mutex
	live    liveList
	weights weightStore
}

// New returns a Server over an empty store.
func New(s Settings) *Server {
	srv := &Server{
		store:   memstore.New(),
		mux:     http.NewServeMux(),
		live:    liveList{current: map[string]platform.LiveListEntry{}, lag: s.LiveLag},
		weights: weightStore{sizes: map[string]int64{}, defaultSize: s.WeightSize, rate: s.WeightRate},
	}
	srv.routes()
	return srv
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /table/read", s.read)
	s.mux.HandleFunc("POST /table/scan", s.scan)
	s.mux.HandleFunc("POST /table/commit", s.commit)
	s.mux.HandleFunc("PUT /objects/{key...}", s.putObject)
	s.mux.HandleFunc("GET /objects/{key...}", s.getObject)
	s.mux.HandleFunc("DELETE /objects/{key...}", s.deleteObject)
	s.mux.HandleFunc("GET /live", s.listLive)
	s.mux.HandleFunc("GET /weights/{model}/{version}", s.weight)
	s.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("PUT /standin/live/{id...}", s.setLive)
	s.mux.HandleFunc("DELETE /standin/live/{id...}", s.deleteLive)
	s.mux.HandleFunc("PUT /standin/weights/{model}/{version}", s.setWeight)
	s.mux.HandleFunc("GET /standin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /standin/faults", s.setFaults)
	s.mux.HandleFunc("GET /standin/counts", s.counts)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// fail answers with the status for an error of the store. For an unknown outcome
// it closes the connection without an answer.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		httpjson.Reset(w)
	case errors.Is(err, platform.ErrNotFound):
		httpjson.Fail(w, http.StatusNotFound, "not_found", err.Error())
	default:
		httpjson.Fail(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}

type readRequest struct {
	Keys []string `json:"keys"`
}

type scanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type rowsAnswer struct {
	Rows []platform.Row `json:"rows"`
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	var req readRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	rows, err := s.store.Read(r.Context(), req.Keys...)
	answerRows(w, rows, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	var req scanRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	rows, err := s.store.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	answerRows(w, rows, err)
}

func answerRows(w http.ResponseWriter, rows []platform.Row, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	if rows == nil {
		rows = []platform.Row{}
	}
	httpjson.Write(w, http.StatusOK, rowsAnswer{Rows: rows})
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !httpjson.Read(w, r, &txn) {
		return
	}
	res, err := s.store.Commit(r.Context(), txn)
	if err != nil {
		fail(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, res)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if err := s.store.PutObject(r.Context(), r.PathValue("key"), data); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.store.GetObject(r.Context(), r.PathValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	if err := s.store.DeleteObject(r.Context(), r.PathValue("key")); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type liveAnswer struct {
	Instances []platform.LiveListEntry `json:"instances"`
}

func (s *Server) listLive(w http.ResponseWriter, _ *http.Request) {
	if s.store.Faults().Down {
		fail(w, platform.ErrUnavailable)
		return
	}
	s.mu.Lock()
	entries := s.live.read(time.Now())
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, liveAnswer{Instances: entries})
}

func (s *Server) setLive(w http.ResponseWriter, r *http.Request) {
	entry := platform.LiveListEntry{Phase: platform.Live}
	if !httpjson.Read(w, r, &entry) {
		return
	}
	entry.ID = r.PathValue("id")
	s.mu.Lock()
	s.live.set(time.Now(), entry)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteLive(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.live.remove(time.Now(), r.PathValue("id"))
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

type weightAnswer struct {
	Size int64 `json:"size"`
}

func (s *Server) weight(w http.ResponseWriter, r *http.Request) {
	if s.store.Faults().Down {
		fail(w, platform.ErrUnavailable)
		return
	}
	s.mu.Lock()
	size, wait := s.weights.grant(time.Now(), r.PathValue("model")+"/"+r.PathValue("version"))
	s.mu.Unlock()
	switch {
	case wait > 0:
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		httpjson.Fail(w, http.StatusTooManyRequests, "rate_limited", platform.ErrRateLimited.Error())
	case size == 0:
		fail(w, platform.ErrNotFound)
	default:
		httpjson.Write(w, http.StatusOK, weightAnswer{Size: size})
	}
}

func (s *Server) setWeight(w http.ResponseWriter, r *http.Request) {
	var body weightAnswer
	if !httpjson.Read(w, r, &body) {
		return
	}
	s.mu.Lock()
	s.weights.sizes[r.PathValue("model")+"/"+r.PathValue("version")] = body.Size
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := Faults{
		Faults:               s.store.Faults(),
		LiveLagMs:            s.live.lag.Milliseconds(),
		WeightBytesPerSecond: s.weights.rate,
	}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, f)
}

// setFaults replaces the fault switches. The lag and the rate keep their values if
// the body omits them.
func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := Faults{LiveLagMs: s.live.lag.Milliseconds(), WeightBytesPerSecond: s.weights.rate}
	s.mu.Unlock()
	if !httpjson.Read(w, r, &f) {
		return
	}
	s.store.SetFaults(f.Faults)
	s.mu.Lock()
	s.live.lag = time.Duration(f.LiveLagMs) * time.Millisecond
	s.weights.rate = f.WeightBytesPerSecond
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.store.Counts())
}

package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/result"
)

var log = logging.For("admin")

// maxBodyBytes bounds the request body of one call.
const maxBodyBytes = 4 << 20

// bootstrapName is the operator name of the bootstrap token.
const bootstrapName = "bootstrap"

// Options configures the API of an instance.
type Options struct {
	Store   *catalogue.Store
	Replica *catalogue.Replica
	// Bus collects the status of the other instances. NewHandler registers a
	// call handler on it, so the bus must not have been started yet.
	Bus peer.Bus
	// BootstrapTokenSHA256 is the hex SHA-256 of the token that may edit all
	// entries while the catalogue has no operator entry; empty disables it.
	BootstrapTokenSHA256 string
	// Ready returns why the instance is not ready, or nil. It is called once
	// the replica is ready; if it is nil, only the replica is checked.
	Ready func() error
	// Drain begins a graceful shutdown and returns immediately; it may be called
	// repeatedly. If it is nil, drain calls are refused.
	Drain func()
	// Draining reports whether the graceful shutdown has begun.
	Draining func() bool
	// Dumps holds the state dumps of the process. NewHandler adds that of the
	// catalogue.
	Dumps *Dumps
}

// api implements the calls of the operators' API.
type api struct {
	Options
	started time.Time
}

// NewHandler returns the API's handler. Health, readiness and metrics need no
// token; all other paths need an operator's bearer token.
func NewHandler(opts Options) http.Handler {
	if opts.Dumps == nil {
		opts.Dumps = &Dumps{}
	}
	opts.Dumps.Register("catalogue", opts.Replica.Dump)
	a := &api{Options: opts, started: time.Now()}
	a.Bus.HandleCall(topicStatus, a.handleStatus)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, a.health)
	mux.HandleFunc("GET "+PathReady, a.ready)
	mux.HandleFunc("GET "+PathMetrics, a.metrics)
	mux.HandleFunc("GET "+PathEntries, a.authenticated(a.entries))
	mux.HandleFunc("GET "+PathEntries+"/{kind}/{name}", a.authenticated(a.entry))
	mux.HandleFunc("POST "+PathEdits, a.authenticated(a.applyEdit))
	mux.HandleFunc("GET "+PathEdits+"/{id}", a.authenticated(a.editByID))
	mux.HandleFunc("GET "+PathHistory, a.authenticated(a.history))
	mux.HandleFunc("GET "+PathHistory+"/{revision}", a.authenticated(a.change))
	mux.HandleFunc("GET "+PathDump, a.authenticated(a.dump))
	mux.HandleFunc("GET "+PathDump+"/{name}", a.authenticated(a.dumpPart))
	mux.HandleFunc("POST "+PathDrain, a.authenticated(a.drain))
	mux.HandleFunc("GET "+PathStatus, a.authenticated(a.status))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, result.New(result.UnknownRoute, "no such path or method: %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// operatorHandler serves one call of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, by catalogue.Operator) error

// authenticated resolves the bearer token of a call to an operator and calls next;
// without a known token it answers with an error.
func (a *api) authenticated(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		by, err := a.operator(r)
		if err == nil {
			err = next(w, r, by)
		}
		if err != nil {
			WriteError(w, err)
		}
	}
}

// operator returns the operator whose bearer token the request carries.
func (a *api) operator(r *http.Request) (catalogue.Operator, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return catalogue.Operator{}, result.New(result.Unauthenticated, "send an operator's token as \"Authorization: Bearer TOKEN\"")
	}
	snap := a.Replica.Snapshot()
	if snap == nil {
		return catalogue.Operator{}, notReady()
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	if e := snap.OperatorByTokenHash(hash); e != nil {
		return catalogue.Operator{Name: e.Name, Owners: e.Operator.Owners}, nil
	}
	if hash == a.BootstrapTokenSHA256 && len(snap.Entries(catalogue.KindOperator)) == 0 {
		return catalogue.Operator{Name: bootstrapName, Owners: []string{catalogue.All}}, nil
	}
	return catalogue.Operator{}, result.New(result.Unauthenticated, "the token is unknown")
}

// notReadyRetryAfter is the Retry-After of an instance without a catalogue.
const notReadyRetryAfter = 2 * time.Second

func notReady() error {
	return result.New(result.NotReady, "the instance has no current catalogue yet").WithRetryAfter(notReadyRetryAfter)
}

func (a *api) health(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, "ok\n") //nolint:errcheck // the client has disconnected
}

func (a *api) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.readiness(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n") //nolint:errcheck // the client has disconnected
}

// readiness returns why the instance accepts no new requests, or nil.
func (a *api) readiness() error {
	if a.Draining != nil && a.Draining() {
		return result.New(result.Draining, "the instance is stopping")
	}
	if !a.Replica.Ready() {
		return notReady()
	}
	if a.Ready != nil {
		return a.Ready()
	}
	return nil
}

func (a *api) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

func (a *api) dump(w http.ResponseWriter, _ *http.Request, _ catalogue.Operator) error {
	return writeJSON(w, a.Dumps.All())
}

func (a *api) dumpPart(w http.ResponseWriter, r *http.Request, _ catalogue.Operator) error {
	state, ok := a.Dumps.State(r.PathValue("name"))
	if !ok {
		return result.New(result.EntryNotFound, "no part %q; there are %s", r.PathValue("name"), strings.Join(a.Dumps.Names(), ", "))
	}
	return writeJSON(w, state)
}

// DrainAnswer is the answer to POST /v1/drain.
type DrainAnswer struct {
	Draining bool `json:"draining"`
}

func (a *api) drain(w http.ResponseWriter, _ *http.Request, by catalogue.Operator) error {
	if !by.May(catalogue.All) {
		return result.New(result.EditForbidden, "only an operator of all owners may stop an instance")
	}
	if a.Drain == nil {
		return result.New(result.UnknownRoute, "this process has no planned stop")
	}
	log.Infof("graceful shutdown requested by operator %s", by.Name)
	a.Drain()
	return writeJSON(w, DrainAnswer{Draining: true})
}

// writeJSON answers with a value encoded as JSON.
func writeJSON(w http.ResponseWriter, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
	return nil
}

// WriteError answers with an error's result code and details.
func WriteError(w http.ResponseWriter, err error) {
	coded := result.From(err)
	if coded.Code == result.Internal {
		log.Errorf("call failed: %v", err)
	}
	body := ErrorBody{
		Code:              coded.Code,
		Name:              coded.Code.String(),
		Message:           coded.Detail,
		Execution:         coded.Execution,
		RetryAfterSeconds: int(math.Ceil(coded.RetryAfter.Seconds())),
	}
	errors.As(err, &body.Fields)
	errors.As(err, &body.Conflict)
	w.Header().Set("Content-Type", "application/json")
	if body.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(body.RetryAfterSeconds))
	}
	w.WriteHeader(coded.Code.Info().Status)
	json.NewEncoder(w).Encode(ErrorAnswer{Error: body}) //nolint:errcheck // the client has disconnected
}

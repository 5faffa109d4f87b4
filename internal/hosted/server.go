package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/oklog/run"
)

// Bounds of the listeners. The configuration bounds callers more closely; it is
// not known when the listeners start.
const (
	// headerTimeout bounds the time in which a request's header must arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout ages out callers' idle connections. Callers reuse them for a
	// good part of what the configuration allows, which is less.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
)

func (n *Instance) buildServers() {
	n.callers = newServer(n.handler)
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+n.opts.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	n.readiness = newServer(readiness)
	operators := http.NewServeMux()
	operators.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	operators.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.dump()); err != nil {
			log.WithError(err).Debug("A state dump could not be written.")
		}
	})
	n.operators = newServer(operators)
	n.linkServer = newServer(n.links)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// addServer listens at once, so that a taken port is an error of the start, and
// adds the actor that serves.
func addServer(group *run.Group, name, address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err, "listening for %s", name)
	}
	stopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err, "serving %s", name)
		}
		<-stopped // a planned stop closes the callers' server first
		return nil
	}, func(error) {
		close(stopped)
		server.Close() //nolint:errcheck // the process ends
	})
	return nil
}

// shutdown closes the callers' server and waits for its requests.
func (n *Instance) shutdown(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("Requests were still running at the end of a planned stop.")
	}
}

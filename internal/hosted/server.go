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

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/graceful"
	"github.com/banyanroute/banyanroute/internal/panics"
)

// Bounds of the listeners. Callers' connections have the limits of the configuration once it is
// known.
const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
	// idleMarginDivisor is the fraction of the configured idle timeout, as a divisor, by which
	// connections stay open longer: callers may reuse them until shortly before its end.
	idleMarginDivisor = 4
	// maxHeaderBytes bounds the size of a caller's header until the configuration does.
	maxHeaderBytes = 64 << 10
	// otherHeadBytes bounds the header of a request that is not a caller's.
	otherHeadBytes = 16 << 10
)

// buildServers builds the servers for readiness checks, operators and links.
func (n *Instance) buildServers() {
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
	operators.HandleFunc("GET "+admin.PathHostedDump, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.dump()); err != nil {
			log.WithError(err).Debug("writing state dump failed")
		}
	})
	operators.HandleFunc("GET "+admin.PathHostedWhere, n.serveWhere)
	n.operators = newServer(operators)
	n.linkServer = newServer(n.links)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           panics.Handler(log, h),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// addServer starts to listen immediately, so that a port in use fails the
// start, and adds the actor that serves.
func (n *Instance) addServer(group *run.Group, name, address string, server *http.Server, capacity graceful.Capacity) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err, "listening for %s", name)
	}
	listener = graceful.Protect(name, server, listener, capacity)
	stopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			n.fail(trace.Wrap(err, "serving %s", name))
		}
		<-stopped // the first actor that returns ends the running requests
		return nil
	}, func(error) {
		close(stopped)
		server.Close() //nolint:errcheck // the process ends
	})
	return nil
}

// addCallersServer starts to listen for callers and adds the actor that serves.
func (n *Instance) addCallersServer(group *run.Group) error {
	callers := newServer(n.handler)
	callers.DisableGeneralOptionsHandler = true // "OPTIONS *" is answered like any other request
	server, err := graceful.Listen(n.settings.CallersAddress, callers, nil)
	if err != nil {
		return trace.Wrap(err, "listening for callers")
	}
	server.SetLimits(n.connectionLimits)
	server.SetCapacity("callers", n.callersCapacity())
	n.callers = server
	group.Add(func() error {
		server.Serve(func(err error) { n.fail(trace.Wrap(err, "serving callers")) })
		return nil
	}, func(error) { server.Close() })
	return nil
}

// connectionLimits returns the limits of callers' connections in force.
func (n *Instance) connectionLimits() graceful.Limits {
	limits := graceful.Limits{Header: headerTimeout, Idle: idleTimeout}
	config := n.state.View().Config
	if config == nil {
		return limits
	}
	if header := config.Limits.HeaderTimeout; header > 0 {
		limits.Header = header
	}
	if idle := config.Limits.IdleTimeout; idle > 0 {
		limits.Idle = idle + idle/idleMarginDivisor
	}
	return limits
}

// shutdownCallers stops the callers' server and waits for its requests until running ends. Those that
// still run then get an error.
func (n *Instance) shutdownCallers(running context.Context) {
	if n.callers.Stop(running) == nil {
		return
	}
	log.Warn("requests or connections left at the end of the graceful shutdown; requests get an error")
	n.endRequests()
	stop := n.stop.Load()
	exit := stop.Began.Add(stop.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), exit.Sub(stop.End)/2)
	defer cancel()
	if err := n.callers.Stop(ctx); err != nil {
		log.WithError(err).Warn("connections left at the end of the graceful shutdown are closed")
	}
}

package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/entry"
	"github.com/banyanroute/banyanroute/internal/graceful"
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/settings"
)

// Timeouts of the listeners.
const (
	// headerTimeout bounds the time in which a request's header must arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the shutdown of a server when the run group ends;
	// after a graceful shutdown only the operators' and links' servers still
	// run then.
	closeTimeout = 2 * time.Second
)

// buildServers builds the three HTTP servers.
func (d *Daemon) buildServers() {
	bounds := d.settings.Limits
	d.callerHandler = entry.NewHandler(entry.Options{
		DataCentre:     d.settings.DataCentre,
		Catalogue:      d.controller.ActiveCatalogue,
		Dispatcher:     d.dispatcher,
		Limiter:        entryLimiter{d.limiter},
		BodyBytes:      bounds.BodyBytes,
		BodiesBytes:    bounds.BodiesBytes,
		BodyTimeout:    bounds.BodyTimeout.Std(),
		RequestTimeout: bounds.RequestTimeout.Std(),
		Draining:       d.draining.Load,
		Stop:           d.stop.Load,
		Ending:         d.ending,
	})
	d.operatorServer = newServer(d.operatorHandler(), bounds.HeaderBytes)
	d.linkServer = newServer(d.overlay.Handler(), bounds.HeaderBytes)
}

func newServer(h http.Handler, headerBytes int64) *http.Server {
	return &http.Server{
		Handler:           panics.Handler(log, h),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(headerBytes),
	}
}

// tlsConfig returns the TLS configuration of a listener; nil without a certificate.
func tlsConfig(name string, l settings.Listener) (*tls.Config, error) {
	if l.TLSCert == "" {
		return nil, nil
	}
	loader, err := newCertLoader(l.TLSCert, l.TLSKey)
	if err != nil {
		return nil, trace.Wrap(err, "loading the TLS certificate of %s", name)
	}
	return &tls.Config{GetCertificate: loader.get, MinVersion: tls.VersionTLS12}, nil
}

// addCallerServer listens for callers and adds the actor that serves them.
func (d *Daemon) addCallerServer(group *run.Group) error {
	l := d.settings.Listen.Callers
	config, err := tlsConfig("callers", l)
	if err != nil {
		return err
	}
	server, err := graceful.Listen(l.Address, newServer(d.callerHandler, d.settings.Limits.HeaderBytes), config)
	if err != nil {
		return trace.Wrap(err, "listening for callers on %s", l.Address)
	}
	// Memory is left to the limits of bodies: its limit here is a soft one.
	server.SetCapacity("callers", graceful.Capacity{Connections: graceful.CallersConnections(graceful.Descriptors(0))})
	d.callerServer = server
	group.Add(func() error {
		server.Serve(func(err error) { d.fail(trace.Wrap(err, "serving callers")) })
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := server.Stop(ctx); err != nil {
			log.Warnf("requests of callers are cut off: %v", err)
		}
		server.Close()
	})
	return nil
}

// addServer listens immediately, so that a port in use makes the start fail, and
// adds the actor that serves.
func (d *Daemon) addServer(group *run.Group, name string, server *http.Server, l settings.Listener) error {
	config, err := tlsConfig(name, l)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return trace.Wrap(err, "listening for %s", name)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	stopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			d.fail(trace.Wrap(err, "serving %s", name))
		}
		// A graceful shutdown closes the callers' server first. The first actor
		// that returns ends the whole group, so this one waits until the group
		// is stopped.
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			server.Close() //nolint:errcheck // the process is about to exit
		}
	})
	return nil
}

// linkDialer returns the dialer of links to other instances; it uses TLS if the
// links' listener has a CA.
func linkDialer(l settings.Listener) (member.Dialer, error) {
	if l.TLSCA == "" {
		return member.NewWebSocketDialer(nil), nil
	}
	pem, err := os.ReadFile(l.TLSCA)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s contains no PEM certificate", l.TLSCA)
	}
	return member.NewWebSocketDialer(&tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}), nil
}

// certLoader serves a TLS certificate and reloads it when one of its files changes.
type certLoader struct {
	cert, key string
	mu        sync.Mutex
	loaded    *tls.Certificate
	// modified holds the modification times of the loaded certificate and key files;
	// checked is the time of the last check for new ones.
	modified [2]time.Time
	checked  time.Time
}

// certCheckInterval is the minimum time between two checks of the files.
const certCheckInterval = time.Second

func newCertLoader(cert, key string) (*certLoader, error) {
	l := &certLoader{cert: cert, key: key}
	_, err := l.get(nil)
	return l, err
}

// get implements tls.Config.GetCertificate. If a changed pair cannot be loaded, the
// previous one stays in use.
func (l *certLoader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.loaded != nil && now.Sub(l.checked) < certCheckInterval {
		return l.loaded, nil
	}
	l.checked = now
	modified, err := l.modificationTimes()
	if err == nil && l.loaded != nil && modified == l.modified {
		return l.loaded, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(l.cert, l.key)
	if loadErr != nil || err != nil {
		if l.loaded != nil {
			log.Warnf("certificate not reloaded, previous one stays in use: %v", errors.Join(err, loadErr))
			return l.loaded, nil
		}
		return nil, errors.Join(err, loadErr)
	}
	l.loaded, l.modified = &pair, modified
	return l.loaded, nil
}

// modificationTimes returns the modification times of the certificate and key files.
func (l *certLoader) modificationTimes() (modified [2]time.Time, err error) {
	for i, file := range []string{l.cert, l.key} {
		info, err := os.Stat(file)
		if err != nil {
			return modified, err
		}
		modified[i] = info.ModTime()
	}
	return modified, nil
}

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
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/settings"
)

// Timeouts of the listeners.
const (
	// headerTimeout bounds the time in which a request's header must arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout ages out callers' idle connections.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the end of the operators' and links' listeners.
	closeTimeout = 2 * time.Second
)

// buildServers builds the three HTTP servers.
func (d *Daemon) buildServers() {
	bounds := d.settings.Limits
	callers := entry.NewHandler(entry.Options{
		DataCentre:     d.settings.DataCentre,
		Catalogue:      d.controller.Installed,
		Dispatcher:     d.dispatcher,
		Limiter:        limits{d.limiter},
		BodyBytes:      bounds.BodyBytes,
		BodiesBytes:    bounds.BodiesBytes,
		BodyTimeout:    bounds.BodyTimeout.Std(),
		RequestTimeout: bounds.RequestTimeout.Std(),
		Draining:       d.draining.Load,
	})
	d.callers = newServer(callers, bounds.HeaderBytes)
	d.operators = newServer(d.handler(), bounds.HeaderBytes)
	d.links = newServer(d.overlay.Handler(), bounds.HeaderBytes)
}

func newServer(h http.Handler, headerBytes int64) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(headerBytes),
	}
}

// addServer listens at once, so that a taken port is an error of the start,
// and adds the actor that serves.
func (d *Daemon) addServer(group *run.Group, name string, server *http.Server, l settings.Listener) error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return trace.Wrap(err, "listening for %s", name)
	}
	if l.TLSCert != "" {
		loader, err := newCertLoader(l.TLSCert, l.TLSKey)
		if err != nil {
			return trace.Wrap(err, "TLS of %s", name)
		}
		config := &tls.Config{GetCertificate: loader.get, MinVersion: tls.VersionTLS12}
		listener = tls.NewListener(listener, config)
	}
	stopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err, "serving %s", name)
		}
		// A planned stop closes the callers' server first; the actor goes on
		// until the whole group ends.
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			server.Close() //nolint:errcheck // the process ends
		}
	})
	return nil
}

// linkDialer returns the dialer of links to other instances, with TLS if the
// links' listener has it.
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
		return nil, trace.BadParameter("%s holds no PEM certificate", l.TLSCA)
	}
	return member.NewWebSocketDialer(&tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}), nil
}

// certLoader reads a certificate again when its file changes.
type certLoader struct {
	cert, key string
	mu        sync.Mutex
	loaded    *tls.Certificate
	modified  time.Time
	checked   time.Time
}

// certCheckInterval bounds how often the files are looked at.
const certCheckInterval = time.Second

func newCertLoader(cert, key string) (*certLoader, error) {
	l := &certLoader{cert: cert, key: key}
	_, err := l.get(nil)
	return l, err
}

// get implements tls.Config.GetCertificate. A new pair that cannot be read
// leaves the old one in use.
func (l *certLoader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.loaded != nil && now.Sub(l.checked) < certCheckInterval {
		return l.loaded, nil
	}
	l.checked = now
	info, err := os.Stat(l.key)
	if err == nil && l.loaded != nil && info.ModTime().Equal(l.modified) {
		return l.loaded, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(l.cert, l.key)
	if loadErr != nil || err != nil {
		if l.loaded != nil {
			log.Warnf("keeping the old certificate: %v", errors.Join(err, loadErr))
			return l.loaded, nil
		}
		return nil, errors.Join(err, loadErr)
	}
	l.loaded, l.modified = &pair, info.ModTime()
	return l.loaded, nil
}

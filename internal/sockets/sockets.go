// Package sockets opens TCP connections that detect a peer that no longer responds.
package sockets

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options sets the timeouts after which a connection whose peer does not respond
// counts as lost.
type Options struct {
	// DialTimeout bounds the TCP handshake.
	DialTimeout time.Duration
	// UserTimeout bounds how long written bytes may stay unacknowledged, or unread by a peer
	// whose buffer is full (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAliveProbes is the number of unanswered keep-alive probes after which an idle
	// connection is closed if there is no UserTimeout; zero selects defaultKeepAliveProbes.
	KeepAliveProbes int
}

// Upstream is the options of connections to upstreams: another upstream must be found
// while the caller still waits, but a sound one may be silent for a second or so.
var Upstream = Options{DialTimeout: 400 * time.Millisecond, UserTimeout: 2500 * time.Millisecond}

// ErrIsolated is returned if no connection was tried because this instance reaches no upstream
// in any way.
var ErrIsolated = errors.New("this instance reaches no upstream")

// DialFunc opens connections, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// keepAliveProbes returns KeepAliveProbes or its default.
func (o Options) keepAliveProbes() int {
	if o.KeepAliveProbes == 0 {
		return defaultKeepAliveProbes
	}
	return o.KeepAliveProbes
}

// SilenceTimeout returns how long after the last received byte an idle connection is
// closed if the peer does not answer probes. As in Linux, a user timeout replaces the number of
// probes: the connection is closed when the first probe after it would be due.
func (o Options) SilenceTimeout() time.Duration {
	if o.UserTimeout == 0 {
		return keepAliveIdle + time.Duration(o.keepAliveProbes())*keepAliveInterval
	}
	timeout := keepAliveIdle + keepAliveInterval
	for timeout < o.UserTimeout {
		timeout += keepAliveInterval
	}
	return timeout
}

// NewTransport returns a transport that opens a connection for each request. A
// connection that is used only once cannot deliver the answer to an earlier request,
// and the peer does not close it as idle while a request is in transit. An answer without a
// length whose connection is lost is incomplete (DetectResets), and an answer with a malformed
// head is none (ErrMalformedAnswer).
func NewTransport(dial DialFunc) *http.Transport { return newTransport(dial, &tls.Config{}) }

// newTransport is NewTransport with the configuration of TLS connections.
func newTransport(dial DialFunc, config *tls.Config) *http.Transport {
	dial = DetectResets(dial)
	return &http.Transport{
		DialContext:        checkHeads(dial),
		DialTLSContext:     checkHeads(dialTLS(dial, config)),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// Keep-alive probes of idle connections. The kernel takes these times in whole
// seconds.
const (
	keepAliveIdle          = time.Second
	keepAliveInterval      = time.Second
	defaultKeepAliveProbes = 2
)

// NewDialer returns a dialer whose connections send frequent keep-alive probes and
// have the user timeout of o.
func NewDialer(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    o.keepAliveProbes(),
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
}

// Package sockets opens TCP connections that notice a peer that fell silent.
package sockets

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options bound how long a connection may be silent before it counts as lost.
type Options struct {
	// DialTimeout bounds the handshake.
	DialTimeout time.Duration
	// UserTimeout bounds how long written bytes may stay unacknowledged.
	UserTimeout time.Duration
}

// NewTransport returns a transport that opens a connection for each request. A
// connection that is used once cannot bring an answer to an earlier request, and
// is not closed by the peer while a request is on its way.
func NewTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:        NewDialer(o).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// Keep-alive probes of idle connections. Whole seconds are the finest that the
// kernel takes.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer with short keep-alive probes.
func NewDialer(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

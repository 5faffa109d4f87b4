// Package sockets opens TCP connections that detect a peer that no longer responds.
package sockets

import (
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
	// UserTimeout bounds how long written bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

// NewTransport returns a transport that opens a connection for each request. A
// connection that is used only once cannot deliver the answer to an earlier request,
// and the peer does not close it as idle while a request is in transit.
func NewTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:        NewDialer(o).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// Keep-alive probes of idle connections. The kernel takes these times in whole
// seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
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
			Count:    keepAliveCount,
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

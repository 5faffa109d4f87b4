package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Bounds of served tunnels.
const (
	// maxServed bounds the tunnels that an instance serves at a time; with its buffers each
	// takes about 40 KiB.
	maxServed = 256
	// openTimeout bounds the arrival of the request for a tunnel.
	openTimeout = time.Second
	// lingerTime is how long a tunnel whose upstream has ended waits for the other instance
	// to close it; closing it earlier could discard bytes in transit.
	lingerTime = 2 * time.Second
	// copyBufferBytes is the size of the buffer for an upstream's bytes.
	copyBufferBytes = 16 << 10
	// idleCheckInterval is the time between checks for the end of all tunnels.
	idleCheckInterval = 20 * time.Millisecond
)

// ServeStream serves a tunnel for another instance. It implements peer.StreamHandler.
func (d *Dialer) ServeStream(ctx context.Context, from string, s peer.Stream) {
	defer s.Close()
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var request openRequest
	if err := receive(opening, s, from, &request); err != nil {
		log.WithError(err).WithField("peer", from).Debug("request for a tunnel not received")
		return
	}
	defer d.served.Add(-1)
	conn, code := d.openFor(opening, request, d.served.Add(1))
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_tunnels_served_total{result=%q}`, code)).Inc()
	if conn != nil {
		defer conn.Close() //nolint:errcheck // both ends of the tunnel have ended
	}
	if err := send(opening, s, openAnswer{Code: code, Reaches: d.paths.connectedLately(time.Now())}); err != nil || conn == nil {
		return
	}
	join(ctx, s, conn)
}

// openFor opens the connection that another instance has requested; nil if it cannot.
// served is the number of tunnels with this one.
func (d *Dialer) openFor(ctx context.Context, r openRequest, served int64) (net.Conn, openCode) {
	if served > maxServed || d.opts.Draining() {
		return nil, busy
	}
	if _, listed := d.opts.Upstream(r.Address); !listed {
		return nil, notListed
	}
	if !d.paths.reaches(r.Address, time.Now()) {
		return nil, noPath
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMillis)*time.Millisecond)
	defer cancel()
	conn, err := d.dialDirect(ctx, "tcp", r.Address)
	switch {
	case err == nil:
		return conn, opened
	case isRefused(err):
		return nil, dialRefused
	}
	return nil, dialFailed
}

// isRefused reports whether the peer refused a connection.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Served returns the number of tunnels that are served now.
func (d *Dialer) Served() int { return int(d.served.Load()) }

// WaitServed waits until no tunnel is served, or ctx ends.
func (d *Dialer) WaitServed(ctx context.Context) {
	for d.Served() > 0 && sleep.For(ctx, idleCheckInterval) {
	}
}

// join copies bytes between a stream and a connection until both have ended or ctx ends.
func join(ctx context.Context, s peer.Stream, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		s.Close()
		conn.Close() //nolint:errcheck // unblocks the copying below
	})
	defer stop()
	back := make(chan struct{})
	go panics.Run(log, func() {
		defer close(back)
		if copyBack(ctx, s, conn) != nil {
			cancel()
			return
		}
		sleep.For(ctx, lingerTime)
		cancel()
	})
	for {
		data, err := s.Read(ctx)
		if err != nil {
			break // the other instance has closed the tunnel
		}
		if _, err := conn.Write(data); err != nil {
			// The upstream may have answered before it has read everything.
			log.WithError(err).Debug("upstream of a tunnel reads no further")
		}
	}
	cancel()
	<-back
}

// copyBack copies an upstream's bytes to the stream, up to their end. An error means that they
// are incomplete.
func copyBack(ctx context.Context, s peer.Stream, conn net.Conn) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := s.Write(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return s.Write(ctx, nil)
		}
		if err != nil {
			return err
		}
	}
}

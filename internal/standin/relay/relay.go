// Package relay forwards TCP connections, and can delay, close or silence them to
// test failures between two processes. A silenced connection stays open but
// carries no data.
package relay

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// bufferBytes is the size of the buffer for each direction of a connection.
const bufferBytes = 32 << 10

// Faults is the body of PUT /standin/faults.
type Faults struct {
	// Cut closes all connections and refuses new ones.
	Cut bool `json:"cut"`
	// SilenceOpen stops forwarding on the connections that are open when it
	// is set, permanently; connections that are opened later work.
	SilenceOpen bool `json:"silence_open,omitempty"`
	// SilenceAll stops forwarding on all connections until it is cleared.
	SilenceAll bool `json:"silence_all"`
	// DelayMs is the delay of each chunk of data in milliseconds.
	DelayMs int64 `json:"delay_ms"`
}

// Counts is the answer of GET /standin/counts. Accepted and Silenced are totals;
// Open is the current number of connections.
type Counts struct {
	Accepted int `json:"accepted"`
	Open     int `json:"open"`
	Silenced int `json:"silenced"`
}

// relayedConn is one relayed connection with its two ends.
type relayedConn struct {
	client net.Conn
	server net.Conn
	// silenced is closed when the connection is silenced permanently.
	silenced chan struct{}
	// closed is closed together with the connection.
	closed chan struct{}
	// once guards close.
	once sync.Once
}

// close closes both ends.
func (c *relayedConn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

// Relay forwards the connections of one listener to one address.
type Relay struct {
	listener net.Listener
	to       string

	mu       sync.Mutex
	faults   Faults
	conns    map[*relayedConn]struct{}
	accepted int
	silenced int
	// unsilenced is a channel that is closed unless SilenceAll is set.
	unsilenced chan struct{}
}

// New returns a relay that listens but does not yet accept connections.
func New(listen, to string) (*Relay, error) {
	if err := httpjson.CheckLoopback(to); err != nil {
		return nil, trace.Wrap(err)
	}
	listener, err := httpjson.Listen(listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{listener: listener, to: to, conns: map[*relayedConn]struct{}{}, unsilenced: make(chan struct{})}
	close(r.unsilenced)
	return r, nil
}

// Addr returns the address that clients connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Run forwards connections until Close is called.
func (r *Relay) Run() error {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		go r.serve(client)
	}
}

// Close ends Run and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.closeConns()
}

func (r *Relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// serve forwards one connection in both directions.
func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &relayedConn{client: client, server: server, silenced: make(chan struct{}), closed: make(chan struct{})}
	defer c.close()
	if !r.add(c) {
		return
	}
	defer r.remove(c)
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		r.forward(c, to, from)
		done <- struct{}{}
	}
	go forward(server, client)
	go forward(client, server)
	<-done
}

// add registers a connection. It returns false if connections are refused.
func (r *Relay) add(c *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Cut {
		return false
	}
	r.accepted++
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) remove(c *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// forward copies data from one end to the other until either is closed. The data
// of a silenced connection is dropped, and the connection stays open.
func (r *Relay) forward(c *relayedConn, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.waitToForward(c) {
			<-c.closed
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if r.isSilenced(c) {
				<-c.closed
			}
			return
		}
	}
}

// waitToForward waits for the delay, and then while SilenceAll is set. It returns
// false if the connection is closed or silenced permanently.
func (r *Relay) waitToForward(c *relayedConn) bool {
	r.mu.Lock()
	delay := time.Duration(r.faults.DelayMs) * time.Millisecond
	unsilenced := r.unsilenced
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	select {
	case <-unsilenced:
	case <-c.closed:
		return false
	}
	return !r.isSilenced(c)
}

func (r *Relay) isSilenced(c *relayedConn) bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Set replaces the faults.
func (r *Relay) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.SilenceOpen {
		r.silenceOpen()
		f.SilenceOpen = false
	}
	if f.SilenceAll && !r.faults.SilenceAll {
		r.unsilenced = make(chan struct{})
	}
	if !f.SilenceAll && r.faults.SilenceAll {
		close(r.unsilenced)
	}
	if f.Cut {
		for c := range r.conns {
			c.close()
		}
	}
	r.faults = f
}

// silenceOpen silences all open connections permanently. The caller must hold mu.
func (r *Relay) silenceOpen() {
	for c := range r.conns {
		if !r.isSilenced(c) {
			close(c.silenced)
			r.silenced++
		}
	}
}

// Control returns the handler of the fault switches.
func (r *Relay) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		f := r.faults
		r.mu.Unlock()
		httpjson.Write(w, http.StatusOK, f)
	})
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, req *http.Request) {
		var f Faults
		if httpjson.Read(w, req, &f) {
			r.Set(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		c := Counts{Accepted: r.accepted, Open: len(r.conns), Silenced: r.silenced}
		r.mu.Unlock()
		httpjson.Write(w, http.StatusOK, c)
	})
	return mux
}

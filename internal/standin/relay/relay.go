// Package relay forwards TCP connections and can delay, cut or silence them, for
// tests of failures between two processes.
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

// bufferBytes is the size of the buffer of one direction of a connection.
const bufferBytes = 32 << 10

// Faults is the body of PUT /standin/faults.
type Faults struct {
	// Cut closes all connections and refuses new ones.
	Cut bool `json:"cut"`
	// SilenceOpen stops forwarding on the connections that are open when it
	// is set, for good; connections that are opened later work.
	SilenceOpen bool `json:"silence_open,omitempty"`
	// SilenceAll stops forwarding on all connections until it is cleared.
	SilenceAll bool `json:"silence_all"`
	// DelayMs is added to each piece of data, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
}

// Counts is the answer of GET /standin/counts.
type Counts struct {
	Accepted int `json:"accepted"`
	Open     int `json:"open"`
	Silenced int `json:"silenced"`
}

// link is one relayed connection.
type link struct {
	client net.Conn
	server net.Conn
	// silenced is closed when the link stops forwarding for good.
	silenced chan struct{}
	// closed is closed when either end is.
	closed chan struct{}
	once   sync.Once
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.client.Close()
		_ = l.server.Close()
	})
}

// Relay forwards the connections of one listener to one address.
type Relay struct {
	listener net.Listener
	to       string

	mu       sync.Mutex
	faults   Faults
	links    map[*link]struct{}
	accepted int
	silenced int
	// open is closed while SilenceAll is not set.
	open chan struct{}
}

// New returns a relay that listens at once.
func New(listen, to string) (*Relay, error) {
	if err := httpjson.CheckLoopback(to); err != nil {
		return nil, trace.Wrap(err)
	}
	listener, err := httpjson.Listen(listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{listener: listener, to: to, links: map[*link]struct{}{}, open: make(chan struct{})}
	close(r.open)
	return r, nil
}

// Addr returns the address that clients connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Run forwards connections until Close.
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

// Close ends Run and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.closeLinks()
}

func (r *Relay) closeLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// serve forwards one connection in both directions.
func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server, silenced: make(chan struct{}), closed: make(chan struct{})}
	defer l.close()
	if !r.add(l) {
		return
	}
	defer r.remove(l)
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		r.forward(l, to, from)
		done <- struct{}{}
	}
	go forward(server, client)
	go forward(client, server)
	<-done
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Cut {
		return false
	}
	r.accepted++
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// forward copies from one end to the other until either is closed. A silenced
// link stays open and its data is thrown away.
func (r *Relay) forward(l *link, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.pass(l) {
			<-l.closed
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if r.isSilenced(l) {
				<-l.closed
			}
			return
		}
	}
}

// pass waits for the delay and while all links are silent. It returns false if
// the link is silenced for good or closed.
func (r *Relay) pass(l *link) bool {
	r.mu.Lock()
	delay := time.Duration(r.faults.DelayMs) * time.Millisecond
	open := r.open
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	select {
	case <-open:
	case <-l.closed:
		return false
	}
	return !r.isSilenced(l)
}

func (r *Relay) isSilenced(l *link) bool {
	select {
	case <-l.silenced:
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
		r.open = make(chan struct{})
	}
	if !f.SilenceAll && r.faults.SilenceAll {
		close(r.open)
	}
	if f.Cut {
		for l := range r.links {
			l.close()
		}
	}
	r.faults = f
}

// silenceOpen silences the present links for good. The caller holds mu.
func (r *Relay) silenceOpen() {
	for l := range r.links {
		if !r.isSilenced(l) {
			close(l.silenced)
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
		c := Counts{Accepted: r.accepted, Open: len(r.links), Silenced: r.silenced}
		r.mu.Unlock()
		httpjson.Write(w, http.StatusOK, c)
	})
	return mux
}

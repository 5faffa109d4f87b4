// Package paths is a stand-in of the paths of one instance to upstreams, which can be cut.
package paths

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Cut is how the paths of an instance to upstreams fail.
type Cut int

// Kinds of cuts.
const (
	// Silent: new connections get no answer, and nothing passes on open ones.
	Silent Cut = iota
	// Refused: new connections are refused, open ones live on.
	Refused
	// Reset: new connections are refused and open ones reset.
	Reset
	// SilentForNew: new connections get no answer, open ones live on.
	SilentForNew
)

// String returns the name of a kind of cut.
func (c Cut) String() string {
	return [...]string{"silent", "refused", "reset", "silent for new connections"}[c]
}

// Paths are the paths of one instance to all upstreams. Its Dial is the instance's.
type Paths struct {
	mu sync.Mutex
	// healed is closed at the end of a cut; nil while there is none.
	healed chan struct{}
	cut    Cut
	// reachable lists the addresses that the cut spares.
	reachable []string
	conns     map[*pathConn]bool
	dials     int
}

// New returns paths that are whole.
func New() *Paths { return &Paths{conns: map[*pathConn]bool{}} }

// Cut cuts the paths to all addresses but the spared ones.
func (p *Paths) Cut(how Cut, spared ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed, p.cut, p.reachable = make(chan struct{}), how, spared
	for c := range p.conns {
		if how == Reset && p.isCutLocked(c.address) {
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

// Heal ends a cut.
func (p *Paths) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// Dials returns the number of connections that were tried during cuts.
func (p *Paths) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

func (p *Paths) isCutLocked(address string) bool {
	return p.healed != nil && !slices.Contains(p.reachable, address)
}

// state returns the cut of the path to an address, with the channel that is closed at its
// end; nil if there is none.
func (p *Paths) state(address string) (Cut, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCutLocked(address) {
		return 0, nil
	}
	return p.cut, p.healed
}

// dialTimeout bounds the TCP handshake, as that of instances.
const dialTimeout = 400 * time.Millisecond

// Dial opens a connection if the path is whole.
func (p *Paths) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if how, healed := p.state(address); healed != nil {
		p.mu.Lock()
		p.dials++
		p.mu.Unlock()
		err := error(syscall.ECONNREFUSED)
		if how == Silent || how == SilentForNew {
			err = os.ErrDeadlineExceeded
			select {
			case <-ctx.Done():
				err = ctx.Err()
			case <-time.After(dialTimeout):
			}
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{TCPConn: conn.(*net.TCPConn), paths: p, address: address, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return c, nil
}

// pathConn is a connection on which nothing passes while its path is silent.
type pathConn struct {
	*net.TCPConn
	paths   *Paths
	address string
	closed  chan struct{}
	once    sync.Once
}

// wait waits while the path is silent.
func (c *pathConn) wait() error {
	how, healed := c.paths.state(c.address)
	if healed == nil || how != Silent {
		return nil
	}
	select {
	case <-healed:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if wait := c.wait(); wait != nil {
		return 0, wait
	}
	return n, err
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.paths.mu.Lock()
		delete(c.paths.conns, c)
		c.paths.mu.Unlock()
	})
	return c.TCPConn.Close()
}

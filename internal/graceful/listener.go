package graceful

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// listener is a TCP listener that can stop without a reset of connections that the kernel has
// established and the process has not accepted yet.
type listener struct {
	*net.TCPListener

	// pending holds the connections that stop has accepted; it is closed after them.
	pending  chan net.Conn
	once     sync.Once
	stopping atomic.Bool
}

// maxPending bounds the connections that stop accepts; the kernel's queue is shorter on
// ordinary systems.
const maxPending = 4096

func newListener(l *net.TCPListener) *listener {
	return &listener{TCPListener: l, pending: make(chan net.Conn, maxPending)}
}

// Accept implements net.Listener. After stop it returns the connections that were pending, and
// then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	isShut := errors.Is(err, net.ErrClosed) || errors.Is(err, unix.EINVAL) // EINVAL: shut down, not closed yet
	if !isShut || !l.stopping.Load() {
		return conn, err
	}
	if conn, ok := <-l.pending; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// stop closes the listener after it has accepted all pending connections. From then on new
// connections are refused.
func (l *listener) stop() {
	l.once.Do(func() {
		l.stopping.Store(true)
		if raw, err := l.SyscallConn(); err == nil {
			_ = raw.Control(l.acceptPending) // fails if the listener is closed already
		}
		l.Close() //nolint:errcheck // it may be closed already
		close(l.pending)
	})
}

// acceptPending accepts until no connection is pending and shuts the socket down in the next
// system call: the kernel resets connections that come in between.
func (l *listener) acceptPending(fd uintptr) {
	var accepted []int
	for len(accepted) < maxPending {
		conn, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			continue
		}
		if err != nil {
			break
		}
		accepted = append(accepted, conn)
	}
	_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // where it is not supported, closing does the same
	for _, one := range accepted {
		file := os.NewFile(uintptr(one), "")
		conn, err := net.FileConn(file)
		file.Close() // conn has a copy of the descriptor
		if err != nil {
			log.WithError(err).Warn("pending connection dropped")
			continue
		}
		l.pending <- conn
	}
}

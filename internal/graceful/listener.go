package graceful

import (
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

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

// handshakeTime is how long a stop waits for handshakes that have begun, a few round trips.
const handshakeTime = 20 * time.Millisecond

// stop closes the listener after it has accepted all connections whose handshake has begun. From then
// on new connections are refused.
func (l *listener) stop() {
	l.once.Do(func() {
		if raw, err := l.SyscallConn(); err == nil {
			var filterErr error
			// Control fails if the listener is closed already.
			if raw.Control(func(fd uintptr) { filterErr = dropNew(int(fd)) }) == nil && filterErr == nil {
				time.Sleep(handshakeTime)
			} else if filterErr != nil {
				log.WithError(filterErr).Warn("connections that are opened while the listener closes may be reset")
			}
			l.stopping.Store(true)
			_ = raw.Control(l.acceptPending)
		}
		l.stopping.Store(true)
		l.Close() //nolint:errcheck // it may be closed already
		close(l.pending)
	})
}

// Flags of a TCP header.
const (
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
)

// dropNew makes the kernel drop the first packet of each new connection to a listening socket. The
// kernel resets connections that are established while the socket closes; a packet that was dropped is
// sent again, and refused then.
func dropNew(fd int) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return os.NewSyscallError("setsockopt", unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program))
}

// acceptPending accepts until no connection is pending and shuts the socket down in the next
// system call.
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

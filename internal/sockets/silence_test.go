package sockets

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// setSilent makes a connection's end discard all packets, acknowledgements included, as if its
// host had fallen silent, or ends that.
func setSilent(t *testing.T, conn *net.TCPConn, silent bool) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// A classic BPF program that keeps no byte of any packet.
	program := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}
	controlErr := raw.Control(func(fd uintptr) {
		if silent {
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
		} else {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
	})
	if controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
}

// connectedPair returns a connection with the options and its other end.
func connectedPair(t *testing.T, o Options) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	return dialedPair(t, NewDialer(o).DialContext)
}

// dialedPair returns a connection that dial opens and its other end.
func dialedPair(t *testing.T, dial DialFunc) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	if conn, err = dial(t.Context(), "tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}

// soundSilence is how long a sound upstream may be silent.
const soundSilence = 1300 * time.Millisecond

// TestSoundUpstreamMayBeSilent checks that a connection to an upstream survives a silence,
// whenever it begins and whether or not bytes are in transit.
func TestSoundUpstreamMayBeSilent(t *testing.T) {
	for name, sends := range map[string]bool{"idle": false, "with bytes in transit": true} {
		for _, after := range []time.Duration{0, 500 * time.Millisecond, 950 * time.Millisecond} {
			t.Run(name+" after "+after.String(), func(t *testing.T) {
				t.Parallel()
				conn, peer := connectedPair(t, Upstream)
				time.Sleep(after)
				setSilent(t, peer, true)
				if sends {
					if _, err := conn.Write([]byte("request")); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(soundSilence)
				setSilent(t, peer, false)
				if !sends {
					if _, err := conn.Write([]byte("request")); err != nil {
						t.Fatalf("the connection was given up: %v", err)
					}
				}
				_ = peer.SetReadDeadline(time.Now().Add(10 * time.Second))
				data := make([]byte, 7)
				if _, err := io.ReadFull(peer, data); err != nil || string(data) != "request" {
					t.Errorf("the upstream received %q, %v", data, err)
				}
			})
		}
	}
}

// TestSlowReaderMayRest checks that a connection to an upstream survives if it stops reading a
// long request for a while.
func TestSlowReaderMayRest(t *testing.T) {
	conn, peer := connectedPair(t, Upstream)
	request := make([]byte, 16<<20)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(request)
		written <- err
	}()
	time.Sleep(soundSilence + 400*time.Millisecond)
	if n, err := io.ReadFull(peer, make([]byte, len(request))); err != nil {
		t.Errorf("the upstream received %d of %d bytes, %v", n, len(request), err)
	}
	if err := <-written; err != nil {
		t.Errorf("writing the request: %v", err)
	}
}

// TestDeadPeerIsFoundInTime checks that an idle connection whose peer has fallen silent for good
// ends at SilenceTimeout.
func TestDeadPeerIsFoundInTime(t *testing.T) {
	for name, o := range map[string]Options{
		"upstream":   Upstream,
		"one probe":  {DialTimeout: time.Second, UserTimeout: 1500 * time.Millisecond, KeepAliveProbes: 1},
		"two probes": {DialTimeout: time.Second, UserTimeout: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := connectedPair(t, o)
			began := time.Now()
			setSilent(t, peer, true)
			_ = conn.SetReadDeadline(began.Add(20 * time.Second))
			_, err := conn.Read(make([]byte, 1))
			took := time.Since(began)
			if err == nil || took < o.SilenceTimeout()-300*time.Millisecond || took > o.SilenceTimeout()+time.Second {
				t.Errorf("ended after %v with %v, want about %v", took, err, o.SilenceTimeout())
			}
		})
	}
}

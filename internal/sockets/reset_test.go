package sockets

import (
	"io"
	"net"
	"testing"
	"time"
)

// detected returns a connection of DetectResets with the options, and its other end.
func detected(t *testing.T, o Options) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	return dialedPair(t, DetectResets(NewDialer(o).DialContext))
}

// writeUntilError writes to a connection until that fails.
func writeUntilError(t *testing.T, conn net.Conn) {
	t.Helper()
	limit := time.Now().Add(20 * time.Second)
	_ = conn.SetWriteDeadline(limit)
	data := make([]byte, 64<<10)
	for {
		if _, err := conn.Write(data); err != nil {
			break
		}
	}
	if !time.Now().Before(limit) {
		t.Fatal("writing went on for 20 s")
	}
}

// TestLossThatAWriteReportsIsNoEnd guards against a lost connection being read as the end of the
// peer's bytes once a write has been told of the loss.
func TestLossThatAWriteReportsIsNoEnd(t *testing.T) {
	for name, lose := range map[string]func(t *testing.T, peer *net.TCPConn){
		"reset": func(_ *testing.T, peer *net.TCPConn) {
			_ = peer.SetLinger(0)
			_ = peer.Close()
		},
		"closed with unread bytes": func(_ *testing.T, peer *net.TCPConn) { _ = peer.Close() },
		"silent":                   func(t *testing.T, peer *net.TCPConn) { setSilent(t, peer, true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := detected(t, Options{DialTimeout: time.Second, UserTimeout: 500 * time.Millisecond})
			_, _ = conn.Write([]byte("request"))
			_, _ = peer.Write([]byte("part"))
			time.Sleep(50 * time.Millisecond)
			lose(t, peer)
			writeUntilError(t, conn)
			if data, err := io.ReadAll(conn); err == nil || string(data) != "part" {
				t.Errorf("read %q, %v; want the part and an error", data, err)
			}
		})
	}
}

// TestEndBeforeLossIsAnEnd checks that what a peer has ended is read to its end, though the
// connection is reset afterwards, and that a write that waits holds up no reader.
func TestEndBeforeLossIsAnEnd(t *testing.T) {
	for name, reset := range map[string]bool{"reset after the end": true, "peer that reads no further": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := detected(t, Upstream)
			writing := make(chan struct{})
			go func() {
				defer close(writing)
				_, _ = conn.Write(make([]byte, 64<<20)) // more than the buffers hold
			}()
			time.Sleep(50 * time.Millisecond)
			_, _ = peer.Write([]byte("whole"))
			_ = peer.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			if reset {
				_ = peer.SetLinger(0)
				_ = peer.Close()
				<-writing
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if data, err := io.ReadAll(conn); err != nil || string(data) != "whole" {
				t.Errorf("read %q, %v; want all bytes and their end", data, err)
			}
		})
	}
}

// TestResetBesideAWriteIsNoEnd guards against the moment between a write's loss of its connection
// and its return: a read that ends meanwhile waits for what the write was told.
func TestResetBesideAWriteIsNoEnd(t *testing.T) {
	for n := range 300 {
		conn, peer := detected(t, Upstream)
		go func() {
			for data := make([]byte, 1+n*100); ; {
				if _, err := conn.Write(data); err != nil {
					return
				}
			}
		}()
		_, _ = peer.Write([]byte("part"))
		time.Sleep(time.Duration(n%10) * 100 * time.Microsecond)
		_ = peer.SetLinger(0)
		_ = peer.Close()
		if data, err := io.ReadAll(conn); err == nil {
			t.Fatalf("connection %d: read %q and its end", n, data)
		}
		conn.Close()
	}
}

package sockets

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestKeepAliveOptions checks that the keep-alive options of a connection are those from which
// SilenceTimeout is computed. TestDeadPeerIsFoundInTime shows the time itself.
func TestKeepAliveOptions(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for probes, want := range map[int]time.Duration{0: 3 * time.Second, 1: 2 * time.Second} {
		o := Options{DialTimeout: time.Second, KeepAliveProbes: probes}
		conn, err := NewDialer(o).Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		option := func(name int) (value int) {
			if controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); controlErr != nil || err != nil {
				t.Fatal(controlErr, err)
			}
			return value
		}
		got := time.Duration(option(unix.TCP_KEEPIDLE)+option(unix.TCP_KEEPCNT)*option(unix.TCP_KEEPINTVL)) * time.Second
		if got != want || o.SilenceTimeout() != want {
			t.Errorf("%d probes: closed after %s, SilenceTimeout %s, want %s", probes, got, o.SilenceTimeout(), want)
		}
	}
}

package relay

import (
	"io"
	"net"
	"testing"
)

// start starts an echo server with a relay in front of it.
func start(t *testing.T) *Relay {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	r, err := New("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = r.Run() }()
	t.Cleanup(func() { r.Close(); echo.Close() })
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echoes sends a byte and reads the echo.
func echoes(conn net.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// TestSilenceOpenAffectsOnlyOpenConnections checks that a silenced connection stays
// open without data until it is closed, and that later connections work.
func TestSilenceOpenAffectsOnlyOpenConnections(t *testing.T) {
	r := start(t)
	old := dial(t, r)
	if err := echoes(old); err != nil {
		t.Fatal(err)
	}
	r.Set(Faults{SilenceOpen: true})
	if err := echoes(dial(t, r)); err != nil {
		t.Errorf("connection opened after SilenceOpen: %v", err)
	}
	answered := make(chan error, 1)
	go func() { answered <- echoes(old) }()
	if err := echoes(dial(t, r)); err != nil {
		t.Errorf("connection opened after SilenceOpen: %v", err)
	}
	select {
	case err := <-answered:
		t.Errorf("silenced connection ended: %v", err)
	default:
	}
	r.Set(Faults{Cut: true})
	if err := <-answered; err == nil {
		t.Error("silenced connection carried data")
	}
}

func TestCutClosesAndRefusesConnections(t *testing.T) {
	r := start(t)
	conn := dial(t, r)
	if err := echoes(conn); err != nil {
		t.Fatal(err)
	}
	r.Set(Faults{Cut: true})
	if echoes(conn) == nil || echoes(dial(t, r)) == nil {
		t.Error("connection works while Cut is set")
	}
	r.Set(Faults{})
	if err := echoes(dial(t, r)); err != nil {
		t.Errorf("after Cut was cleared: %v", err)
	}
}

func TestSilenceAllHoldsDataUntilCleared(t *testing.T) {
	r := start(t)
	r.Set(Faults{SilenceAll: true})
	conn := dial(t, r)
	answered := make(chan error, 1)
	go func() { answered <- echoes(conn) }()
	select {
	case err := <-answered:
		t.Errorf("connection not silenced: %v", err)
	default:
	}
	r.Set(Faults{})
	if err := <-answered; err != nil {
		t.Errorf("after SilenceAll was cleared: %v", err)
	}
}

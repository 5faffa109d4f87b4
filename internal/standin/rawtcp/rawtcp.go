// Package rawtcp is a server for tests that write the bytes of a connection themselves, and a way
// to make a listener fail.
package rawtcp

import (
	"net"
	"testing"
)

// Serve calls handle with each connection, which it closes afterwards, until the end of the
// test. It returns host:port.
func Serve(t testing.TB, handle func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close() //nolint:errcheck // the client may have closed it
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

package rawtcp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// EarlyAnswer is an answer that a server sends before it has read the request's body.
type EarlyAnswer struct {
	// Read is how many bytes of the body are read before the answer.
	Read int64
	// Text is the answer, its head included.
	Text string
	// Pause is the time from the answer to the end of the connection.
	Pause time.Duration
	// Whole ends the connection in order and reads the rest of the body; else it is reset.
	Whole bool
}

// Serve answers each request until the end of the test. It returns host:port.
func (a EarlyAnswer) Serve(t testing.TB) string { return Serve(t, a.answer) }

// answer answers the request of one connection.
func (a EarlyAnswer) answer(conn net.Conn) {
	in := bufio.NewReader(conn)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, in, a.Read)
	_, _ = io.WriteString(conn, a.Text)
	time.Sleep(a.Pause)
	if a.Whole {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, in)
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0) // closing it resets it
}

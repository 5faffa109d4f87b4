// Package endless sends HTTP messages that never end.
package endless

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/rawtcp"
)

// Message is an HTTP message of which one part is repeated without end.
type Message struct {
	// Begin comes first, Repeated after it again and again.
	Begin, Repeated string
}

// Messages returns messages by the part that never ends. start is the first line of each, with
// the header lines that belong to it.
func Messages(start string) map[string]Message {
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]Message{
		"first line":      {"", "x"},
		"header line":     {start + "X: ", "x"},
		"header lines":    {start, "X: y\r\n"},
		"chunk size":      {chunked, "0"},
		"chunk extension": {chunked + "5;", "x"},
		"chunks":          {chunked, "4\r\nxxxx\r\n"},
		"trailer":         {chunked + "0\r\n", "X: y\r\n"},
	}
}

// batchBytes is about how much is sent at once without a pause.
const batchBytes = 4096

// Send sends a message until the connection ends, with a pause after each repetition; without
// one it sends many at once.
func (m Message) Send(conn net.Conn, pause time.Duration) {
	text := m.Repeated
	if pause == 0 {
		text = strings.Repeat(text, batchBytes/len(text))
	}
	_, err := io.WriteString(conn, m.Begin)
	for err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(conn, text)
	}
}

// Serve starts a server that sends the message on each connection, and returns host:port.
func (m Message) Serve(t testing.TB, pause time.Duration) string {
	t.Helper()
	return rawtcp.Serve(t, func(conn net.Conn) { m.Send(conn, pause) })
}

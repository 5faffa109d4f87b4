// Package lateanswer is a stand-in of an HTTP server that sends second copies of its answers.
package lateanswer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/banyanroute/banyanroute/internal/standin/rawtcp"
)

// Start starts a server that answers each request on a connection with the answer to the first
// request there, as a second copy of that answer does that arrives when the connection is in
// use again. If early is set, the copy follows the answer at once. It returns host:port.
func Start(t testing.TB, early bool, answer func(r *http.Request) string) string {
	t.Helper()
	return rawtcp.Serve(t, func(conn net.Conn) { serve(conn, early, answer) })
}

func serve(conn net.Conn, early bool, answer func(r *http.Request) string) {
	in := bufio.NewReader(conn)
	text := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if text == "" {
			body := answer(req)
			text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if early {
			_, _ = conn.Write([]byte(text)) // the caller may have left
		}
		_, _ = conn.Write([]byte(text))
	}
}

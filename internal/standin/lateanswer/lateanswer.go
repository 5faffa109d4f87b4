// Package lateanswer is a stand-in of an HTTP server that sends second copies of its answers.
package lateanswer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Start starts a server that answers each request on a connection with the answer to the first
// request there, as a second copy of that answer does that arrives when the connection is in
// use again. If early is set, the copy follows the answer at once. It returns host:port.
func Start(t testing.TB, early bool, answer func(r *http.Request) string) string {
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
			go serve(conn, early, answer)
		}
	}()
	return listener.Addr().String()
}

func serve(conn net.Conn, early bool, answer func(r *http.Request) string) {
	defer conn.Close() //nolint:errcheck // the caller may have closed it
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

package stand

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// request is one client attempt.
type request struct {
	method, path, key, body string
	// remaining is how long the client waits.
	remaining time.Duration
	// header holds further lines, each with its line end.
	header string
	id     string
}

// answer is what a client has received.
type answer struct {
	status int
	header http.Header
	body   string
	// closing reports whether the server closes the connection after the answer.
	closing bool
	err     error
	took    time.Duration
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms", a.status, a.took.Milliseconds())
}

// head returns the request line and the header.
func (r *request) head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nBanyanroute-Attempt-Id: %s\r\nBanyanroute-Deadline-Remaining: %d\r\n",
		r.method, r.path, host, r.id, r.remaining.Milliseconds())
	if r.key != "" {
		text += "Authorization: Token " + r.key + "\r\n"
	}
	text += r.header
	if r.method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return text + "\r\n"
}

// do sends a request on a connection and reads its answer.
func (c *clientConn) do(r request) answer {
	began := time.Now()
	a := c.exchange(r)
	a.took = time.Since(began)
	return a
}

func (c *clientConn) exchange(r request) answer {
	_ = c.SetDeadline(time.Now().Add(r.remaining + time.Second))
	if _, err := io.WriteString(c, r.head()+r.body); err != nil {
		return answer{err: err}
	}
	return c.receive(r)
}

// receive reads an answer.
func (c *clientConn) receive(r request) answer {
	res, err := http.ReadResponse(c.in, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(body), closing: res.Close, err: err}
}

// send makes a request on a new connection and records it.
func (m *machine) send(r request) (string, answer) {
	if r.id == "" {
		r.id = m.env.nextID()
	}
	m.env.record("client", "%s to %s: %s %s, key %q", r.id, m.name, r.method, r.path, r.key)
	c, err := m.dial()
	if err != nil {
		return r.id, answer{err: errors.Join(errNoConnection, err)}
	}
	defer c.Close()
	a := c.do(r)
	m.env.record("client", "%s: %s", r.id, a)
	return r.id, a
}

var errNoConnection = errors.New("no connection")

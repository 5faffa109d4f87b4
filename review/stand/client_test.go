package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Names of the deployment.
const (
	host    = "shop.example"
	key     = "k3y0fth3f1rstt3nant"
	tenant  = "tenant-one"
	service = "orders-app"
	// plainSlots is the number of places of one of its upstreams.
	plainSlots = 6
)

// request is one attempt of a client.
type request struct {
	id      string
	machine *machine
	method  string
	path    string
	body    string
	sentAt  time.Time
	// result is the answer's status, or why there is none.
	result string
	status int
}

// send sends one attempt over a new connection, as the platform's clients do, and waits for its
// answer.
func (r *run) send(m *machine, id, method, path, key, body string, limit time.Duration) *request {
	q := &request{id: id, machine: m, method: method, path: path, body: body, sentAt: time.Now()}
	r.do(func() { r.sent[id] = q })
	q.status, q.result = exchange(m.front, id, method, path, key, body, limit)
	r.note("client: %s %s %s at %s, sent at %.3f: %s", id, method, path, m.name, q.sentAt.Sub(r.started).Seconds(), q.result)
	return q
}

// exchange writes the bytes of a request and reads the answer.
func exchange(address, id, method, path, key, body string, limit time.Duration) (int, string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "no connection: " + err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nBanyanroute-Attempt-Id: %s\r\n", method, path, host, id)
	fmt.Fprintf(&head, "Banyanroute-Deadline-Remaining: %d\r\n", limit.Milliseconds())
	if key != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", key)
	}
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"+body); err != nil {
		return 0, "not written: " + err.Error()
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, "no answer: " + err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "incomplete answer: " + err.Error()
	}
	from := "the system"
	if res.Header.Get("Banyanroute-Response-Signature") != "" {
		from = "upstream " + res.Header.Get("Banyanroute-Instance-Id")
	}
	return res.StatusCode, fmt.Sprintf("%d from %s: %.60q", res.StatusCode, from, text)
}

// configuration returns a configuration of the operator.
func configuration(version int, routes []any, keys ...string) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": append([]string{}, keys...), "priority": 1}},
	}
}

// route returns a route to the plain service, with the times of the users' site.
func route(name, prefix, kind string, anonymous bool) map[string]any {
	attempts := 1
	if kind == "safe" {
		attempts = 2
	}
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 1200, "target_latency_ms": 150,
		"priority": 2, "service": service, "max_attempts": attempts, "allow_anonymous": anonymous,
		"sticky_sessions": false, "resume_streams": false,
	}
}

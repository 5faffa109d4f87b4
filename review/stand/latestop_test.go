package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases[1] = lateRequestInStop }

const (
	// engineService is a service of model engines.
	engineService = "plate-llm"
	engineSlots   = 16
	// openedBefore is how long before SIGTERM the client opens its connection, sentAfter how
	// long after it the client sends the first request on it.
	openedBefore = 500 * time.Millisecond
	sentAfter    = 3500 * time.Millisecond
	// graceTime is grace_s of the settings.
	graceTime = 8 * time.Second
	// pieces and pieceInterval are those of the stream, which takes six seconds.
	pieces        = 24
	pieceInterval = 250 * time.Millisecond
	// streamLimit is the client's deadline and the route's timeout.
	streamLimit = 10 * time.Second
)

// lateRequestInStop has a client send the first request on an open connection 3.5 s after the
// machine got SIGTERM. The machine accepts the request and cuts its stream when the grace
// period ends.
func lateRequestInStop(r *run) bool {
	behave := func(u *upstream, a arrival, w http.ResponseWriter) bool {
		u.answerStream(w, a, pieces, pieceInterval)
		return true
	}
	r.startUpstreams(3, engineService, engineSlots, behave)
	time.Sleep(heartbeat)
	r.store.put("op", "config", streamConfiguration())
	r.startMachines(2)

	const streams = 4
	results := make(chan *stream, streams)
	m := r.machines[0]
	var opened []net.Conn
	for range streams {
		conn, err := net.DialTimeout("tcp", m.front, time.Second)
		if err != nil {
			r.giveUp("%v", err)
		}
		opened = append(opened, conn)
	}
	r.note("client: %d connections to %s are open", streams, m.name)
	time.Sleep(openedBefore)
	stoppedAt := time.Now()
	if r.trouble {
		r.note("DISRUPTION: SIGTERM to %s; SIGKILL follows after %s", m.name, graceTime)
		_ = m.cmd.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() { _ = m.cmd.Process.Kill() })
	}
	time.Sleep(sentAfter)
	for i, conn := range opened {
		go func() {
			results <- r.readStream(m, conn, fmt.Sprintf("stream%d", i+1), "a short question", streamLimit+time.Second)
		}()
	}
	lost := 0
	for range streams {
		s := <-results
		r.note("client: %s, sent %.3f s after SIGTERM: passed on %t, %d of %d pieces, %s",
			s.id, s.sentAt.Sub(stoppedAt).Seconds(), s.status == http.StatusOK, s.pieces, pieces, s.result)
		if s.status == http.StatusOK && !s.complete {
			lost++
		}
	}
	return r.verdict(lost > 0,
		"LOST: %d of %d streams that the machine took %s after SIGTERM and passed on ended without a complete answer", lost, streams, sentAfter)
}

// stream is what a client got of a stream.
type stream struct {
	id       string
	sentAt   time.Time
	status   int
	pieces   int
	complete bool
	result   string
}

// readStream sends a request on an open connection and reads its stream, for as long as the
// client's patience lasts.
func (r *run) readStream(m *machine, conn net.Conn, id, body string, patience time.Duration) *stream {
	defer conn.Close()
	s := &stream{id: id, sentAt: time.Now()}
	r.do(func() {
		r.sent[id] = &request{id: id, machine: m, method: "POST", path: "/ask/1", body: body, sentAt: s.sentAt}
	})
	_ = conn.SetDeadline(s.sentAt.Add(patience))
	_, err := fmt.Fprintf(conn, "POST /ask/1 HTTP/1.1\r\nHost: %s\r\nBanyanroute-Attempt-Id: %s\r\nBanyanroute-Deadline-Remaining: %d\r\n"+
		"Banyanroute-Model: m\r\nBanyanroute-Token-Counts: 1000,1100\r\nBanyanroute-Prompt-Prefix: 5c1e07a2:40,%x:960\r\n"+
		"Authorization: Token %s\r\nContent-Length: %d\r\n\r\n%s", host, id, streamLimit.Milliseconds(), s.sentAt.UnixNano(), key, len(body), body)
	if err != nil {
		s.result = "not written: " + err.Error()
		return s
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		s.result = "no answer: " + err.Error()
		return s
	}
	defer res.Body.Close()
	s.status = res.StatusCode
	text, err := io.ReadAll(res.Body)
	s.pieces = strings.Count(string(text), "data: piece")
	s.complete = err == nil
	s.result = fmt.Sprintf("status %d, complete answer: %t (%v), %.1f s after it was sent", s.status, s.complete, err, time.Since(s.sentAt).Seconds())
	return s
}

// streamConfiguration returns a configuration with a route to model engines.
func streamConfiguration() map[string]any {
	c := configuration(1, []any{map[string]any{
		"name": "ask", "host": host, "prefix": "/ask/", "kind": "streaming", "timeout_ms": streamLimit.Milliseconds(),
		"target_latency_ms": 300, "priority": 1, "service": engineService, "max_attempts": 2, "allow_anonymous": false,
		"sticky_sessions": true, "resume_streams": true, "gap_target_ms": 250,
	}}, key)
	c["services"] = []any{map[string]any{
		"name": engineService, "health_path": "/health", "connection_limit": 364, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kv_capacity_tokens": 232000, "kv_token_bytes": 327680, "link_mbps": 400000.0, "stride": 43,
			"models": []any{map[string]any{"name": "m"}}, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
			"read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 0.0,
			"loads_at_once": 8, "usual": map[string]any{"prompt": 12316, "answer": 1303}, "hop_ms": 0.075,
		},
	}}
	return c
}

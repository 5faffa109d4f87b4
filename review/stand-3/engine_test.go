package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has reached an engine.
type arrival struct {
	at      time.Time
	engine  string
	service string
	attempt string
	path    string
	tenant  string
	key     string
	last    string
	body    string
	ran     bool
}

// engine is a stand-in of an upstream. Each start is a new incarnation.
type engine struct {
	w       *world
	service string
	zone    string
	address string
	slots   int
	llm     bool

	mu       sync.Mutex
	id       string
	born     int64
	state    string
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	// handle, if set, serves a request in place of the engine; it returns false to leave it to the engine.
	handle func(e *engine, a *arrival, w http.ResponseWriter, r *http.Request, body []byte) bool
}

const heartbeat = 1200 * time.Millisecond

// addEngine starts an engine and lists it.
func (w *world) addEngine(service, zone string, slots int, llm bool) *engine {
	e := &engine{w: w, service: service, zone: zone, slots: slots, llm: llm, address: "127.0.0.1:0"}
	e.start("")
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	return e
}

// start starts a new incarnation with an id; empty draws one.
func (e *engine) start(id string) {
	if id == "" {
		id = "i-" + random(8)
	}
	var l net.Listener
	for range 100 {
		var err error
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if l == nil {
		panic("engine cannot listen at " + e.address)
	}
	e.mu.Lock()
	e.address, e.listener = l.Addr().String(), l
	e.id, e.born, e.state, e.sequence = id, time.Now().UnixMilli(), "ready", 0
	e.conns, e.running = map[net.Conn]bool{}, 0
	conns := e.conns
	e.mu.Unlock()
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch s {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(conns, c)
		}
	}}
	go server.Serve(l) //nolint:errcheck // it ends with the listener
	e.write()
	e.w.log("engine %s of %s starts at %s", id, e.service, e.address)
}

// write writes the engine's entry.
func (e *engine) write() {
	e.mu.Lock()
	id := e.id
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": e.state, "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	e.w.store.put("servers", id, entry)
}

// drain reports that the engine leaves.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.write()
}

// stop closes the engine's connections with resets. Its entry stays.
func (e *engine) stop() (id string) {
	e.mu.Lock()
	l, conns := e.listener, e.conns
	id = e.id
	e.conns = map[net.Conn]bool{}
	e.mu.Unlock()
	l.Close()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	return id
}

// crash ends the engine; it is back after down with a new id. The entry of the old incarnation is removed
// after three heartbeat intervals.
func (e *engine) crash(down time.Duration) {
	id := e.stop()
	e.w.log("engine %s crashes", id)
	time.AfterFunc(3*heartbeat, func() { e.w.store.remove("servers", id) })
	if down > 0 {
		time.AfterFunc(down, func() { e.start("") })
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, born, state := e.id, e.born, e.state
	e.mu.Unlock()
	w.Header().Set("Banyanroute-Instance-Id", id)
	if state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	switch r.URL.Path {
	case "/health":
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/v1/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0, "running": 0,
			"kv_used": 0, "kv_total": 232000, "handles": 0, "born": born, "tickets": []any{},
		})
		return
	case "/v1/order":
		_ = json.NewEncoder(w).Encode(map[string]any{"free": 200000, "born": born})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &arrival{
		at: time.Now(), engine: id, service: e.service, attempt: r.Header.Get("Banyanroute-Attempt-Id"), path: r.RequestURI,
		tenant: r.Header.Get("Banyanroute-Tenant"), key: r.Header.Get("Authorization"), last: r.Header.Get("Last-Event-Id"), body: string(body),
	}
	w.Header().Set("Banyanroute-Attempt-Id", a.attempt)
	expected := r.Header.Get("Banyanroute-Expected-Instance")
	switch {
	case expected != "" && expected != id:
		e.w.arrived(a, "421")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case a.attempt == "":
		w.Header().Set("Banyanroute-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.handle != nil && e.handle(e, a, w, r, body) {
		return
	}
	a.ran = true
	e.w.arrived(a, "run")
	w.Header().Set("Banyanroute-Response-Signature", "sig."+a.attempt)
	if e.llm {
		e.stream(w, r, a, 8, 30*time.Millisecond)
		return
	}
	select {
	case <-time.After(30 * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	text := "done " + a.attempt + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// stream writes the events of an answer after the one that the request names.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, a *arrival, n int, pause time.Duration) {
	from, _ := strconv.Atoi(a.last)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := from + 1; i <= n; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

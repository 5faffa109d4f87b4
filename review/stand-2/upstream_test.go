package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request by an upstream.
type run struct {
	upstream, id, tenant, method, target, body string
	at                                         time.Time
}

// upstream plays one server of a service. It runs what it is sent, unless another instance is expected.
type upstream struct {
	id, service, address string
	slots                int
	env                  *env
	listener             net.Listener
	// leaving reports whether the server has said that it drains.
	leaving atomic.Bool
	// serve, if set, answers a request that runs; it may hijack.
	serve func(u *upstream, w http.ResponseWriter, r *http.Request, body []byte)
	// reject, if set, is asked before a request runs; it answers and returns true if it doesn't.
	reject func(w http.ResponseWriter, r *http.Request) bool
}

// startUpstream starts a server and registers it in the store.
func (e *env) startUpstream(id, service string, slots int) (*upstream, error) {
	u, err := e.listenUpstream(id, service, slots)
	if err == nil {
		u.register("ready")
	}
	return u, err
}

// listenUpstream starts a server without an entry.
func (e *env) listenUpstream(id, service string, slots int) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, slots: slots, env: e, listener: l, address: l.Addr().String()}
	go http.Serve(l, u) //nolint:errcheck // ends with the listener
	return u, nil
}

// register writes the entry of the server.
func (u *upstream) register(state string) {
	u.leaving.Store(state == "draining")
	u.env.store.put("servers", u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": "zone-a", "version": "v1", "slots": u.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": u.env.start.UnixMilli(),
	})
}

// signature marks an answer as the upstream's own.
const signature = "Banyanroute-Response-Signature"

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	switch r.URL.Path {
	case "/health":
		h.Set("Banyanroute-Instance-Id", u.id)
		return
	case "/v1/report":
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "busy": false, "sequence": 1, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 232000, "handles": 0, "born": u.env.start.UnixMilli()})
		return
	}
	id := r.Header.Get("Banyanroute-Attempt-Id")
	h.Set("Banyanroute-Attempt-Id", id)
	if expected := r.Header.Get("Banyanroute-Expected-Instance"); expected != "" && expected != u.id {
		h.Set("Banyanroute-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.reject != nil && u.reject(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !u.env.quiet || u.leaving.Load() {
		u.env.record("run", "%s at %s: %s %s, tenant %q", id, u.id, r.Method, r.RequestURI, r.Header.Get("Banyanroute-Tenant"))
	}
	u.env.runs.add(run{u.id, id, r.Header.Get("Banyanroute-Tenant"), r.Method, r.RequestURI, string(body), time.Now()})
	if u.serve != nil {
		u.serve(u, w, r, body)
		return
	}
	h.Set(signature, "s-"+id)
	fmt.Fprintf(w, "answer of %s to %s\n", u.id, id)
}

// runs collects what upstreams have run.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

// of returns the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []run
	for _, one := range r.list {
		if one.id == id {
			found = append(found, one)
		}
	}
	return found
}

package stand

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const poisonBody = "poison"

// darkPool holds the servers of a service that a certain request crashes.
type darkPool struct {
	env *env
	mu  sync.Mutex
	// arrivals holds when the request began to run at a server.
	arrivals []time.Time
	started  int
}

// downTime is how long a crashed server is dark until it runs again.
const downTime = 5 * time.Second

// heartbeatsUntilGone is how long the store keeps the entry of a silent server: three intervals of 1,200 ms.
const heartbeatsUntilGone = 3600 * time.Millisecond

// darkUpstream is a server that a request can crash.
type darkUpstream struct {
	*upstream
	dark atomic.Bool
}

// start starts a server under a new id.
func (p *darkPool) start(l net.Listener) {
	p.mu.Lock()
	p.started++
	id := fmt.Sprintf("i-%02d", p.started)
	p.mu.Unlock()
	u := &upstream{id: id, service: callService, slots: 6, env: p.env, address: l.Addr().String()}
	d := &darkUpstream{upstream: u}
	u.serve = func(_ *upstream, w http.ResponseWriter, r *http.Request, body []byte) {
		if string(body) != poisonBody {
			time.Sleep(30 * time.Millisecond)
			w.Header().Set(signature, "s-"+r.Header.Get("Banyanroute-Attempt-Id"))
			fmt.Fprintln(w, "done")
			return
		}
		p.mu.Lock()
		p.arrivals = append(p.arrivals, time.Now())
		n := len(p.arrivals)
		p.mu.Unlock()
		p.env.record("upstream", "%s begins to run the request that crashes it (%d) and is dark", id, n)
		d.crash(p)
		<-r.Context().Done()
	}
	server := &http.Server{Handler: d}
	go server.Serve(l) //nolint:errcheck // ends with the process
	born := time.Now().UnixMilli()
	p.env.store.put("servers", id, map[string]any{
		"service": callService, "address": u.address, "zone": "zone-a", "version": "v1", "slots": 6,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": born,
	})
}

// ServeHTTP implements http.Handler: a dark server answers nothing.
func (d *darkUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.dark.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	d.upstream.ServeHTTP(w, r)
}

// crash makes the server silent. Its entry lapses, and another start follows at another address.
func (d *darkUpstream) crash(p *darkPool) {
	if d.dark.Swap(true) {
		return
	}
	time.AfterFunc(heartbeatsUntilGone, func() { p.env.store.drop("servers", d.id) })
	time.AfterFunc(downTime, func() {
		if l, err := net.Listen("tcp", "127.0.0.1:0"); err == nil {
			p.start(l)
		}
	})
}

// The disruption: one client of four leaves after half of its latency objective, for 5.5 s.
const (
	patience      = 75 * time.Millisecond
	leavingLength = 5500 * time.Millisecond
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
	// allowedRetries is how many retries the rule allows after that.
	allowedRetries = 3
)

// repeats are the moments at which the client sends the request that crashes servers.
func repeats() []time.Duration {
	list := []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond}
	for at := 4100 * time.Millisecond; at < leavingLength-patience; at += 100 * time.Millisecond {
		list = append(list, at)
	}
	return list
}

// darkLeave: a request crashes each server that begins to run it, without a sign, and the client that
// sends it again and again leaves early.
func darkLeave(e *env) error {
	e.store.put("op", "config", basicConfiguration())
	p := &darkPool{env: e}
	for range 16 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p.start(l)
	}
	if err := e.startMachines(4); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range e.machines[:3] {
		clients.Go(func() { ordinaryClient(m, i, stop) })
	}
	time.Sleep(stableWindow + time.Second)
	began := time.Now()
	for n, at := range repeats() {
		time.Sleep(time.Until(began.Add(at)))
		m := e.machines[n%len(e.machines)]
		clients.Go(func() { crashingClient(m) })
	}
	time.Sleep(time.Until(began.Add(leavingLength + time.Second)))
	close(stop)
	clients.Wait()
	return p.judge()
}

// ordinaryClient sends orders, each another one, until stop is closed.
func ordinaryClient(m *machine, number int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		m.send(request{
			method: http.MethodPost, path: callPrefix + "2f", key: m.env.key, remaining: 2500 * time.Millisecond,
			body: fmt.Sprintf("order %d of client %d", n, number),
		})
	}
}

// crashingClient sends the request that crashes servers once.
func crashingClient(m *machine) {
	e := m.env
	r := request{method: http.MethodPost, path: callPrefix + "3a", key: e.key, body: poisonBody, remaining: 2500 * time.Millisecond, id: e.nextID()}
	conn, err := m.dial()
	if err != nil {
		return
	}
	defer conn.Close()
	e.record("client", "%s to %s: the request that crashes servers", r.id, m.name)
	if !e.trouble {
		e.record("client", "%s: %s", r.id, conn.do(r))
		return
	}
	began := time.Now()
	_ = conn.SetDeadline(began.Add(patience))
	if _, err := conn.Write([]byte(r.head() + r.body)); err != nil {
		return
	}
	a := conn.receive(r)
	a.took = time.Since(began)
	e.record("client", "%s: %s; the client leaves", r.id, a)
}

// judge counts the retries that the rule forbids.
func (p *darkPool) judge() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.arrivals) < 3 {
		return fmt.Errorf("the request reached %d servers only", len(p.arrivals))
	}
	late := 0
	for _, at := range p.arrivals[3:] {
		if at.Sub(p.arrivals[2]) > stableWindow {
			late++
		}
	}
	p.env.record("count", "the request crashed %d servers; %d of the arrivals were later than stable_window_ms after the third crash", len(p.arrivals), late)
	if late > allowedRetries {
		p.env.broken("BUDGET: a request that crashes servers reached them %d times later than stable_window_ms after it had crashed the third; 3 are allowed", late)
	}
	return nil
}

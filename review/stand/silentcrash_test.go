package stand

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases[2] = crashWithoutSign }

const (
	// fatalBody is the body of the request that crashes each upstream that begins to run it.
	fatalBody = "order that crashes"
	// darkTime is how long an upstream is away after a crash.
	darkTime = 4 * time.Second
	// stableWindow is stable_window_ms of the settings.
	stableWindow = 3 * time.Second
	// repeatInterval is how often the request comes again.
	repeatInterval = 2500 * time.Millisecond
	repeats        = 24
	// maxLateRetries is the bound of the rule.
	maxLateRetries = 3
	// crashUpstreams is the number of upstreams.
	crashUpstreams = 3
	// shortStream and shortInterval are the pieces of a sound stream and the time between them.
	shortStream   = 8
	shortInterval = 50 * time.Millisecond
)

// crashWithoutSign has a request crash each upstream that begins to run it. The upstream's
// machine is silent until it is back. The request may not be repeated; with MODE=stream it is a
// stream to model engines. With MODE=reset the connections of a crashed upstream are reset.
func crashWithoutSign(r *run) bool {
	var mu sync.Mutex
	var crashes []time.Time
	behave := func(u *upstream, a arrival, w http.ResponseWriter) bool {
		if !r.trouble || !a.hasBody(fatalBody) {
			if u.service == engineService {
				u.answerStream(w, a, shortStream, shortInterval)
				return true
			}
			return false
		}
		u.arrived(a)
		u.mu.Lock()
		inc := u.current
		u.mu.Unlock()
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		if r.mode == "reset" {
			u.crash(inc, darkTime)
		} else {
			u.goDark(inc, darkTime)
		}
		<-inc.ended
		return true
	}
	streams := r.mode == "stream"
	routes := []any{route("orders", "/orders/", "unsafe", false), route("lookups", "/lookups/", "safe", false)}
	name, slots, config := service, plainSlots, configuration(1, routes, key)
	if streams {
		name, slots, config = engineService, engineSlots, streamConfiguration()
	}
	upstreams := r.startUpstreams(crashUpstreams, name, slots, behave)
	time.Sleep(heartbeat)
	r.store.put("op", "config", config)
	r.startMachines(4)

	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { ordinaryTraffic(r, streams, stop) })
	for i := range repeats {
		m, id := r.machines[i%len(r.machines)], fmt.Sprintf("fatal%d", i+1)
		traffic.Go(func() {
			if streams {
				r.askStream(m, id, fatalBody)
			} else {
				r.send(m, id, "POST", "/orders/7", key, fatalBody, 2500*time.Millisecond)
			}
		})
		time.Sleep(repeatInterval)
	}
	close(stop)
	traffic.Wait()

	late := 0
	if len(crashes) >= 3 {
		bound := crashes[2].Add(stableWindow)
		for _, u := range upstreams {
			for _, a := range u.all() {
				if a.ran && a.hasBody(fatalBody) && r.sent[a.id].sentAt.After(bound) {
					late++
				}
			}
		}
	}
	return r.verdict(late > maxLateRetries,
		"BUDGET: the request was sent %d times, crashed %d upstreams, and reached upstreams in %d retries that were sent later than %s after the third crash; allowed are %d",
		repeats, len(crashes), late, stableWindow, maxLateRetries)
}

// askStream sends a request for a stream over a new connection. As the platform's clients do,
// it leaves after two seconds without an event.
func (r *run) askStream(m *machine, id, body string) {
	conn, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		r.note("client: %s at %s: %v", id, m.name, err)
		return
	}
	s := r.readStream(m, conn, id, body, 2*time.Second)
	r.note("client: %s at %s, sent at %.3f: %d pieces, %s", id, m.name, s.sentAt.Sub(r.started).Seconds(), s.pieces, s.result)
}

// ordinaryTraffic sends sound requests to all machines until stop is closed.
func ordinaryTraffic(r *run, streams bool, stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		m := r.machines[i%len(r.machines)]
		wait.Go(func() {
			switch {
			case streams:
				r.askStream(m, fmt.Sprintf("sound%d", i), fmt.Sprintf("sound question %d", i))
			case i%3 == 0:
				r.send(m, fmt.Sprintf("order%d", i), "POST", "/orders/8", key, fmt.Sprintf("sound order %d", i), 2500*time.Millisecond)
			default:
				r.send(m, fmt.Sprintf("lookup%d", i), "GET", "/lookups/8", key, "", 2500*time.Millisecond)
			}
		})
	}
}

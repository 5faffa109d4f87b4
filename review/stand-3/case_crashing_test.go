package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crashing"] = crashing }

// crashing sends several requests that each crash the engine that begins to run them. Each comes again, with
// the same path, caller and body, at the same machine.
func crashing(w *world) int {
	const (
		requests = 10
		period   = 12 * time.Second
		sends    = 8
		down     = 2 * time.Second
	)
	w.configure(3, routes())
	for i := range 14 {
		e := w.addEngine(plainService, []string{"palermo", "catania", "trapani"}[i%3], 6, false)
		e.handle = func(e *engine, a *arrival, _ http.ResponseWriter, _ *http.Request, body []byte) bool {
			if !w.trouble || !strings.HasPrefix(string(body), "crash") {
				return false
			}
			a.ran = true
			w.arrived(a, "begins to run and crashes the engine")
			e.crash(down)
			return true
		}
	}
	for _, zone := range []string{"palermo", "catania", "trapani"} {
		w.addNode(zone)
	}
	if !w.startAll() {
		return couldNot
	}
	began, stop := time.Now(), make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { // ordinary bookings at all machines
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				work.Go(func() {
					w.nodes[i%len(w.nodes)].send(request{method: "POST", path: pathBook + "2f", body: "book " + random(8), key: key, deadline: 2500 * time.Millisecond})
				})
			}
		}
	})
	for i := range requests {
		work.Go(func() {
			body := "crash " + random(8)
			for round := range sends {
				time.Sleep(time.Until(began.Add(time.Duration(round)*period + time.Duration(i)*period/requests)))
				w.nodes[0].send(request{method: "POST", path: pathBook + "2f", body: body, key: key, deadline: 2500 * time.Millisecond})
			}
		})
	}
	time.Sleep(time.Until(began.Add(sends*period + time.Second)))
	close(stop)
	work.Wait()
	return w.judgeCrashes()
}

// judgeCrashes reports whether a request that has crashed three engines reached engines in more than three
// retries that were sent later than the stable window after the third crash.
func (w *world) judgeCrashes() int {
	const stable = 3 * time.Second
	byBody := map[string][]*arrival{}
	for _, a := range w.arrivalsOf(func(a *arrival) bool { return strings.HasPrefix(a.body, "crash") && a.ran }) {
		byBody[a.body] = append(byBody[a.body], a)
	}
	result := held
	for body, list := range byBody {
		late := 0
		for i, a := range list {
			if i >= 3 && a.at.Sub(list[2].at) > stable {
				late++
			}
		}
		w.log("request %q reached %d engines; %d of the retries later than %s after the third crash", body, len(list), late, stable)
		if w.trouble && late > 3 {
			result = broken
		}
	}
	return result
}

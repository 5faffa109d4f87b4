package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases[5] = pauseForgotten }

const (
	// pauseSeconds is the Retry-After of the upstream.
	pauseSeconds = 30
	// rejectTime is for how long the upstream turns requests away, cutTime for how long it is
	// then cut off from the store.
	rejectTime = time.Second
	cutTime    = 5 * time.Second
	// pauseSlack is the time after the answer in which requests may still arrive.
	pauseSlack = 500 * time.Millisecond
	// maxInPause is the bound of the rule.
	maxInPause = 2
)

// pauseForgotten has an upstream turn requests away with 503 and Retry-After. While the pause
// lasts it is cut off from the store, and not from the machines, for five seconds, so that its
// entry is removed and comes back.
func pauseForgotten(r *run) bool {
	var mu sync.Mutex
	var rejecting bool
	// busy is the upstream that turns requests away: the first that gets one.
	var busy *upstream
	// rejectedAt holds when the upstream has first turned a request of each machine away.
	rejectedAt := map[string]time.Time{}
	behave := func(u *upstream, a arrival, w http.ResponseWriter) bool {
		mu.Lock()
		defer mu.Unlock()
		if busy == nil && rejecting {
			busy = u
		}
		if busy != u || !rejecting {
			return false
		}
		a.ran = false
		u.arrived(a)
		name := r.machineOf(a)
		if rejectedAt[name].IsZero() {
			rejectedAt[name] = time.Now()
			r.note("upstream %s answers %s 503 with Retry-After: %d", a.upstream, name, pauseSeconds)
		}
		w.Header().Set("Banyanroute-Not-Executed", "1")
		w.Header().Set("Retry-After", fmt.Sprint(pauseSeconds))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	r.startUpstreams(5, service, plainSlots, behave)
	time.Sleep(heartbeat / 2)
	routes := []any{route("orders", "/orders/", "unsafe", false), route("lookups", "/lookups/", "safe", false)}
	r.store.put("op", "config", configuration(1, routes, key))
	r.startMachines(3)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { ordinaryTraffic(r, false, stop) })
	time.Sleep(2 * time.Second)
	setRejecting := func(on bool) {
		mu.Lock()
		rejecting = on
		mu.Unlock()
	}
	setRejecting(true)
	time.Sleep(rejectTime)
	setRejecting(false)
	if busy == nil {
		r.giveUp("no upstream got a request")
	}
	if r.trouble {
		busy.setCutOff(true)
	}
	time.Sleep(cutTime)
	if r.trouble {
		busy.setCutOff(false)
	}
	time.Sleep((pauseSeconds - 2) * time.Second)
	close(stop)
	traffic.Wait()

	reached := map[string]int{}
	for _, a := range busy.all() {
		name := r.machineOf(a)
		at := rejectedAt[name]
		if !at.IsZero() && a.at.After(at.Add(pauseSlack)) && a.at.Before(at.Add(pauseSeconds*time.Second)) {
			reached[name]++
		}
	}
	broken := false
	for _, n := range reached {
		broken = broken || n > maxInPause
	}
	return r.verdict(broken,
		"BUDGET: between half a second after its 503 with Retry-After and the end of that time, these requests reached the upstream, by machine: %v; allowed are %d for each (machines that got that answer: %d)",
		reached, maxInPause, len(rejectedAt))
}

// machineOf returns the name of the machine to which a request was sent.
func (r *run) machineOf(a arrival) (name string) {
	r.do(func() {
		if q := r.sent[a.id]; q != nil {
			name = q.machine.name
		}
	})
	return name
}

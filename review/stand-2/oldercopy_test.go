package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The deployment, and the moments of a round.
const (
	copyMachines  = 20
	copyUpstreams = 12
	// copyRounds is how often the store comes back from an older copy, unless the rule is broken before.
	copyRounds = 5
	copyTaken  = time.Second
	leavesAt   = 1500 * time.Millisecond
	goneAt     = 4 * time.Second
	awayAt     = 6 * time.Second
	awayFor    = 2500 * time.Millisecond
	roundEnds  = awayAt + awayFor + 4200*time.Millisecond
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
)

// returnFromOlderCopy: a server drains and its entry is removed. Then the store is away for a moment and
// comes back from a copy in which the server is ready. The server still serves.
func returnFromOlderCopy(e *env) error {
	e.quiet = true
	c := basicConfiguration()
	e.store.put("op", "config", c)
	var servers []*upstream
	for i := range copyUpstreams {
		u, err := e.startUpstream(fmt.Sprintf("i-%02d", i), callService, 6)
		if err != nil {
			return err
		}
		servers = append(servers, u)
	}
	if err := e.startMachines(copyMachines); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range e.machines {
		clients.Go(func() { steadyClient(m, stop) })
	}
	time.Sleep(stableWindow)
	for round := 0; round < copyRounds && e.violation == ""; round++ {
		e.copyRound(c, servers[round], servers[round+1:])
	}
	close(stop)
	clients.Wait()
	return nil
}

// copyRound lets one server leave and the store return from a copy that doesn't know it.
func (e *env) copyRound(c configuration, leaving *upstream, others []*upstream) {
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	at(copyTaken)
	older := e.store.copy()
	at(leavesAt)
	leaving.register("draining")
	acknowledged := time.Now()
	e.record("store", "%s reports that it drains", leaving.id)
	at(goneAt)
	e.store.drop("servers", leaving.id)
	e.record("store", "the entry of %s is removed", leaving.id)
	at(awayAt)
	back := began.Add(awayAt + awayFor)
	if e.trouble {
		e.record("store", "away")
		e.store.returnFrom(older, awayFor)
		back = time.Now()
		e.record("store", "back from a copy of %.1f s before it was away", (awayAt - copyTaken).Seconds())
		// What the operator and the engines wrote is written again. The one that has left writes nothing, and
		// its entry lapses after three heartbeat intervals.
		time.AfterFunc(500*time.Millisecond, func() { e.store.put("op", "config", c) })
		for i, u := range others {
			time.AfterFunc(time.Duration(300+100*i)*time.Millisecond, func() { u.register("ready") })
		}
		time.AfterFunc(heartbeatsUntilGone, func() {
			e.store.drop("servers", leaving.id)
			e.record("store", "the entry of %s lapses", leaving.id)
		})
	}
	at(roundEnds)
	unstable, stable := 0, 0
	e.runs.mu.Lock()
	defer e.runs.mu.Unlock()
	for _, one := range e.runs.list {
		switch {
		case one.upstream != leaving.id || one.at.Sub(acknowledged) <= drainTime:
		case one.at.Sub(back) > stableWindow:
			stable++
			e.broken("DRAIN: %s got %s %.1f s after it had reported that it drains, and %.2f s after the store's return",
				leaving.id, one.id, one.at.Sub(acknowledged).Seconds(), one.at.Sub(back).Seconds())
		default:
			unstable++
		}
	}
	e.record("count", "%d orders have run in all", len(e.runs.list))
	e.record("count", "%s got %d requests later than drain_ms while the store was not stable, and %d when it was", leaving.id, unstable, stable)
}

// steadyClient sends orders until stop is closed. Ordinary ones are not recorded.
func steadyClient(m *machine, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		conn, err := m.dial()
		if err != nil {
			m.env.record("client", "no connection to %s: %v", m.name, err)
			continue
		}
		r := request{
			method: http.MethodPost, path: callPrefix + "2f", key: m.env.key, remaining: 2500 * time.Millisecond, id: m.env.nextID(),
			body: fmt.Sprintf("order %d of the client of %s", n, m.name),
		}
		if a := conn.do(r); a.status != http.StatusOK {
			m.env.record("client", "%s to %s: %s", r.id, m.name, a)
		}
		conn.Close()
	}
}

package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"
)

// The deployment and the disruptions.
const (
	silentMachines = 13
	// killedMachines are those that read the store most often: a share of 0.154.
	killedMachines = 2
	darkTime       = 3500 * time.Millisecond
)

// droppedPrefix is the prefix of the route that the new version drops.
const droppedPrefix = "/cufi504/"

// silentAndKilled: the open connections to the store go silent, and 4 s later the two machines that read it
// most often lose power for 3.5 s. In that time a version takes a key away and drops a route.
func silentAndKilled(e *env) error {
	silent, killed := e.trouble, e.trouble
	switch os.Getenv("ONLY") {
	case "silent":
		killed = false
	case "killed":
		silent = false
	}
	c := basicConfiguration()
	c.Routes = append(c.Routes, callRoute(droppedPrefix, "safe"))
	c.Tenants[0].APIKeys = append(c.Tenants[0].APIKeys, "anfqasnmgkcuyj8pjbvk")
	kept, revoked := c.Tenants[0].APIKeys[0], c.Tenants[0].APIKeys[1]
	e.store.put("op", "config", c)
	for i := range 3 {
		if _, err := e.startUpstream(fmt.Sprintf("i-%d", i), callService, 6); err != nil {
			return err
		}
	}
	if err := e.startMachines(silentMachines); err != nil {
		return err
	}
	time.Sleep(14 * time.Second) // the links are open, and each machine has found its way to follow the store
	c.Version++
	e.store.put("op", "config", c) // changes nothing; all machines read it and call the store anew
	time.Sleep(800 * time.Millisecond)
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if silent {
		e.store.silence()
		e.record("network", "the open connections to the store go silent; new ones work")
	}
	at(4 * time.Second) // stable_window_ms is 3 s
	readers := e.readers()
	if len(readers) != killedMachines {
		return fmt.Errorf("%d machines read the store most often, not %d", len(readers), killedMachines)
	}
	if killed {
		for _, m := range readers {
			m.signal(syscall.SIGKILL)
		}
	}
	at(4300 * time.Millisecond)
	c.Version += 2
	c.Routes = c.Routes[:1]
	c.Tenants = []tenant{{Name: c.Tenants[0].Name, APIKeys: []string{kept}, Priority: 1}}
	e.store.put("op", "config", c)
	e.record("operator", "version %d acknowledged: without the key %q and without the route %s", c.Version, revoked, droppedPrefix)
	at(6500 * time.Millisecond) // config_apply_ms is 2 s
	stale := 0
	for _, m := range e.machines {
		if slices.Contains(readers, m) {
			continue
		}
		order := request{method: http.MethodPost, path: callPrefix + "2f", key: revoked, body: "order", remaining: 2500 * time.Millisecond}
		if id, a := m.send(order); len(e.runs.of(id)) > 0 {
			stale++
			e.broken("CONFIG: %s ran %s with a key that was taken away 2.2 s before, and answered %s", m.name, id, a)
		}
		lookup := request{method: http.MethodGet, path: droppedPrefix + "2f", key: kept, remaining: 2500 * time.Millisecond}
		if id, a := m.send(lookup); len(e.runs.of(id)) > 0 {
			stale++
			e.broken("CONFIG: %s ran %s on a route that was dropped 2.2 s before, and answered %s", m.name, id, a)
		}
	}
	e.record("count", "%d of %d requests were handled as only the older version allows", stale, 2*(silentMachines-killedMachines))
	at(4*time.Second + darkTime)
	for _, m := range readers {
		if killed {
			if err := m.startProcess(); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Second)
	return nil
}

// readers returns the machines whose calls for changes wait the shortest time.
func (e *env) readers() []*machine {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	shortest := 30_000
	for _, wait := range e.store.waits {
		shortest = min(shortest, wait)
	}
	var list []*machine
	for _, m := range e.machines {
		if e.store.waits[m.name] == shortest {
			list = append(list, m)
		}
	}
	return list
}

package stand

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"
)

// The deployment, and the planned stops.
const (
	silentMachines = 13
	// stoppedMachines are those that call the store most often: a share of 0.154.
	stoppedMachines = 2
	stopGap         = 1300 * time.Millisecond
	restartDelay    = time.Second
)

// droppedPrefix is the prefix of the route that the new version drops.
const droppedPrefix = "/cufi504/"

// silentAndStopped: the open connections to the store go silent, and later two machines are stopped and
// started in turn, those that call the store most often. Then a version takes a key away and drops a route.
func silentAndStopped(e *env) error {
	silent, stopped := e.trouble, e.trouble
	switch os.Getenv("ONLY") {
	case "silent":
		stopped = false
	case "stopped":
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
	time.Sleep(14 * time.Second) // the links are open, and each machine follows the store in its way
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
	if len(readers) != stoppedMachines {
		return fmt.Errorf("%d machines call the store most often, not %d", len(readers), stoppedMachines)
	}
	for i, m := range readers {
		at(4*time.Second + time.Duration(i)*stopGap)
		if stopped {
			m.restart()
		}
	}
	at(5600 * time.Millisecond)
	c.Version += 2
	c.Routes = c.Routes[:1]
	c.Tenants = []tenant{{Name: c.Tenants[0].Name, APIKeys: []string{kept}, Priority: 1}}
	e.store.put("op", "config", c)
	e.record("operator", "version %d acknowledged: without the key %q and without the route %s", c.Version, revoked, droppedPrefix)
	at(7800 * time.Millisecond) // config_apply_ms is 2 s
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
	e.record("count", "%d of %d requests were handled as only the older version allows", stale, 2*(silentMachines-stoppedMachines))
	return nil
}

// restart stops the process as planned and starts it again once it has ended. SIGKILL follows after grace_s.
func (m *machine) restart() {
	m.signal(syscall.SIGTERM)
	exited, process := m.exited, m.cmd.Process
	kill := time.AfterFunc(8*time.Second, func() { _ = process.Kill() })
	m.env.restarts.Go(func() {
		<-exited
		kill.Stop()
		time.Sleep(restartDelay)
		if err := m.startProcess(); err != nil {
			m.env.record("error", "%s: %v", m.name, err)
		}
	})
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

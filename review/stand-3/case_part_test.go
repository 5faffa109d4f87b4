package main

import (
	"fmt"
	"time"
)

func init() { cases["part"] = part }

// part takes four engines away at once: their entries are removed, and they serve on for a time. Another writer
// notes each removal in the same table, in rows of a part of its own.
func part(w *world) int {
	const (
		drain    = 2 * time.Second
		services = 4
	)
	var list []any
	var names []any
	for i := range services {
		name := fmt.Sprintf("app-%d", i+1)
		list = append(list, route(name, fmt.Sprintf("/app%d/", i+1), "safe", name, 2500, 150, nil))
		names = append(names, map[string]any{"name": name, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false})
	}
	w.configureServices(3, list, names)
	zones := []string{"palermo", "catania", "trapani"}
	leaving := map[string]*engine{}
	for i := range services {
		for j := range 4 {
			e := w.addEngine(fmt.Sprintf("app-%d", i+1), zones[(i+j)%3], 6, false)
			if j == 0 {
				leaving[e.id] = e
			}
		}
	}
	for i := range 6 {
		w.addNode(zones[i%3])
	}
	if !w.startAll() {
		return couldNot
	}
	var acked time.Time
	for id, e := range leaving {
		e.mu.Lock()
		e.state = "draining" // it says so in its answers only
		e.mu.Unlock()
		w.store.remove("servers", id)
		acked = time.Now()
		if w.trouble {
			w.store.putRaw("servers", "audit", id, []byte("removed"))
		}
		w.log("the store has acknowledged the removal of %s", id)
	}
	time.Sleep(time.Until(acked.Add(drain + time.Second)))
	for i := range 16 * services {
		n := w.nodes[i/services%len(w.nodes)]
		n.send(request{method: "GET", path: fmt.Sprintf("/app%d/2f", i%services+1), key: key, deadline: 2500 * time.Millisecond})
	}
	late := w.arrivalsOf(func(a *arrival) bool { return leaving[a.engine] != nil && a.at.Sub(acked) > drain })
	for _, a := range late {
		w.log("%s reached %s %s after its removal was acknowledged", a.attempt, a.engine, a.at.Sub(acked))
	}
	if len(late) > 0 {
		return broken
	}
	return held
}

package stand

import (
	"fmt"
	"time"
)

func init() { cases[4] = emptyFirstSegment }

// emptyFirstSegment has the operator add a route with the prefix "/", and sends requests whose
// path begins with two slashes.
func emptyFirstSegment(r *run) bool {
	upstreams := r.startUpstreams(3, service, plainSlots, nil)
	time.Sleep(heartbeat / 2)
	routes := []any{route("orders", "/orders/", "unsafe", false), route("lookups", "/lookups/", "safe", false)}
	r.store.put("op", "config", configuration(1, routes, key))
	r.startMachines(3)
	if r.trouble {
		routes = append(routes, route("rest", "/", "unsafe", false))
	}
	r.store.put("op", "config", configuration(2, routes, key))
	r.note("operator: version 2 is acknowledged; it adds a route with the prefix /: %t", r.trouble)
	time.Sleep(configApply + applySlack)
	for i, m := range r.machines {
		for j, path := range []string{"/pay/7", "//pay/7", "//admin/orders/7?all=1"} {
			r.send(m, fmt.Sprintf("rest%d%d", i+1, j+1), "POST", path, key, "order", 2500*time.Millisecond)
			r.send(m, fmt.Sprintf("orders%d%d", i+1, j+1), "POST", "/orders"+path, key, "order", 2500*time.Millisecond)
		}
	}
	changed, ran := 0, 0
	for _, u := range upstreams {
		for _, a := range u.all() {
			if !a.ran {
				continue
			}
			ran++
			if q := r.sent[a.id]; a.target != q.path {
				changed++
				r.note("CHANGED: %s was sent with the path %s; upstream %s got %s and ran %s", a.id, q.path, a.upstream, a.target, a.path)
			}
		}
	}
	return r.verdict(changed > 0, "UNASKED: %d of %d requests that upstreams ran had another path than the client's", changed, ran)
}

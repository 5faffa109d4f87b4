package stand

import (
	"fmt"
	"time"
)

func init() { cases[3] = silentStoreConnections }

const (
	// configApply is config_apply_ms of the settings.
	configApply = 2 * time.Second
	// beforeChange is the time between the disruption and the operator's change; the machines
	// are in touch again by then.
	beforeChange = 5 * time.Second
	// applySlack is how much later than the bound the requests are sent.
	applySlack = 500 * time.Millisecond
)

// silentStoreConnections has all open connections to the store go silent for good while new
// ones work. Five seconds later the operator takes a key away and drops a route. More than
// config_apply_ms after that, one request is sent to each machine with the key and on the
// route; no other request is sent meanwhile.
func silentStoreConnections(r *run) bool {
	const oldKey = "k3yth4tist4ken4w4y"
	upstreams := r.startUpstreams(3, service, plainSlots, nil)
	time.Sleep(heartbeat / 2)
	orders, lookups := route("orders", "/orders/", "unsafe", false), route("lookups", "/lookups/", "safe", false)
	reports := route("reports", "/reports/", "safe", false)
	r.store.put("op", "config", configuration(1, []any{orders, lookups, reports}, key, oldKey))
	r.startMachines(6)
	for i, m := range r.machines {
		r.send(m, fmt.Sprintf("before%d", i+1), "GET", "/lookups/1", oldKey, "", 2500*time.Millisecond)
	}
	// A change that all machines get: their calls for the next one begin now.
	r.store.put("op", "config", configuration(2, []any{orders, lookups, reports}, key, oldKey))
	r.note("operator: version 2 is acknowledged; it changes nothing")
	time.Sleep(2 * time.Second)
	if r.trouble {
		n := r.store.silenceOpenConnections()
		r.note("DISRUPTION: %d open connections to the store go silent; new ones work", n)
	}
	time.Sleep(beforeChange)
	r.store.put("op", "config", configuration(3, []any{orders, lookups}, key))
	acknowledged := time.Now()
	r.note("operator: version 3 is acknowledged; it takes a key away and drops a route")
	time.Sleep(configApply + applySlack)
	for i, m := range r.machines {
		r.send(m, fmt.Sprintf("key%d", i+1), "POST", "/orders/1", oldKey, "order with a key that was taken away", 2500*time.Millisecond)
		r.send(m, fmt.Sprintf("route%d", i+1), "GET", "/reports/1", key, "", 2500*time.Millisecond)
	}
	old := 0
	for _, u := range upstreams {
		for _, a := range u.all() {
			if a.ran && r.sent[a.id].sentAt.After(acknowledged.Add(configApply)) {
				old++
			}
		}
	}
	return r.verdict(old > 0,
		"CONFIG: %d of %d requests that were sent later than %s after the acknowledgement ran as only an older version allows", old, 2*len(r.machines), configApply)
}

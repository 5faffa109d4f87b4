package stand

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// strayPrefix begins the ids of the servers behind the entries of the other writer.
const strayPrefix = "stray-"

// strayEntries are the entries of another writer. They name a service of the configuration, a state and
// an address, but they are no entries of engines: a field is missing, or is of another type.
func strayEntries() []map[string]any {
	return []map[string]any{
		{"zone": "zone-a", "version": "v1", "cold_remaining_ms": 0, "sequence": 4},            // no slots
		{"zone": "zone-a", "slots": 6},                                                        // no version, cold_remaining_ms and sequence
		{"zone": "zone-a", "version": 1, "slots": 6, "cold_remaining_ms": 0, "sequence": "4"}, // another type of version and sequence
	}
}

// oddEntries: another writer adds entries to the list of servers that name no engine to use. The servers at
// their addresses run what they get.
func oddEntries(e *env) error {
	e.store.put("op", "config", basicConfiguration())
	for i := range 3 {
		if _, err := e.startUpstream(fmt.Sprintf("i-%d", i), callService, 6); err != nil {
			return err
		}
	}
	if err := e.startMachines(3); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for i, entry := range strayEntries() {
		u, err := e.listenUpstream(fmt.Sprintf("%s%d", strayPrefix, i), callService, 6)
		if err != nil {
			return err
		}
		entry["service"], entry["address"], entry["state"] = callService, u.address, "ready"
		if e.trouble {
			e.store.put("servers", u.id, entry)
			e.record("store", "another writer adds servers/%s: %v", u.id, entry)
		}
	}
	time.Sleep(3 * time.Second) // config_apply_ms and drain_ms are 2 s
	strays := map[string]int{}
	for n := range 90 {
		m := e.machines[n%len(e.machines)]
		id, a := m.send(request{method: http.MethodPost, path: callPrefix + "2f", key: e.key, body: fmt.Sprint("order ", n), remaining: 2500 * time.Millisecond})
		if a.status != http.StatusOK {
			return fmt.Errorf("%s is answered %s", id, a)
		}
		for _, one := range e.runs.of(id) {
			if strings.HasPrefix(one.upstream, strayPrefix) {
				strays[one.upstream]++
				e.broken("ROUTE: order %s ran at %s, whose entry names no engine to use, and its answer reached the client", id, one.upstream)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.record("count", "orders at servers behind entries that name no engine: %v", strays)
	return nil
}

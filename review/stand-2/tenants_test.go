package stand

import (
	"fmt"
	"net/http"
	"time"
)

// lastTenant: the operator takes the only tenant out of the configuration. From then on no key is
// valid, so that every request must be answered with 401.
func lastTenant(e *env) error {
	c := basicConfiguration()
	e.store.put("op", "config", c)
	for i := range 3 {
		if _, err := e.startUpstream(fmt.Sprintf("i-%d", i), callService, 6); err != nil {
			return err
		}
	}
	if err := e.startMachines(3); err != nil {
		return err
	}
	call := func(m *machine, key string) (string, answer) {
		return m.send(request{method: http.MethodPost, path: callPrefix + "2f", key: key, body: "order", remaining: 2500 * time.Millisecond})
	}
	for _, m := range e.machines {
		if _, a := call(m, e.key); a.status != http.StatusOK {
			return fmt.Errorf("the valid key is answered %s before the change", a)
		}
		if _, a := call(m, "never-held-by-a-tenant"); a.status != http.StatusUnauthorized {
			return fmt.Errorf("an unknown key is answered %s before the change", a)
		}
	}
	time.Sleep(4 * time.Second) // stable_window_ms and more without any disruption
	c.Version += 2
	if e.trouble {
		c.Tenants = []tenant{}
	}
	e.store.put("op", "config", c)
	e.record("operator", "version %d with %d tenants acknowledged", c.Version, len(c.Tenants))
	time.Sleep(4 * time.Second) // config_apply_ms is 2 s
	for range 5 {
		for _, m := range e.machines {
			id, a := call(m, "never-held-by-a-tenant")
			if n := len(e.runs.of(id)); n > 0 {
				e.broken("ROUTE: %s ran with a key that no configuration ever held, and was answered %d", id, a.status)
			}
			id, a = call(m, e.key)
			if n := len(e.runs.of(id)); e.trouble && n > 0 {
				e.broken("CONFIG: %s ran with a key that was dropped 4 s before, and was answered %d", id, a.status)
			} else if !e.trouble && a.status != http.StatusOK {
				return fmt.Errorf("the valid key is answered %s", a)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

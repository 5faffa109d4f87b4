package admin

import (
	"slices"
	"sync"
)

// Dumps is a registry of functions that return the state of a process's parts.
// The zero value is empty and ready to use.
type Dumps struct {
	mu    sync.Mutex
	funcs map[string]func() any
}

// Register adds or replaces the state function of a part. f returns a value that
// can be encoded as JSON; it may be called at any time, from any goroutine.
func (d *Dumps) Register(name string, f func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.funcs == nil {
		d.funcs = map[string]func() any{}
	}
	d.funcs[name] = f
}

// Names returns the names of all parts in ascending order.
func (d *Dumps) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.funcs))
	for name := range d.funcs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// State returns the state of one part, and false if there is no such part.
func (d *Dumps) State(name string) (any, bool) {
	d.mu.Lock()
	f := d.funcs[name]
	d.mu.Unlock()
	if f == nil {
		return nil, false
	}
	return f(), true
}

// All returns the state of every part.
func (d *Dumps) All() map[string]any {
	all := map[string]any{}
	for _, name := range d.Names() {
		if state, ok := d.State(name); ok {
			all[name] = state
		}
	}
	return all
}

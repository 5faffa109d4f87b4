package dispatch

import (
	"strings"
	"sync"
)

// activeRequests is the set of generation requests that this instance runs. The
// zero value is empty.
type activeRequests struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add adds a request and returns the function that removes it.
func (a *activeRequests) add(id string) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ids == nil {
		a.ids = map[string]struct{}{}
	}
	a.ids[id] = struct{}{}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.ids, id)
	}
}

// uuidLength is the length of the last part of a request's ID.
const uuidLength = 36

// covers reports whether name is the ID of an active request, or such an ID with
// a suffix, as reservations are named.
func (a *activeRequests) covers(name string) bool {
	end := strings.LastIndexByte(name, '/') + 1 + uuidLength
	if end > len(name) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.ids[name[:end]]
	return ok
}

// count returns the number of active requests.
func (a *activeRequests) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ids)
}

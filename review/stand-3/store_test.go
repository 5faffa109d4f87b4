package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table         string `json:"table"`
	Part          string `json:"part"`
	Key           string `json:"key"`
	Value         string `json:"value"`
	VersionNumber int64  `json:"version_number"`
	Tombstone     bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It loses nothing that it has acknowledged.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	version int64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
}

// put writes one row, as the operator and the engines do.
func (s *store) put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putRaw(table, "", key, data)
}

// putRaw writes the bytes of one row.
func (s *store) putRaw(table, part, key string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Part: part, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
	return s.version
}

// remove removes one row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.drop(rowID{table, "", key})
}

func (s *store) set(r row) {
	r.VersionNumber, r.Tombstone = s.version, false
	s.rows[rowID{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) drop(id rowID) {
	if r, known := s.rows[id]; !known || r.Tombstone {
		return
	}
	s.rows[id] = row{Table: id.table, Part: id.part, Key: id.key, VersionNumber: s.version, Tombstone: true}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(fields map[string]any) map[string]any {
	fields["version_number"] = s.version
	fields["now_ms"] = time.Since(s.began).Milliseconds()
	return fields
}

// list returns the rows of a table that match, in the order of less.
func (s *store) list(match func(row) bool, less func(a, b row) bool) []row {
	list := []row{}
	for _, r := range s.rows {
		if match(r) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
	return list
}

const maxRows = 500

func (s *store) get(q map[string][]string) map[string]any {
	table, part, from, to := first(q, "table"), first(q, "part"), first(q, "from"), first(q, "to")
	limit, err := strconv.Atoi(first(q, "limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.list(func(r row) bool {
		return r.Table == table && r.Part == part && !r.Tombstone && r.Key >= from && (to == "" || r.Key < to)
	}, func(a, b row) bool { return a.Key < b.Key })
	truncated := len(list) > limit
	if truncated {
		list = list[:limit]
	}
	return s.answer(map[string]any{"rows": list, "truncated": truncated})
}

func (s *store) feed(r *http.Request) map[string]any {
	q := r.URL.Query()
	table := q.Get("table")
	after, _ := strconv.ParseInt(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		list := s.list(func(r row) bool { return r.Table == table && r.VersionNumber > after },
			func(a, b row) bool { return a.VersionNumber < b.VersionNumber })
		changed := s.changed
		answer := s.answer(map[string]any{"rows": list})
		s.mu.Unlock()
		if len(list) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-deadline:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}

// transaction is the body of a call that writes.
type transaction struct {
	ExpectedRevision []row `json:"expected_revision"`
	Writes           []row `json:"writes"`
	Remove           []row `json:"remove"`
}

func (s *store) tx(t transaction) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]row{t.Writes, t.Remove} {
		for _, r := range list {
			if r.Table == "op" || r.Table == "servers" {
				return http.StatusForbidden, map[string]any{}
			}
		}
	}
	holds, current := true, []row{}
	for _, e := range t.ExpectedRevision {
		r, known := s.rows[rowID{e.Table, e.Part, e.Key}]
		version := int64(0)
		if known && !r.Tombstone {
			version = r.VersionNumber
			current = append(current, r)
		}
		holds = holds && version == e.VersionNumber
	}
	if !holds {
		return http.StatusPreconditionFailed, s.answer(map[string]any{"rows": current})
	}
	s.version++
	for _, r := range t.Writes {
		s.set(r)
	}
	for _, r := range t.Remove {
		s.drop(rowID{r.Table, r.Part, r.Key})
	}
	return http.StatusOK, s.answer(map[string]any{})
}

func first(q map[string][]string, name string) string {
	if len(q[name]) == 0 {
		return ""
	}
	return q[name][0]
}

// gate is the store as one machine reaches it.
type gate struct {
	store   *store
	address string

	mu sync.Mutex
	// refuse returns the status with which a call is refused; 0 serves it.
	refuse func(*http.Request) int
	// silent leaves calls without an answer.
	silent bool
}

// openGate opens an address at which one machine reaches the store.
func (s *store) openGate() *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	g := &gate{store: s, address: l.Addr().String()}
	go http.Serve(l, g) //nolint:errcheck // it ends with the process
	return g
}

// refuseWith sets which calls are refused; nil refuses none.
func (g *gate) refuseWith(f func(*http.Request) int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse = f
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	refuse, silent := g.refuse, g.silent
	g.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if refuse != nil {
		if status := refuse(r); status != 0 {
			w.WriteHeader(status)
			return
		}
	}
	time.Sleep(2 * time.Millisecond)
	status, body := http.StatusOK, map[string]any{}
	switch r.URL.Path {
	case "/v1/rows-get":
		body = g.store.get(r.URL.Query())
	case "/v1/rows-feed":
		body = g.store.feed(r)
	case "/v1/rows-tx":
		var t transaction
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			status = http.StatusBadRequest
			break
		}
		status, body = g.store.tx(t)
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

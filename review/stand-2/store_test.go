package stand

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Version   int64  `json:"version_number"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// store plays the platform's metadata store: rows with versions, transactions, snapshots and long polls.
type store struct {
	start time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowKey]row
	changes []row
	news    chan struct{}
	// silentBefore is when all connections that were open went silent; zero before that.
	silentBefore time.Time
	// waits holds, by machine, how long its last call for changes of the configuration waits, in ms.
	waits map[string]int
	// era counts the returns from an older copy; away reports whether the store answers nothing.
	era  int64
	away bool
}

// storeCopy is what the store held at a moment.
type storeCopy struct {
	version int64
	rows    map[rowKey]row
	changes []row
}

// copy returns what the store holds.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{version: s.version, rows: maps.Clone(s.rows), changes: slices.Clone(s.changes)}
}

// returnFrom lets the store be away for some time and come back from an older copy.
func (s *store) returnFrom(c storeCopy, awayFor time.Duration) {
	s.mu.Lock()
	s.away = true
	s.wake()
	s.mu.Unlock()
	time.Sleep(awayFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.version, s.rows, s.changes = c.version, c.rows, c.changes
	s.wake()
}

// isAway reports whether the store answers nothing.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// unlessAway breaks the connections of calls while the store is away.
func (s *store) unlessAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isAway() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowKey]row{}, news: make(chan struct{}), waits: map[string]int{}}
}

// silence makes all open connections silent for good. New ones work.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentBefore = time.Now()
}

// isSilent reports whether the connection of a call that began at that time has gone silent.
func (s *store) isSilent(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return began.Before(s.silentBefore)
}

// listen serves the store for one machine on a free loopback port and returns the address.
func (s *store) listen(machine string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, machine) })
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	go http.Serve(l, s.unlessAway(mux)) //nolint:errcheck // ends with the process
	return l.Addr().String(), nil
}

// put writes a row as the operator or an upstream does, and returns when it is acknowledged.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
	s.wake()
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(rowKey{table, "", key})
	s.wake()
}

func (s *store) set(r row) {
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	s.changes = append(s.changes, r)
}

func (s *store) remove(k rowKey) {
	if _, known := s.rows[k]; !known {
		return
	}
	delete(s.rows, k)
	s.changes = append(s.changes, row{Table: k.table, Part: k.part, Key: k.key, Version: s.version, Tombstone: true})
}

func (s *store) wake() {
	close(s.news)
	s.news = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	found := []row{}
	for k, one := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			found = append(found, one)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated := len(found) > limit
	if truncated {
		found = found[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": found, "truncated": truncated}, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, machine string) {
	began := time.Now()
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	if q.Get("table") == "op" {
		s.mu.Lock()
		s.waits[machine] = wait
		s.mu.Unlock()
	}
	for {
		if s.isSilent(began) {
			<-r.Context().Done()
			return
		}
		if s.isAway() {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		if after > s.version { // a version that the copy doesn't have
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{}, 0)
			return
		}
		found := []row{}
		for _, one := range s.changes {
			if one.Table == q.Get("table") && one.Version > after {
				found = append(found, one)
			}
		}
		version, news := s.version, s.news
		s.mu.Unlock()
		if len(found) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": found}, version)
			return
		}
		select {
		case <-news:
		case <-until:
			if s.isSilent(began) {
				<-r.Context().Done()
				return
			}
			s.answer(w, http.StatusOK, map[string]any{"rows": found}, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected_revision"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range append(t.Writes, t.Remove...) {
		if one.Table == "op" || one.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current := []row{}
	holds := true
	for _, c := range t.Expected {
		one := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if one.Version != c.Version {
			holds = false
		}
		if one.Version > 0 {
			current = append(current, one)
		}
	}
	if !holds {
		s.answerLocked(w, http.StatusPreconditionFailed, map[string]any{"rows": current}, s.version)
		return
	}
	s.version++
	for _, one := range t.Writes {
		s.set(one)
	}
	for _, one := range t.Remove {
		s.remove(rowKey{one.Table, one.Part, one.Key})
	}
	s.wake()
	s.answerLocked(w, http.StatusOK, map[string]any{}, s.version)
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerLocked(w, status, body, version)
}

// answerLocked is answer; mu must be held.
func (s *store) answerLocked(w http.ResponseWriter, status int, body map[string]any, version int64) {
	body["version_number"], body["now_ms"] = version, time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

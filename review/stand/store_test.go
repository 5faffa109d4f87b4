package stand

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which upstreams renew their entries; an entry is removed
	// after entryLife without one.
	heartbeat = 1200 * time.Millisecond
	entryLife = 3 * heartbeat
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version int64
	deleted bool
}

// store is a stand-in of the platform's metadata store.
type store struct {
	run     *run
	address string

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	version int64
	changed chan struct{}
	start   time.Time
	// beats holds when each upstream has last renewed its entry.
	beats map[string]time.Time
	conns map[*quietConn]bool
}

func newStore(r *run) (*store, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &store{
		run: r, address: l.Addr().String(), rows: map[rowKey]storedRow{}, changed: make(chan struct{}),
		start: time.Now(), beats: map[string]time.Time{}, conns: map[*quietConn]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transaction)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	go http.Serve(quietListener{l, s}, mux) //nolint:errcheck // ends with the process
	go s.expire()
	return s, nil
}

// quietListener returns connections that can be silenced.
type quietListener struct {
	net.Listener
	s *store
}

func (l quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	q := &quietConn{Conn: c, s: l.s, silent: make(chan struct{})}
	l.s.mu.Lock()
	l.s.conns[q] = true
	l.s.mu.Unlock()
	return q, nil
}

// quietConn is a connection that may go silent for good: it stays open, and nothing that is
// written to it arrives any more.
type quietConn struct {
	net.Conn
	s      *store
	silent chan struct{}
}

func (c *quietConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

func (c *quietConn) Close() error {
	select {
	case <-c.silent:
		// The client sees nothing of it; it is closed once the client has closed it.
		go func() {
			buffer := make([]byte, 512)
			for {
				if _, err := c.Conn.Read(buffer); err != nil {
					c.Conn.Close()
					return
				}
			}
		}()
		return nil
	default:
	}
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	return c.Conn.Close()
}

// silenceOpenConnections makes all open connections go silent for good. New ones work.
func (s *store) silenceOpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.conns)
	for c := range s.conns {
		close(c.silent)
		delete(s.conns, c)
	}
	return n
}

// put writes a row as the operator and upstreams do. It returns its version.
func (s *store) put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(rowKey{table, "", key}, storedRow{value: data})
}

// beat renews the entry of an upstream. It changes only if more than the sequence does.
func (s *store) beat(id string, entry map[string]any) {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	k := rowKey{"servers", "", id}
	if old, known := s.rows[k]; known && !old.deleted && string(old.value) == string(data) {
		return
	}
	s.set(k, storedRow{value: data})
}

// expire removes the entries of upstreams that are silent.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		var gone []string
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > entryLife {
				delete(s.beats, id)
				s.set(rowKey{"servers", "", id}, storedRow{deleted: true})
				gone = append(gone, id)
			}
		}
		s.mu.Unlock()
		for _, id := range gone {
			s.run.note("store: the entry of %s is removed after three intervals of silence", id)
		}
	}
}

// set stores a row. The caller holds mu.
func (s *store) set(k rowKey, r storedRow) int64 {
	s.version++
	r.version = s.version
	s.rows[k] = r
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

type wireRow struct {
	Table         string `json:"table"`
	Part          string `json:"part"`
	Key           string `json:"key"`
	Value         string `json:"value,omitempty"`
	VersionNumber int64  `json:"version_number"`
	Tombstone     bool   `json:"tombstone,omitempty"`
}

func toWire(k rowKey, r storedRow) wireRow {
	return wireRow{k.table, k.part, k.key, base64.StdEncoding.EncodeToString(r.value), r.version, r.deleted}
}

// answer writes an answer. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []wireRow) {
	if rows == nil {
		rows = []wireRow{}
	}
	data, err := json.Marshal(map[string]any{
		"rows": rows, "truncated": false, "version_number": s.version, "now_ms": time.Since(s.start).Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []wireRow `json:"expected_revision"`
		Writes   []wireRow `json:"writes"`
		Remove   []wireRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []wireRow
	for _, c := range t.Expected {
		k := rowKey{c.Table, c.Part, c.Key}
		row, known := s.rows[k]
		current := row.version
		if row.deleted || !known {
			current = 0
		}
		if current != c.VersionNumber {
			failed = append(failed, toWire(k, row))
		}
	}
	if len(failed) > 0 {
		s.answer(w, http.StatusPreconditionFailed, failed)
		return
	}
	for _, row := range slices.Concat(t.Writes, t.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, row := range t.Writes {
		value, err := base64.StdEncoding.DecodeString(row.Value)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.set(rowKey{row.Table, row.Part, row.Key}, storedRow{value: value})
	}
	for _, row := range t.Remove {
		s.set(rowKey{row.Table, row.Part, row.Key}, storedRow{deleted: true})
	}
	s.answer(w, http.StatusOK, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var rows []wireRow
	for k, row := range s.rows {
		inRange := k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to"))
		if k.table == q.Get("table") && k.part == q.Get("part") && !row.deleted && inRange {
			rows = append(rows, toWire(k, row))
		}
	}
	slices.SortFunc(rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		var rows []wireRow
		for k, row := range s.rows {
			if k.table == q.Get("table") && row.version > after {
				rows = append(rows, toWire(k, row))
			}
		}
		changed := s.changed
		if len(rows) > 0 || over {
			slices.SortFunc(rows, func(a, b wireRow) int { return int(a.VersionNumber - b.VersionNumber) })
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

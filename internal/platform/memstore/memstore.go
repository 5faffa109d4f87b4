// Package memstore is an in-memory table service and object store with fault
// switches: an outage, delays, lost writes, and answers lost after the write took
// effect.
package memstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
)

// Faults are the faults that the store simulates. The zero value is a healthy
// store.
type Faults struct {
	// Down makes every call fail with platform.ErrUnavailable.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of next commits that take effect and then
	// return platform.ErrUnknownOutcome.
	LoseAnswers int `json:"lose_answers"`
	// LoseWrites is the number of next commits that do not take effect and
	// return platform.ErrUnknownOutcome.
	LoseWrites int `json:"lose_writes"`
}

// Counts are the numbers of calls that the store has served since its start.
type Counts struct {
	Reads   int64 `json:"reads"`
	Scans   int64 `json:"scans"`
	Commits int64 `json:"commits"`
	// Writes counts rows written by committed transactions.
	Writes int64 `json:"writes"`
}

// Store is an in-memory platform.Table and platform.Objects. It is safe for
// concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	faults  Faults
	counts  Counts
	// revision counts committed transactions; versions come from it, so that
	// a deleted and recreated row never repeats a version.
	revision platform.Version
}

var (
	_ platform.Table   = (*Store)(nil)
	_ platform.Objects = (*Store)(nil)
)

// New returns an empty, healthy store.
func New() *Store {
	return &Store{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// SetFaults replaces the fault switches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current fault switches.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls served.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// simulateFaults waits for the configured delay and fails while the store is down.
func (s *Store) simulateFaults(ctx context.Context) error {
	delay := s.Faults().Delay
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return platform.ErrUnavailable
		}
	}
	if s.Faults().Down || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}

// Read implements platform.Table.
func (s *Store) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := s.simulateFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, s.row(key))
	}
	return rows, nil
}

// row returns the row of key, or an absent row. The caller holds mu.
func (s *Store) row(key string) platform.Row {
	if row, ok := s.rows[key]; ok {
		return row
	}
	return platform.Row{Key: key}
}

// Scan implements platform.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := s.simulateFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Scans++
	var rows []platform.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := s.simulateFaults(ctx); err != nil {
		return platform.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Commits++
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		return platform.TxnResult{}, platform.ErrUnknownOutcome
	}
	res := s.apply(txn)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return platform.TxnResult{}, platform.ErrUnknownOutcome
	}
	return res, nil
}

// apply checks the conditions of txn and makes its writes. The caller holds mu.
func (s *Store) apply(txn platform.Txn) platform.TxnResult {
	var failed []platform.Row
	for _, cond := range txn.Conditions {
		if row := s.row(cond.Key); row.Version != cond.Version {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return platform.TxnResult{Rows: failed}
	}
	s.revision++
	written := make([]platform.Row, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		s.counts.Writes++
		if w.Delete {
			delete(s.rows, w.Key)
			written = append(written, platform.Row{Key: w.Key})
			continue
		}
		row := platform.Row{Key: w.Key, Value: w.Value, Version: s.revision, WriteID: txn.ID}
		s.rows[w.Key] = row
		written = append(written, row)
	}
	return platform.TxnResult{Committed: true, Rows: written}
}

// PutObject implements platform.Objects.
func (s *Store) PutObject(ctx context.Context, key string, data []byte) error {
	if err := s.simulateFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = append([]byte(nil), data...)
	return nil
}

// GetObject implements platform.Objects.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := s.simulateFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}

// DeleteObject implements platform.Objects.
func (s *Store) DeleteObject(ctx context.Context, key string) error {
	if err := s.simulateFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
	return nil
}

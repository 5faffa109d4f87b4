// Package platform defines the interfaces of the platform's services that the
// system uses: a transactional table, an object store, an eventually consistent
// list of live instances and a rate-limited weight store. The wire protocol is in
// docs/PLATFORM.md.
//
// Subpackage memstore holds an in-memory implementation with fault switches,
// which the tests and the stand-in use.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's services.
var (
	// ErrUnavailable means that the service did not accept the call: nothing
	// was read or written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	// The caller resolves it by reading back its own write ID.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrNotFound means that an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrRateLimited means that the weight store's rate limit is exceeded.
	ErrRateLimited = errors.New("rate limited")
)

// Version identifies one write of a row; later writes have higher versions, also
// after a deletion. Zero means that the row is absent.
type Version uint64

// Row is one row of the table.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	// WriteID is the ID of the transaction that wrote this version.
	WriteID string `json:"write_id,omitempty"`
}

// Condition requires that the row has exactly this version when a transaction
// commits; zero requires that it is absent.
type Condition struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is an atomic conditional write.
type Txn struct {
	// ID is unique per transaction; the service stores it in each row.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// TxnResult is the service's answer to a Txn.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Rows holds the written rows if the transaction was committed, otherwise
	// the current rows of the conditions that failed.
	Rows []Row `json:"rows,omitempty"`
}

// Table is the transactional table service. Its methods fail with
// ErrUnavailable or, for Commit only, ErrUnknownOutcome.
type Table interface {
	// Read returns one row per key, in order; an absent row has version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix and a key after "after",
	// in ascending order of keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction if all its conditions hold.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// Objects is the object store. Objects are immutable once written.
type Objects interface {
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns ErrNotFound if there is no such object.
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
}

// Phase is the state of an instance or upstream in the live list.
type Phase string

// Phases of the live list.
const (
	Live    Phase = "live"
	Leaving Phase = "leaving"
)

// LiveListEntry is one entry of the live list, which lags behind the actual state.
type LiveListEntry struct {
	// ID is the instance's or upstream's ID.
	ID string `json:"id"`
	// Role is "instance" for the system's own processes and "upstream" for
	// engines and plain services.
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Phase      Phase  `json:"phase"`
	// Capacity is the processor time of an instance in thousandths of a core; 0 if unknown.
	Capacity uint32 `json:"capacity,omitempty"`
}

// LiveList is the platform's eventually consistent list of live and leaving
// instances.
type LiveList interface {
	List(ctx context.Context) ([]LiveListEntry, error)
}

// WeightStore is the rate-limited store of model weights, addressed by model and
// version.
type WeightStore interface {
	// Weights returns the size in bytes of a model version, ErrNotFound, or
	// ErrRateLimited with the time after which to retry.
	Weights(ctx context.Context, model, version string) (size int64, retryAfter time.Duration, err error)
}

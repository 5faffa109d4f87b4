package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// rowPrefix starts the key of each claim row.
const rowPrefix = "claim/"

// maxStoredHeaders bounds the header fields of a decoded answer.
const maxStoredHeaders = 256

// States of a claim row, as in charts/claim.yaml.
const (
	stateAbsent   chart.State = "absent"
	stateClaimed  chart.State = "claimed"
	stateNotRun   chart.State = "not-run"
	stateFinished chart.State = "finished"
	stateUnknown  chart.State = "unknown"
	stateSpent    chart.State = "spent"
)

// record is the value of a claim row, encoded as CBOR.
type record struct {
	State chart.State `cbor:"1,keyasint"`
	// ClaimID is unique per claim; only its holder changes a claimed row.
	ClaimID string `cbor:"2,keyasint"`
	// Owner is the instance that holds the claim, and Incarnation its incarnation.
	Owner       string   `cbor:"3,keyasint"`
	Incarnation uint64   `cbor:"4,keyasint"`
	Fingerprint [32]byte `cbor:"5,keyasint"`
	// BegunUnixMs is the time of the claim by the holder's clock.
	BegunUnixMs int64 `cbor:"6,keyasint"`
	// DeadlineUnixMs is the end of the holder's request.
	DeadlineUnixMs int64 `cbor:"7,keyasint"`
	// Answer is a small stored answer; ObjectKey names a large one.
	Answer    *Answer `cbor:"8,keyasint,omitempty"`
	ObjectKey string  `cbor:"9,keyasint,omitempty"`
}

// rowKey returns the row key of a workspace's idempotency key. Keys of different
// workspaces never share a row.
func rowKey(workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + url.PathEscape(workspace) + "/" + hex.EncodeToString(sum[:])
}

func (r *record) encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, trace.Wrap(err)
}

// decodeRow returns the record of a row; for an absent row this is a record in the
// absent state. A value that no version of this package writes is an error.
func decodeRow(row platform.Row) (record, error) {
	if row.Version == 0 {
		return record{State: stateAbsent}, nil
	}
	return decodeRecord(row.Value)
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := wire.Unmarshal(data, &r, wire.Store); err != nil {
		return record{}, trace.Wrap(err, "decoding claim row")
	}
	switch r.State {
	case stateClaimed, stateNotRun, stateUnknown, stateSpent:
	case stateFinished:
		if r.Answer == nil && r.ObjectKey == "" {
			return record{}, trace.BadParameter("finished claim row has no answer")
		}
	default:
		return record{}, trace.BadParameter("claim row has unknown state %q", r.State)
	}
	if r.ClaimID == "" {
		return record{}, trace.BadParameter("claim row has no claim ID")
	}
	if r.Answer != nil && len(r.Answer.Header) > maxStoredHeaders {
		return record{}, trace.BadParameter("claim row has %d header fields", len(r.Answer.Header))
	}
	return r, nil
}

func (r *record) deadline() time.Time { return time.UnixMilli(r.DeadlineUnixMs) }

// decodeAnswer decodes an answer from the object store.
func decodeAnswer(data []byte) (*Answer, error) {
	var a Answer
	if err := wire.Unmarshal(data, &a, wire.Store); err != nil {
		return nil, trace.Wrap(err, "decoding stored answer")
	}
	return &a, nil
}

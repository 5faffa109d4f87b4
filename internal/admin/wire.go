package admin

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Paths of the API.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathEntries = "/v1/catalogue"
	PathEdits   = "/v1/catalogue/edits"
	PathHistory = "/v1/catalogue/history"
	PathDump    = "/v1/dump"
	PathDrain   = "/v1/drain"
	PathStatus  = "/v1/status"
	// PathHostedDump is the state dump of an instance on a platform, which has no other path
	// of this API.
	PathHostedDump = "/dump"
	// PathHostedWhere explains where a request would go now, on the same listener.
	PathHostedWhere = "/where"
)

// Entries is the answer to GET /v1/catalogue.
type Entries struct {
	Revision catalogue.Revision `json:"revision"`
	Digest   string             `json:"digest"`
	Entries  []*catalogue.Entry `json:"entries"`
}

// EntryAnswer is the answer to GET /v1/catalogue/{kind}/{name}.
type EntryAnswer struct {
	// Revision is the revision of the catalogue that was read.
	Revision catalogue.Revision `json:"revision"`
	// Changed is the revision that last changed the entry.
	Changed catalogue.Revision `json:"changed"`
	Entry   *catalogue.Entry   `json:"entry"`
}

// HistoryAnswer is the answer to GET /v1/catalogue/history.
type HistoryAnswer struct {
	Changes []catalogue.Change `json:"changes"`
}

// ErrorAnswer is the body of every answer that is not 2xx.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes a rejected or failed call.
type ErrorBody struct {
	Code      result.Code      `json:"code"`
	Name      string           `json:"name"`
	Message   string           `json:"message"`
	Execution result.Execution `json:"execution"`
	// RetryAfterSeconds is the time after which to retry; zero if a retry does
	// not help.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Fields lists the invalid fields of an edit.
	Fields catalogue.FieldErrors `json:"fields,omitempty"`
	// Conflict holds the earlier changes that the edit conflicts with.
	Conflict *catalogue.ConflictError `json:"conflict,omitempty"`
}

// Phase is a phase of an instance's lifecycle.
type Phase string

// Phases of an instance.
const (
	PhaseStarting Phase = "starting"
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	// PhaseUnreachable is set for a member that does not answer.
	PhaseUnreachable Phase = "unreachable"
)

// InstanceStatus is the status of one instance of the fleet.
type InstanceStatus struct {
	ID          string             `json:"id" cbor:"1,keyasint"`
	Incarnation uint64             `json:"incarnation" cbor:"2,keyasint"`
	Address     string             `json:"address" cbor:"3,keyasint"`
	DataCentre  string             `json:"data_centre" cbor:"4,keyasint"`
	Region      string             `json:"region" cbor:"5,keyasint"`
	Phase       Phase              `json:"phase" cbor:"6,keyasint"`
	Revision    catalogue.Revision `json:"revision" cbor:"7,keyasint"`
	Digest      string             `json:"digest" cbor:"8,keyasint"`
	Started     time.Time          `json:"started" cbor:"9,keyasint"`
	// Build is empty for an instance whose build does not say it.
	Build string `json:"build,omitempty" cbor:"10,keyasint,omitempty"`
}

// Status is the answer to GET /v1/status.
type Status struct {
	// Instance is the instance that collected the status.
	Instance  string           `json:"instance"`
	Instances []InstanceStatus `json:"instances"`
}

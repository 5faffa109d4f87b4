package placement

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
	"github.com/banyanroute/banyanroute/internal/wire"
)

const (
	// topicPlace is the topic of calls to a service's home.
	topicPlace = "placement"
	// topicPoison is the topic of broadcasts of poison notices.
	topicPoison = "poison"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	// eventAdopt reports a job that the sender placed.
	eventAdopt eventKind = iota + 1
	// eventFirst reports that the first token or answer arrived.
	eventFirst
	// eventEnd reports how an attempt ended.
	eventEnd
	// eventReset reports that the owner's jobs of a service are those in the events
	// that follow, and no others.
	eventReset
	// eventTrialPassed reports that a trial has been answered for poison.TrialTime.
	eventTrialPassed
	// eventSuspects reports the suspects and quarantines that the sender knows.
	eventSuspects
	// eventLimits reports the limits that answers of upstreams have named.
	eventLimits
	// eventCold reports the upstreams that are cold.
	eventCold
)

// known reports whether this build knows the kind. Events of other kinds are ignored.
func (k eventKind) known() bool { return k >= eventAdopt && k <= eventCold }

// event reports a change of a job to the home of its service.
type event struct {
	_    struct{} `cbor:",toarray"`
	Kind eventKind
	ID   string
	// End is set for eventEnd.
	End End
	// Adopted is set for eventAdopt.
	Adopted *Adoption
	// Owner and Service are set for eventReset, Service for eventLimits and eventCold.
	Owner   string
	Service string
	// Notices is set for eventSuspects.
	Notices []poison.Notice
	// Limits is set for eventLimits.
	Limits []upstreamlimit.Observation
	// Cold is set for eventCold.
	Cold []coldNotice `wire:"added"`
}

// Adoption is a job that another instance placed, with the decision.
type Adoption struct {
	_        struct{} `cbor:",toarray"`
	Job      Job
	Decision Decision
	// Since is the time since the job was placed.
	Since time.Duration
	// Answered reports whether the first token has arrived.
	Answered bool
}

// placeRequest is a call to a home: events, which are applied first, and a job to
// place, if any.
type placeRequest struct {
	_      struct{} `cbor:",toarray"`
	Events []event
	Job    *Job
	// Seen holds the versions that the sender has seen, for RevisionExchange.
	Seen []deployment.Revision
}

// placeAnswer is the reply of a home.
type placeAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Decision is set if a job was to be placed.
	Decision *Decision
	Seen     []deployment.Revision
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // only for types that CBOR cannot encode
	}
	return data
}

func decode(data []byte, v any, from string) error {
	return trace.Wrap(wire.Unmarshal(data, v, from), "decoding a message about placement")
}

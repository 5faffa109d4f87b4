package placement

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// topicPlace is the topic of calls to a service's home.
const topicPlace = "placement"

// eventKind says what an event tells.
type eventKind uint8

const (
	// eventAdopt tells of a job that another instance placed.
	eventAdopt eventKind = iota + 1
	// eventFirst tells that the first token or answer arrived.
	eventFirst
	// eventEnd tells how an attempt ended.
	eventEnd
	// eventReset tells that the owner's jobs of a service are those that
	// follow, and no others.
	eventReset
)

// event is news of a job for its service's home.
type event struct {
	_       struct{} `cbor:",toarray"`
	Kind    eventKind
	ID      string
	Outcome Outcome
	// Adopted is set for eventAdopt.
	Adopted *Adoption
	// Owner and Service are set for eventReset.
	Owner   string
	Service string
}

// Adoption is a job with its place.
type Adoption struct {
	_        struct{} `cbor:",toarray"`
	Job      Job
	Decision Decision
	// Since is how long ago the job was placed.
	Since time.Duration
	// Answered says that the first token has arrived.
	Answered bool
}

// placeRequest is a call to a home: news first, then a job to place, if any.
type placeRequest struct {
	_      struct{} `cbor:",toarray"`
	Events []event
	Job    *Job
	// Seen is what the sender knows of the store, for deployment.Exchange.
	Seen []int64
}

// placeAnswer is a home's answer.
type placeAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Decision is set if a job was to be placed.
	Decision *Decision
	Seen     []int64
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // only for types that CBOR cannot hold
	}
	return data
}

func decode(data []byte, v any) error {
	return trace.Wrap(cbor.Unmarshal(data, v), "decoding a message about placement")
}

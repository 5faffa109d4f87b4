package admin

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/catalogue"
)

// statusOf361f2d3 is InstanceStatus as the build 361f2d3 has it.
type statusOf361f2d3 struct {
	ID          string             `cbor:"1,keyasint"`
	Incarnation uint64             `cbor:"2,keyasint"`
	Address     string             `cbor:"3,keyasint"`
	DataCentre  string             `cbor:"4,keyasint"`
	Region      string             `cbor:"5,keyasint"`
	Phase       Phase              `cbor:"6,keyasint"`
	Revision    catalogue.Revision `cbor:"7,keyasint"`
	Digest      string             `cbor:"8,keyasint"`
	Started     time.Time          `cbor:"9,keyasint"`
}

// TestStatusOfOtherBuildIsUnreadable checks that this build and the one before the status named
// a build read each other's answers.
func TestStatusOfOtherBuildIsUnreadable(t *testing.T) {
	started := time.Unix(1_000_000, 0)
	theirs := statusOf361f2d3{ID: "i1", Incarnation: 2, Phase: PhaseReady, Revision: 3, Digest: "d", Started: started}
	ours := InstanceStatus{ID: "i1", Incarnation: 2, Phase: PhaseReady, Revision: 3, Digest: "d", Started: started, Build: "b"}
	data, err := cbor.Marshal(ours)
	if err != nil {
		t.Fatal(err)
	}
	var read statusOf361f2d3
	if err := cbor.Unmarshal(data, &read); err != nil || !read.Started.Equal(started) || read.Digest != "d" {
		t.Errorf("the older build reads %+v, %v", read, err)
	}
	if data, err = cbor.Marshal(theirs); err != nil {
		t.Fatal(err)
	}
	var got InstanceStatus
	if err := cbor.Unmarshal(data, &got); err != nil || !got.Started.Equal(started) || got.Build != "" {
		t.Errorf("this build reads %+v, %v", got, err)
	}
}

package admin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// topicStatus is the topic of calls for the status of an instance.
const topicStatus peer.Topic = "admin/status"

// Bounds of the status calls to other instances.
const (
	// statusTimeout bounds one call.
	statusTimeout = time.Second
	// maxStatusCalls bounds the number of concurrent calls.
	maxStatusCalls = 16
)

// ownStatus returns the status of this instance.
func (a *api) ownStatus() InstanceStatus {
	s := a.describe(a.Bus.Self())
	s.Started = a.started
	s.Build = build.ID()
	s.Phase = PhaseReady
	switch {
	case a.Draining != nil && a.Draining():
		s.Phase = PhaseDraining
	case a.readiness() != nil:
		s.Phase = PhaseStarting
	}
	if snap := a.Replica.Snapshot(); snap != nil {
		s.Revision = snap.Revision()
		s.Digest = snap.Digest().String()
	}
	return s
}

// describe returns the fields of a member's status that the bus knows, with the
// phase PhaseUnreachable.
func (a *api) describe(m peer.Member) InstanceStatus {
	return InstanceStatus{
		ID:          m.ID,
		Incarnation: m.Incarnation,
		Address:     m.Address,
		DataCentre:  m.DataCentre,
		Region:      m.Region,
		Phase:       PhaseUnreachable,
	}
}

// handleStatus answers the status call of another instance.
func (a *api) handleStatus(context.Context, string, []byte) ([]byte, error) {
	return cbor.Marshal(a.ownStatus())
}

// status answers with the status of all members, collected with up to
// maxStatusCalls calls at a time.
func (a *api) status(w http.ResponseWriter, r *http.Request, _ catalogue.Operator) error {
	members := a.Bus.Members()
	answer := Status{Instance: a.Bus.Self().ID, Instances: make([]InstanceStatus, len(members))}
	slots := make(chan struct{}, maxStatusCalls)
	var wg sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			defer panics.Recover(log.WithField("member", m.ID), func() { answer.Instances[i] = a.describe(m) })
			answer.Instances[i] = a.statusOf(r.Context(), m)
		})
	}
	wg.Wait()
	return writeJSON(w, answer)
}

// statusOf returns the status of a member; one that does not answer is
// PhaseUnreachable.
func (a *api) statusOf(ctx context.Context, m peer.Member) InstanceStatus {
	if m.ID == a.Bus.Self().ID {
		return a.ownStatus()
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status := a.describe(m)
	data, err := a.Bus.Call(ctx, m.ID, topicStatus, nil)
	if err != nil {
		return status
	}
	var answer InstanceStatus
	if err := wire.Unmarshal(data, &answer, m.ID); err != nil {
		return status
	}
	return answer
}

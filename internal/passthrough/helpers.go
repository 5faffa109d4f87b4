package passthrough

import (
	"context"
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Reserver reserves KV memory of engines.
type Reserver interface {
	// Reserve reserves memory under a name, or renews the reservation, for a lease
	// that starts when the call arrives.
	Reserve(ctx context.Context, engine deployment.Upstream, name string, tokens int, lease time.Duration) error
	Release(ctx context.Context, engine deployment.Upstream, name string) error
}

// prepareHelpers adds the helpers of an attempt to out and reserves memory at them.
func (h *Handler) prepareHelpers(ctx context.Context, rq *request, a *attempt, view *deployment.View, out *UpstreamCall) *result.Error {
	var holds []hold
	var left []string
	for i, part := range a.decision.Helpers {
		up, known := view.Upstream(part.Upstream)
		if known && view.Evacuated(up.DataCentre) {
			return refusedEvacuated(up)
		}
		if !known || up.Leaving || h.opts.Placer.Paused(up) {
			left = append(left, part.Upstream)
			continue
		}
		if err := h.checkWithheld(a.decision, up); err != nil {
			return err
		}
		a.helpers = append(a.helpers, up)
		helper := Helper{Address: up.Address}
		if part.ReservedTokens > 0 {
			helper.Reservation = a.job + "-" + strconv.Itoa(i)
			holds = append(holds, hold{engine: up, name: helper.Reservation, tokens: part.ReservedTokens})
		}
		out.Helpers = append(out.Helpers, helper)
	}
	if len(left) > 0 {
		err := &helperError{upstreams: left, cause: errLeft}
		return result.Wrap(err, result.NoUpstream, "engines %v have left or take no requests now", left).WithRetryAfter(transientRetryAfter)
	}
	// Reserved memory is filled in the order of the helpers, so those with a reservation
	// go first.
	sortReservedFirst(out.Helpers)
	if len(holds) == 0 {
		return nil
	}
	if refused := h.evacuatedHold(ctx, holds); refused != nil {
		return refused
	}
	checked := context.WithValue(ctx, maySendKey{}, func() bool { return h.evacuatedHold(ctx, holds) == nil })
	lease, err := h.reserve(checked, holds, time.Until(rq.deadline))
	if err != nil {
		return result.Wrap(err, result.Overloaded, "the engines have no memory for the prompt now").WithRetryAfter(transientRetryAfter)
	}
	a.holds, a.release = true, lease.release
	return nil
}

// blameHelper records the helper with the address that a refusal names as its cause, so that the next
// attempt does without it. The engine that refused may be sound.
func (rq *request) blameHelper(a *attempt, address string) {
	for _, up := range a.helpers {
		if up.Address == address {
			rq.atFault, rq.blamed = append(rq.atFault, up.ID), up.ID
		}
	}
}

// evacuatedHold returns the refusal of holds of which one is in an evacuated data centre; nil if none is.
// The instance may have been stopped since the engines were chosen.
func (h *Handler) evacuatedHold(ctx context.Context, holds []hold) *result.Error {
	if !h.opts.AwaitCurrent(ctx) {
		return result.New(result.UpstreamRefused, "the request ended before engine memory was reserved").WithRetryAfter(transientRetryAfter)
	}
	view := h.opts.State.View()
	for _, one := range holds {
		if view.Evacuated(one.engine.DataCentre) {
			return refusedEvacuated(one.engine)
		}
	}
	return nil
}

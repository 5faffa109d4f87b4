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
	for i, part := range a.decision.Helpers {
		up, known := view.Upstream(part.Upstream)
		if !known || up.Leaving || h.opts.Placer.Paused(up) {
			return result.New(result.NoUpstream, "engine %s has left or takes no requests now", part.Upstream).WithRetryAfter(transientRetryAfter)
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
	// Reserved memory is filled in the order of the helpers, so those with a reservation
	// go first.
	sortReservedFirst(out.Helpers)
	if len(holds) == 0 {
		return nil
	}
	lease, err := h.reserve(ctx, holds, time.Until(rq.deadline))
	if err != nil {
		return result.Wrap(err, result.Overloaded, "the engines have no memory for the prompt now").WithRetryAfter(transientRetryAfter)
	}
	a.holds, a.release = true, lease.release
	return nil
}

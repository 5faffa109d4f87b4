// Package gang places a prompt that is larger than one engine's memory on
// several engines at once: all parts are reserved, or none.
package gang

import (
	"context"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Reserver makes and frees memory reservations on engines. Implementations
// perform network calls; both methods must honour ctx.
type Reserver interface {
	// Reserve holds req.Tokens on an engine until req.DeadlineUnixMs. It
	// returns ErrNoMemory, possibly wrapped, if the engine answered that it
	// has not enough free memory; after any other error the reservation may
	// exist.
	Reserve(ctx context.Context, upstreamID string, req upstream.ReserveRequest) error
	// Release frees a reservation by name. Releasing an absent reservation
	// succeeds.
	Release(ctx context.Context, upstreamID, name string) error
}

// Package gang reserves memory for a prompt that is larger than one engine's memory
// on several engines, the gang that serves the prompt together. All parts are
// reserved, or none.
package gang

import (
	"context"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Reserver makes and releases memory reservations on engines. Implementations
// perform network calls; both methods must honour ctx.
type Reserver interface {
	// Reserve reserves req.Tokens on an engine until req.DeadlineUnixMs. It
	// returns ErrNoMemory, possibly wrapped, if the engine answered that it has
	// too little free memory; after any other error the reservation may exist.
	Reserve(ctx context.Context, upstreamID string, req upstream.ReserveRequest) error
	// Release releases a reservation by name. It succeeds if the reservation
	// does not exist.
	Release(ctx context.Context, upstreamID, name string) error
}

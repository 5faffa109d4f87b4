// Package gang reserves memory on several engines for a prompt that does not fit into
// the memory of one. These engines, a gang, serve the prompt together. Plan splits the
// prompt into one share, or part, for each engine; an Acquirer reserves all parts, or
// none.
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

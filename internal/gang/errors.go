package gang

import (
	"errors"
	"fmt"
)

// ErrNoMemory is returned if an engine refused a reservation for lack of free
// memory.
var ErrNoMemory = errors.New("not enough free memory for the reservation")

// EngineError reports that a reservation failed on an engine for another reason
// than lack of memory.
type EngineError struct {
	UpstreamID string
	Cause      error
}

// Error implements error.
func (e *EngineError) Error() string {
	return fmt.Sprintf("reserving memory on engine %s: %v", e.UpstreamID, e.Cause)
}

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error { return e.Cause }

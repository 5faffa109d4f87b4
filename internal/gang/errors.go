package gang

import "errors"

// ErrNoMemory says that an engine refused a reservation for lack of free
// memory.
var ErrNoMemory = errors.New("not enough free memory for the reservation")

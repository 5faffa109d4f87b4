package enginemodel

import "slices"

// Clone returns a copy of the engine whose predictions and changes leave the original as it is.
func (e *Engine) Clone() *Engine {
	c := *e
	c.sequences = slices.Clone(e.sequences)
	c.scratch = nil
	return &c
}

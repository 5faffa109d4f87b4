package route

import "slices"

// Filter states whether a candidate may take a request now.
type Filter func(c *Candidate, d *Demand) bool

// All returns a filter that passes what each of filters passes.
func All(filters ...Filter) Filter {
	return func(c *Candidate, d *Demand) bool {
		for _, f := range filters {
			if !f(c, d) {
				return false
			}
		}
		return true
	}
}

// Usable passes upstreams that are in service and were not tried yet.
func Usable(c *Candidate, d *Demand) bool {
	return c.Share > 0 && !slices.Contains(d.Avoid, c.ID)
}

// Untried passes upstreams that were not tried yet, whatever their state.
func Untried(c *Candidate, d *Demand) bool { return !slices.Contains(d.Avoid, c.ID) }

// NotExclusive passes upstreams that are not kept for another request.
func NotExclusive(c *Candidate, _ *Demand) bool { return !c.Exclusive }

// Idle passes upstreams without any request if the demand must run alone.
func Idle(c *Candidate, d *Demand) bool {
	return !d.Alone || (c.Streams == 0 && c.Queued <= 0)
}

// FitsMemory passes upstreams whose free memory holds the request. A long
// request leaves ShortReserve of the memory free unless it is aged or the
// upstream is otherwise empty. A huge one waits for memory in the engine, which
// frees it as streams end while smaller requests go first: an engine kept empty
// for it in the router would idle.
func FitsMemory(c *Candidate, d *Demand) bool {
	if d.Plain || c.MemoryTokens == 0 {
		return true
	}
	if d.Size == SizeHuge && !d.Alone {
		return d.PromptTokens+d.OutputTokens <= c.MemoryTokens
	}
	free := c.FreeTokens
	if !d.IsShort() && !d.Aged && c.Streams > 0 {
		free -= int(d.ShortReserve * float64(c.MemoryTokens))
	}
	return d.PromptTokens+d.OutputTokens-d.cachedOn(c) <= free
}

// WithinWindow passes upstreams whose queued work of the same or a smaller size
// is below the demand's window.
func WithinWindow(c *Candidate, d *Demand) bool {
	return workUpTo(c, d.Size) < d.Window*c.Rate*c.Share
}

// OpenToLong passes upstreams that take a request of this size: short-only ones
// take no long request that has time to wait.
func OpenToLong(c *Candidate, d *Demand) bool {
	return d.IsShort() || d.Aged || !c.ShortOnly
}

// Standard is the filter of the default algorithm.
func Standard(c *Candidate, d *Demand) bool {
	return Usable(c, d) && NotExclusive(c, d) && OpenToLong(c, d) &&
		Idle(c, d) && WithinWindow(c, d) && FitsMemory(c, d)
}

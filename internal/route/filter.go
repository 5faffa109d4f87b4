package route

import "slices"

// Filter reports whether a candidate may get a request now.
type Filter func(c *Candidate, d *Demand) bool

// All returns a filter that passes a candidate if each of filters passes it.
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

// Usable passes upstreams that have a share of the traffic and were not tried yet.
func Usable(c *Candidate, d *Demand) bool {
	return c.Share > 0 && !slices.Contains(d.Avoid, c.ID)
}

// NotTried passes upstreams that were not tried yet, even if they are not in
// service.
func NotTried(c *Candidate, d *Demand) bool { return !slices.Contains(d.Avoid, c.ID) }

// NotExclusive passes upstreams that are not kept free for another request.
func NotExclusive(c *Candidate, _ *Demand) bool { return !c.Exclusive }

// Idle passes any upstream, or only those without requests if the demand must run
// alone.
func Idle(c *Candidate, d *Demand) bool {
	return !d.Alone || (c.Streams == 0 && c.Queued <= 0)
}

// FitsMemory passes upstreams whose free memory is enough for the request. A long
// request leaves ShortReserve of the memory free unless it is aged or the
// upstream serves no stream. A huge one only has to fit an empty engine: it waits
// for memory there, which is released as streams end, while smaller requests run
// first. If it waited in the queue instead, an engine would idle until enough of
// its memory is free.
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

// WithinQueueLimit passes upstreams whose queued work of the same and smaller sizes is
// below the demand's MaxQueuedSeconds.
func WithinQueueLimit(c *Candidate, d *Demand) bool {
	return workUpTo(c, d.Size) < d.MaxQueuedSeconds*c.Rate*c.Share
}

// OpenToLong passes upstreams that are open to a request of this size: short-only
// ones get a long request only if it is aged.
func OpenToLong(c *Candidate, d *Demand) bool {
	return d.IsShort() || d.Aged || !c.ShortOnly
}

// DefaultFilter is the filter of the default placement algorithm.
func DefaultFilter(c *Candidate, d *Demand) bool {
	return Usable(c, d) && NotExclusive(c, d) && OpenToLong(c, d) &&
		Idle(c, d) && WithinQueueLimit(c, d) && FitsMemory(c, d)
}

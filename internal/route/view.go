// Package route chooses an upstream for a request. Its functions are pure: they
// read a view of the upstreams, do no I/O, read no clock and keep no state.
//
// A decision filters candidates, scores those that pass, and picks one. The
// score is an estimate in seconds of how soon the request would get its first
// token, plus what its memory would cost others.
package route

// Candidate is one upstream as a decision sees it. The owner of a View updates
// candidates between decisions only.
type Candidate struct {
	ID         string
	DataCentre string
	// Queued is the estimate of prompt tokens that are not computed yet,
	// corrected for sends that the last report does not count.
	Queued float64
	// Work is the part of Queued whose size is known, by size.
	Work [Sizes]float64
	// Streams is the estimate of the streams that are being served.
	Streams int
	// LongStreams is the part of Streams with long prompts.
	LongStreams int
	// FreeTokens is the estimate of the free KV memory, in tokens.
	FreeTokens int
	// MemoryTokens is the whole KV memory, in tokens; 0 is unknown.
	MemoryTokens int
	// Rate is the estimated prefill speed in tokens per second.
	Rate float64
	// Share is the part of normal traffic that the upstream should get, from
	// 0 (none) to 1; slow and warming upstreams lie between.
	Share float64
	// ShortOnly upstreams take a long request only if it is urgent.
	ShortOnly bool
	// Exclusive upstreams are kept free for one waiting or suspect request.
	Exclusive bool
}

// View is the set of upstreams that serve one model or service.
type View []*Candidate

// Demand is what a decision needs to know of a request.
type Demand struct {
	PromptTokens int
	OutputTokens int
	Size         Size
	// Aged says that the request has little time left and may use upstreams
	// and memory that are otherwise kept for short requests.
	Aged bool
	// Alone requests need an upstream without any other request.
	Alone bool
	// Plain requests go to a plain service and use no KV memory.
	Plain      bool
	DataCentre string
	// Avoid lists upstreams that were tried already.
	Avoid []string
	// Holders lists upstreams that probably cache a prefix of the prompt.
	Holders []Holder
	// Window is the most queued work, in seconds, that an upstream may have
	// to take this request.
	Window float64
	// ShortReserve is the part of an upstream's memory, from 0 to 1, that
	// long requests leave free.
	ShortReserve float64
}

// Holder is an upstream that probably caches a prefix of the prompt.
type Holder struct {
	Candidate *Candidate
	// Tokens is the length of the cached prefix.
	Tokens int
}

// cachedOn returns the length of the prefix that c probably caches.
func (d *Demand) cachedOn(c *Candidate) int {
	for i := range d.Holders {
		if d.Holders[i].Candidate == c {
			return min(d.Holders[i].Tokens, d.PromptTokens)
		}
	}
	return 0
}

// Random is the source of random choices, for example *rand.Rand.
type Random interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// Package route chooses an upstream for a request. Its functions do no I/O, read
// no clock and keep no state: a decision depends only on the view of the upstreams,
// the demand and the source of random choices.
//
// A decision filters the candidates, scores those that pass, and picks one. A
// Candidate is the state of one upstream, a View the candidates of one model or
// service, and a Demand what a request needs. The default score, LeastWork, estimates
// the time in seconds until the request gets its first token, plus the cost of its
// memory use for other requests.
package route

// Candidate is the state of one upstream that decisions use. The owner of a View
// updates its candidates only between decisions.
type Candidate struct {
	ID         string
	DataCentre string
	// Queued is the estimated number of prompt tokens that are not computed
	// yet, including requests that the last load report does not count.
	Queued float64
	// Work is the part of Queued whose size is known, by size.
	Work [Sizes]float64
	// Streams is the estimated number of streams being served.
	Streams int
	// LongStreams is the part of Streams with long prompts.
	LongStreams int
	// FreeTokens is the estimated free KV memory, in tokens.
	FreeTokens int
	// MemoryTokens is the total KV memory, in tokens; 0 is unknown.
	MemoryTokens int
	// Rate is the estimated prefill speed in tokens per second.
	Rate float64
	// Share is the fraction of its normal traffic that the upstream should get,
	// from 0 (none) to 1; slow and warming upstreams lie between.
	Share float64
	// ShortOnly upstreams get a long request only if it is aged.
	ShortOnly bool
	// Exclusive upstreams are kept free for one waiting or suspect request.
	Exclusive bool
}

// View is the set of upstreams that serve one model or service.
type View []*Candidate

// Demand describes a request to a decision.
type Demand struct {
	PromptTokens int
	OutputTokens int
	Size         Size
	// Aged reports whether the request has waited for long and may use upstreams
	// and memory that are otherwise reserved for short requests.
	Aged bool
	// Alone requests need an upstream without any other request.
	Alone bool
	// Plain requests go to a plain service and use no KV memory.
	Plain      bool
	DataCentre string
	// Avoid lists upstreams that were tried already.
	Avoid []string
	// Holders lists the upstreams that probably cache a prefix of the prompt.
	Holders []Holder
	// MaxQueuedSeconds bounds the queued work of an upstream that may get this
	// request.
	MaxQueuedSeconds float64
	// ShortReserve is the fraction of an upstream's memory that long requests
	// leave free.
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
	// IntN returns a random number from 0 to n-1.
	IntN(n int) int
}

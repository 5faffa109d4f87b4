package route

// Scorer estimates what a request costs on a candidate; lower is better.
type Scorer func(c *Candidate, d *Demand) float64

const (
	// longerWorkWeight is the fraction of the queued work of longer prompts that
	// delays a request of higher priority: chunks in progress end first.
	longerWorkWeight = 0.05
	// streamCostTokens is the delay that each running stream adds, expressed as
	// the prompt tokens that could be computed in that time.
	streamCostTokens = 40
	// chunkDelayTokens is the delay of a short request on an upstream that
	// computes a longer prompt: about one chunk of that prompt.
	chunkDelayTokens = 1000
	// remoteCostSeconds is the cost of an upstream in another data centre.
	remoteCostSeconds = 0.002
	// cachedPrefixWeight is the fraction of a prefix that counts as cached,
	// because the prefix index lags behind and can be wrong.
	cachedPrefixWeight = 0.8
	// fullMemoryCostTokens is the cost of an upstream whose memory is all in use.
	fullMemoryCostTokens = 4000
)

// EstimatedWork returns the work of a request on c: the prompt tokens that are
// probably not cached there.
func EstimatedWork(c *Candidate, d *Demand) float64 {
	return float64(d.PromptTokens) - cachedPrefixWeight*float64(d.cachedOn(c))
}

// workUpTo returns the queued work on c of the given size and smaller sizes. Work
// of unknown size counts as huge.
func workUpTo(c *Candidate, size Size) float64 {
	if size == SizeHuge {
		return c.Queued
	}
	sum := 0.0
	for _, work := range c.Work[:size+1] {
		sum += work
	}
	return sum
}

// WorkAhead returns the queued work on c that delays the request: that of the same
// and smaller sizes, and longerWorkWeight of the rest.
func WorkAhead(c *Candidate, d *Demand) float64 {
	ahead := workUpTo(c, d.Size)
	return ahead + longerWorkWeight*max(c.Queued-ahead, 0)
}

// LeastWork scores by the estimated time to the first token in seconds, plus small
// costs for running streams, used memory and another data centre. The sum is
// divided by the upstream's share, which raises it for slow and warming ones.
func LeastWork(c *Candidate, d *Demand) float64 {
	tokens := WorkAhead(c, d) + EstimatedWork(c, d) + streamCostTokens*float64(c.Streams)
	if d.IsShort() && c.Queued > workUpTo(c, d.Size) {
		tokens += chunkDelayTokens
	}
	if c.MemoryTokens > 0 {
		used := float64(c.MemoryTokens-c.FreeTokens) / float64(c.MemoryTokens)
		tokens += fullMemoryCostTokens * used * used
	}
	seconds := tokens / c.Rate
	if d.DataCentre != "" && c.DataCentre != d.DataCentre {
		seconds += remoteCostSeconds
	}
	return seconds / c.Share
}

// LeastRequests scores by the number of streams.
func LeastRequests(c *Candidate, _ *Demand) float64 { return float64(c.Streams) }

package route

// Scorer estimates what a request costs on a candidate; lower is better.
type Scorer func(c *Candidate, d *Demand) float64

const (
	// longInterference is the part of queued longer work that delays a
	// request although its priority is higher: chunks in progress end first.
	longInterference = 0.05
	// streamTokens is the delay that each running stream adds, as the prompt
	// tokens that could be computed in that time.
	streamTokens = 40
	// chunkTokens is the delay of a short request on an upstream that
	// computes a longer prompt: about one chunk of that prompt.
	chunkTokens = 1000
	// remoteSeconds is the cost of an upstream in another data centre.
	remoteSeconds = 0.002
	// cacheTrust is the part of a hinted prefix that is counted, since hints
	// are late and can be wrong.
	cacheTrust = 0.8
	// memoryTokens is the cost of using up all of an upstream's memory.
	memoryTokens = 4000
)

// EstimatedWork returns the work of a request on c: prompt tokens that are
// probably not cached there.
func EstimatedWork(c *Candidate, d *Demand) float64 {
	return float64(d.PromptTokens) - cacheTrust*float64(d.cachedOn(c))
}

// workUpTo returns the queued work on c of the given size and smaller ones.
// Work of unknown size counts as huge.
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

// WorkAhead returns the queued work on c that delays the request: work of the
// same or a smaller size, and a little of the rest.
func WorkAhead(c *Candidate, d *Demand) float64 {
	ahead := workUpTo(c, d.Size)
	return ahead + longInterference*max(c.Queued-ahead, 0)
}

// LeastWork scores by the estimated time to the first token in seconds, with
// small terms for streams, memory and distance. A slow or warming upstream's
// time is divided by its share.
func LeastWork(c *Candidate, d *Demand) float64 {
	tokens := WorkAhead(c, d) + EstimatedWork(c, d) + streamTokens*float64(c.Streams)
	if d.IsShort() && c.Queued > workUpTo(c, d.Size) {
		tokens += chunkTokens
	}
	if c.MemoryTokens > 0 {
		used := float64(c.MemoryTokens-c.FreeTokens) / float64(c.MemoryTokens)
		tokens += memoryTokens * used * used
	}
	seconds := tokens / c.Rate
	if d.DataCentre != "" && c.DataCentre != d.DataCentre {
		seconds += remoteSeconds
	}
	return seconds / c.Share
}

// LeastRequests scores by the number of streams.
func LeastRequests(c *Candidate, _ *Demand) float64 { return float64(c.Streams) }

package route

// Scorer estimates what a request costs on a candidate; lower is better.
type Scorer func(c *Candidate, d *Demand) float64

const (
	// longInterference is the part of queued long work that delays a short
	// request although its priority is higher: chunks in progress end first.
	longInterference = 0.05
	// streamSeconds is the delay that each running stream adds.
	streamSeconds = 0.002
	// longStreamSeconds is the delay that each long stream adds for a short
	// request that shares its batches.
	longStreamSeconds = 0.05
	// remoteSeconds is the cost of an upstream in another data centre.
	remoteSeconds = 0.002
	// cacheTrust is the part of a hinted prefix that is counted, since hints
	// are late and can be wrong.
	cacheTrust = 0.8
	// memorySeconds is the cost of using up all of an upstream's memory.
	memorySeconds = 0.2
)

// EstimatedWork returns the work of a request on c: prompt tokens that are
// probably not cached there.
func EstimatedWork(c *Candidate, d *Demand) float64 {
	return float64(d.PromptTokens) - cacheTrust*float64(d.cachedOn(c))
}

// WorkAhead returns the queued work on c that runs before the request.
func WorkAhead(c *Candidate, d *Demand) float64 {
	if !d.Short {
		return c.Queued
	}
	return c.Urgent + longInterference*max(c.Queued-c.Urgent, 0)
}

// LeastWork scores by the estimated time to the first token in seconds, with
// small terms for streams, memory and distance. A slow or warming upstream's
// time is divided by its share.
func LeastWork(c *Candidate, d *Demand) float64 {
	seconds := (WorkAhead(c, d)+EstimatedWork(c, d))/c.Rate + streamSeconds*float64(c.Streams)
	if d.Short {
		seconds += longStreamSeconds * float64(c.LongStreams)
	}
	if c.MemoryTokens > 0 {
		used := float64(c.MemoryTokens-c.FreeTokens) / float64(c.MemoryTokens)
		seconds += memorySeconds * used * used
	}
	if d.DataCentre != "" && c.DataCentre != d.DataCentre {
		seconds += remoteSeconds
	}
	return seconds / c.Share
}

// LeastRequests scores by the number of streams.
func LeastRequests(c *Candidate, _ *Demand) float64 { return float64(c.Streams) }

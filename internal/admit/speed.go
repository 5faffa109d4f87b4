package admit

import "time"

const (
	// speedGain is the weight of a new sample in the moving averages.
	speedGain = 0.1
	// serviceTimeFactor reduces estimated service times, so that a request is
	// refused only if the time left is clearly too short.
	serviceTimeFactor = 0.7
	// minTokenSamples is the number of completed answers that must be measured
	// before estimates include the time for the output.
	minTokenSamples = 20
)

// speed estimates how long requests of a pool take once they are sent, from
// moving averages.
type speed struct {
	// best is the highest measured prefill speed in tokens per second; 0 is
	// unknown.
	best float64
	// rate is the mean prefill speed in tokens per second; 0 is unknown.
	rate float64
	// tokenSeconds is the mean time between two tokens of one stream.
	tokenSeconds float64
	// outputShare is the mean ratio of the output generated to the output
	// estimated.
	outputShare float64
	// samples counts the completed answers.
	samples int
}

// addPrefill adds a sample of the prefill speed.
func (s *speed) addPrefill(tokensPerSecond float64) {
	if s.rate == 0 {
		s.rate = tokensPerSecond
		return
	}
	s.rate += speedGain * (tokensPerSecond - s.rate)
}

// addOutput adds a sample of a completed answer: its actual and its estimated
// number of tokens, and the time d from its first token to its end.
func (s *speed) addOutput(tokens, estimated int, d time.Duration) {
	if tokens < 2 || estimated <= 0 {
		return
	}
	interval := d.Seconds() / float64(tokens-1)
	share := float64(tokens) / float64(estimated)
	if s.samples == 0 {
		s.tokenSeconds, s.outputShare = interval, share
	}
	s.tokenSeconds += speedGain * (interval - s.tokenSeconds)
	s.outputShare += speedGain * (share - s.outputShare)
	s.samples++
}

// serviceTime returns an optimistic estimate of the time that a request takes on
// an idle upstream; zero while nothing is measured.
func (s *speed) serviceTime(work float64, outputTokens int) time.Duration {
	seconds := 0.0
	if s.best > 0 {
		seconds += work / s.best
	}
	if s.samples >= minTokenSamples {
		seconds += float64(outputTokens) * s.outputShare * s.tokenSeconds
	}
	return time.Duration(serviceTimeFactor * seconds * float64(time.Second))
}

const (
	// throughputWindow is the time over which one sample of a queue's
	// throughput is taken.
	throughputWindow = 500 * time.Millisecond
	// minThroughputShare is the fraction of the capacity that is the lower
	// bound of the throughput in estimates.
	minThroughputShare = 0.5
	// throughputGain is the weight of a new sample in the moving average.
	throughputGain = 0.3
)

// throughput measures how fast a queue is served while it is not empty.
type throughput struct {
	since time.Time
	work  float64
	// rate is the moving average in tokens per second; 0 is unknown.
	rate float64
}

// begin starts a window.
func (t *throughput) begin(now time.Time) {
	t.since = now
	t.work = 0
}

// served counts work that left the queue for an upstream.
func (t *throughput) served(work float64) { t.work += work }

// tick takes a sample and starts a new window if the window is over.
func (t *throughput) tick(now time.Time) {
	elapsed := now.Sub(t.since)
	if t.since.IsZero() || elapsed < throughputWindow {
		return
	}
	sample := t.work / elapsed.Seconds()
	if t.rate == 0 {
		t.rate = sample
	}
	t.rate += throughputGain * (sample - t.rate)
	t.begin(now)
}

// wait estimates the time until the work ahead in the queue is served; zero
// while the throughput is unknown. capacity is this instance's share of the
// upstreams' speed in tokens per second. It bounds the throughput from below, so
// that a queue which is blocked for a moment does not count as stopped.
func (t *throughput) wait(ahead, capacity float64) time.Duration {
	if t.rate <= 0 {
		return 0
	}
	rate := max(t.rate, minThroughputShare*capacity)
	return time.Duration(ahead / rate * float64(time.Second))
}

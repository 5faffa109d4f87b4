package admit

import "time"

const (
	// speedGain is the weight of one sample of a speed.
	speedGain = 0.1
	// optimism is the part of an estimated service time that is believed
	// when a request is refused for lack of time.
	optimism = 0.7
	// minTokenSamples come before the token interval is believed.
	minTokenSamples = 20
)

// speed estimates how long requests of a pool take once they are sent.
type speed struct {
	// best is the highest measured prefill speed in tokens per second; 0 is
	// unknown.
	best float64
	// rate is the mean prefill speed in tokens per second; 0 is unknown.
	rate float64
	// tokenSeconds is the mean time between two tokens of one stream.
	tokenSeconds float64
	// outputShare is the mean part of the estimated output that is generated.
	outputShare float64
	samples     int
}

// prefill takes a sample of the prefill speed.
func (s *speed) prefill(tokensPerSecond float64) {
	if s.rate == 0 {
		s.rate = tokensPerSecond
		return
	}
	s.rate += speedGain * (tokensPerSecond - s.rate)
}

// output takes a completed answer of tokens that took d after its first token.
func (s *speed) output(tokens, estimated int, d time.Duration) {
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

// service returns an optimistic estimate of the time that a request takes on
// an idle upstream; zero while nothing is measured.
func (s *speed) service(work float64, outputTokens int) time.Duration {
	seconds := 0.0
	if s.best > 0 {
		seconds += work / s.best
	}
	if s.samples >= minTokenSamples {
		seconds += float64(outputTokens) * s.outputShare * s.tokenSeconds
	}
	return time.Duration(optimism * seconds * float64(time.Second))
}

const (
	// drainWindow is the time over which the speed of the queue is measured.
	drainWindow = 500 * time.Millisecond
	// leastDrain is the part of the capacity below which the speed of the
	// queue is not believed.
	leastDrain = 0.5
	// drainGain is the weight of one window.
	drainGain = 0.3
)

// drain measures how fast the queue is served while it is not empty.
type drain struct {
	since time.Time
	work  float64
	rate  float64
}

// begin starts a window when the queue gets its first request.
func (d *drain) begin(now time.Time) {
	d.since = now
	d.work = 0
}

// served counts work that left the queue for an upstream.
func (d *drain) served(work float64) { d.work += work }

// tick closes the window if it is over.
func (d *drain) tick(now time.Time) {
	elapsed := now.Sub(d.since)
	if d.since.IsZero() || elapsed < drainWindow {
		return
	}
	sample := d.work / elapsed.Seconds()
	if d.rate == 0 {
		d.rate = sample
	}
	d.rate += drainGain * (sample - d.rate)
	d.begin(now)
}

// wait returns how long work ahead in the queue takes; zero while unknown.
// capacity is this instance's part of the upstreams' speed in tokens per second:
// a queue that is held up for a moment is not taken for one that stands still.
func (d *drain) wait(ahead, capacity float64) time.Duration {
	if d.rate <= 0 {
		return 0
	}
	rate := max(d.rate, leastDrain*capacity)
	return time.Duration(ahead / rate * float64(time.Second))
}

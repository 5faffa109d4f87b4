package costmodel

import (
	"math"
	"time"
)

const (
	// paceGain is the weight of an answer in the mean of an upstream's work times.
	paceGain = 0.2
	// paceAllowance is the deviation, in standard deviations, up to which an answer speaks
	// against slowness. slowEvidence is the sum of what is above it from which on an upstream
	// counts as slow, and usualEvidence that below which it no longer does. With them one of some
	// thousand answers of an upstream with the usual pace makes it slow by chance, and four or
	// five answers that take five times as long do.
	paceAllowance = 0.75
	slowEvidence  = 4.0
	usualEvidence = 3.0
	// maxEvidence is close to slowEvidence, so that one or two usual answers end a slow phase.
	maxEvidence = 4.5
	// maxDeviation bounds the deviation of a single answer.
	maxDeviation = 3.0
	// minSpread is the smallest standard deviation of work times, in octaves, that is assumed:
	// the measurement itself varies by some milliseconds.
	minSpread = 0.3
	// evidenceHalfLife is the time in which evidence of an upstream that does not answer halves.
	evidenceHalfLife = 8 * time.Second
)

// Pace is the pace of an upstream: its work times as a multiple of the usual ones. It is found
// slow by a cumulative sum of the deviations of single answers, since work times differ from
// request to request. The zero value is the usual pace.
type Pace struct {
	// octaves is the mean logarithm of the ratio of work times to the typical one.
	octaves  float64
	evidence float64
	slow     bool
	at       time.Time
}

// Observe records a work time; usual is the distribution of those of all upstreams.
func (p *Pace) Observe(took time.Duration, usual *Work, now time.Time) {
	if took <= 0 || usual.Typical <= 0 {
		return
	}
	octaves := math.Log2(float64(took) / float64(usual.Typical))
	deviation := octaves / max(usual.Spread, minSpread)
	deviation = min(max(deviation, -maxDeviation), maxDeviation)
	p.octaves += paceGain * (octaves - p.octaves)
	p.evidence = min(max(p.aged(now)+deviation-paceAllowance, 0), maxEvidence)
	p.slow = p.evidence >= slowEvidence || p.slow && p.evidence >= usualEvidence
	if !p.slow {
		p.octaves = min(p.octaves, 1)
	}
	p.at = now
}

// aged returns the present evidence of slowness.
func (p *Pace) aged(now time.Time) float64 {
	if p.evidence == 0 || !now.After(p.at) {
		return p.evidence
	}
	return p.evidence * math.Exp2(-float64(now.Sub(p.at))/float64(evidenceHalfLife))
}

// minSlowFactor is the smallest pace of a slow upstream.
const minSlowFactor = 1.5

// Factor returns the pace: 1 if it is usual, more if the upstream is slow. An upstream that is
// faster than usual counts as usual, because a chance run of short requests would otherwise
// draw more work there than it can do.
func (p *Pace) Factor(now time.Time) float64 {
	if !p.slow || p.aged(now) < usualEvidence {
		return 1
	}
	return max(math.Exp2(p.octaves), minSlowFactor)
}

package costmodel

import (
	"math"
	"time"
)

// Buckets of a histogram: each holds values within a factor of 2^(1/perOctave), the first those
// around 2^minOctave and smaller, the last the largest ones.
const (
	perOctave = 4
	minOctave = -8
	maxOctave = 12
	buckets   = perOctave * (maxOctave - minOctave)
	// unitBucket is the bucket whose lower bound is 1.
	unitBucket = -minOctave * perOctave
)

// halfLife is the time in which observations lose half of their weight: long enough for some
// dozens of observations of a workspace, short enough to follow a change within a minute.
const halfLife = 20 * time.Second

// bucketOf returns the bucket of a positive value.
func bucketOf(value float64) int {
	position := math.Floor((math.Log2(value) - minOctave) * perOctave)
	return int(min(max(position, 0), buckets-1))
}

// lowerBound returns the smallest value of a bucket, which need not be a whole number.
func lowerBound(bucket float64) float64 { return math.Exp2(bucket/perOctave + minOctave) }

// bounds holds the lower bounds of all buckets, and the upper bound of the last.
var bounds = func() (list [buckets + 1]float64) {
	for i := range list {
		list[i] = lowerBound(float64(i))
	}
	return list
}()

// middle returns the geometric middle of a bucket.
func middle(bucket int) float64 { return lowerBound(float64(bucket) + 0.5) }

// distribution holds the weight of each bucket.
type distribution [buckets]float64

// quantile returns the value below which the share q of the weight lies; 0 without any weight.
func (d *distribution) quantile(q float64) float64 {
	total := 0.0
	for _, w := range d {
		total += w
	}
	if total <= 0 {
		return 0
	}
	left := q * total
	for i, w := range d {
		if left <= w && w > 0 {
			return lowerBound(float64(i) + left/w)
		}
		left -= w
	}
	return lowerBound(buckets)
}

// mean returns the mean of the values; 0 without any weight.
func (d *distribution) mean() float64 {
	total, sum := 0.0, 0.0
	for i, w := range d {
		total += w
		sum += w * middle(i)
	}
	if total <= 0 {
		return 0
	}
	return sum / total
}

// add adds a histogram's weights, multiplied by scale.
func (d *distribution) add(h *histogram, scale float64) {
	for i, w := range h.weights {
		d[i] += scale * float64(w)
	}
}

// narrow combines the distribution, which has a weight of 1 and counts as prior observations, with the
// observations of a narrower group.
func (d *distribution) narrow(h *histogram, prior float64, now time.Time) {
	n := h.count(now)
	for i := range d {
		d[i] *= prior / (n + prior)
	}
	d.add(h, h.aged(now)/(n+prior))
}

// histogram is a distribution of observations that age.
type histogram struct {
	weights [buckets]float32
	// total is the sum of the weights as of at.
	total float64
	at    time.Time
}

// observe adds an observation in a bucket.
func (h *histogram) observe(bucket int, now time.Time) {
	if factor := h.aged(now); factor < 1 {
		for i := range h.weights {
			h.weights[i] *= float32(factor)
		}
		h.total *= factor
		h.at = now
	}
	if h.at.IsZero() {
		h.at = now
	}
	h.weights[bucket]++
	h.total++
}

// aged returns the factor by which the weights have decayed since the last observation.
func (h *histogram) aged(now time.Time) float64 {
	if h.at.IsZero() || !now.After(h.at) {
		return 1
	}
	return math.Exp2(-float64(now.Sub(h.at)) / float64(halfLife))
}

// count returns the number of observations by their present weight.
func (h *histogram) count(now time.Time) float64 { return h.total * h.aged(now) }

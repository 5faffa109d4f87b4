package admit

import (
	"math"
	"time"
)

const (
	// shortHalfLife is the half-life of the counts of short and all work.
	shortHalfLife = 5 * time.Second
	// maxShortShare is the fraction of engines that may be short-only at a
	// short weight of 1.
	maxShortShare = 0.4
	// shortHeadroom is the ratio of the fraction of short-only engines to the
	// fraction of short work at a short weight of 1.
	shortHeadroom = 2.0
	// shortHysteresis is the minimum change, in engines, that adjusts the number
	// of short-only engines.
	shortHysteresis = 0.75
)

// shortCapacity decides how many engines are short-only, that is, get a long
// request only if it is aged. The number follows changes in the fraction of short
// work within seconds.
type shortCapacity struct {
	shortWork float64
	allWork   float64
	decayedAt time.Time
	// reserved is the number of short-only engines.
	reserved int
}

// addArrival counts the work of a new request.
func (c *shortCapacity) addArrival(work float64, short bool, now time.Time) {
	c.decay(now)
	c.allWork += work
	if short {
		c.shortWork += work
	}
}

// decay decays the counts exponentially with shortHalfLife.
func (c *shortCapacity) decay(now time.Time) {
	if !c.decayedAt.IsZero() {
		factor := math.Exp2(-now.Sub(c.decayedAt).Seconds() / shortHalfLife.Seconds())
		c.shortWork *= factor
		c.allWork *= factor
	}
	c.decayedAt = now
}

// shortOnly returns how many of n engines are short-only. weight is
// PolicySpec.ShortWeight.
func (c *shortCapacity) shortOnly(n int, weight float64, now time.Time) int {
	c.decay(now)
	if n < 3 || weight <= 0 || c.shortWork < 1 || c.allWork-c.shortWork < 1 {
		c.reserved = 0
		return 0
	}
	want := min(weight*shortHeadroom*c.shortWork/c.allWork, weight*maxShortShare) * float64(n)
	if math.Abs(want-float64(c.reserved)) > shortHysteresis {
		c.reserved = int(math.Ceil(want))
	}
	c.reserved = min(c.reserved, n-1)
	return c.reserved
}

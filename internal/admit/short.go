package admit

import (
	"math"
	"time"
)

const (
	// shortHalfLife is how fast the share of short work is forgotten.
	shortHalfLife = 5 * time.Second
	// maxShortShare bounds the engines that take short requests only.
	maxShortShare = 0.4
	// shortHeadroom multiplies the share of short work at a short weight of 1.
	shortHeadroom = 2.0
	// shortHysteresis is the change, in engines, below which the number of
	// short-only engines stays.
	shortHysteresis = 0.75
)

// shortCapacity decides how many engines take short requests only. It follows
// the share of short work within seconds.
type shortCapacity struct {
	shortWork float64
	allWork   float64
	decayedAt time.Time
	reserved  int
}

// arrived counts the work of a new request.
func (c *shortCapacity) arrived(work float64, short bool, now time.Time) {
	c.decay(now)
	c.allWork += work
	if short {
		c.shortWork += work
	}
}

// decay halves the counts every shortHalfLife.
func (c *shortCapacity) decay(now time.Time) {
	if !c.decayedAt.IsZero() {
		factor := math.Exp2(-now.Sub(c.decayedAt).Seconds() / shortHalfLife.Seconds())
		c.shortWork *= factor
		c.allWork *= factor
	}
	c.decayedAt = now
}

// engines returns the number of short-only engines of n. weight is
// PolicySpec.ShortWeight.
func (c *shortCapacity) engines(n int, weight float64, now time.Time) int {
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

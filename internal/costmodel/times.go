package costmodel

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxTimeKeys bounds the routes of which work times are remembered, each of some 1,400 bytes.
	maxTimeKeys = 1024
	// minTimeSamples is the weight of observations from which on the work time of a route, or
	// else of its service, is predicted.
	minTimeSamples = 5
	// timeUnit is the duration with the value 1 in a histogram of times.
	timeUnit = 32 * time.Millisecond
	// refreshInterval is the time after which predictions take new observations into account
	// once there are settledSamples.
	refreshInterval = 100 * time.Millisecond
	settledSamples  = 50
)

// timeKey names a route of a service, or all of them if the route is empty.
type timeKey struct{ service, route string }

// timeGroup holds the work times of a route and what is derived from them.
type timeGroup struct {
	histogram
	work   Work
	workAt time.Time
}

// Times predicts the work time of requests to plain services by route. It is not safe for
// concurrent use.
type Times struct {
	groups *simplelru.LRU[timeKey, *timeGroup]
}

// NewTimes returns a Times that has observed nothing.
func NewTimes() *Times {
	groups, err := simplelru.NewLRU[timeKey, *timeGroup](maxTimeKeys, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Times{groups: groups}
}

// Observe records the work time of a request, without the time that it waited.
func (t *Times) Observe(service, route string, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	bucket := bucketOf(float64(took) / float64(timeUnit))
	t.group(timeKey{service, route}).observe(bucket, now)
	if route != "" {
		t.group(timeKey{service, ""}).observe(bucket, now)
	}
}

func (t *Times) group(k timeKey) *timeGroup {
	g, known := t.groups.Get(k)
	if !known {
		g = &timeGroup{}
		t.groups.Add(k, g)
	}
	return g
}

// Predict returns the distribution of the work time on a route, or else on its service; nil if
// too little is known of both. It keeps following the observations while the route is asked for.
func (t *Times) Predict(service, route string, now time.Time) *Work {
	for _, k := range [2]timeKey{{service, route}, {service, ""}} {
		g, known := t.groups.Get(k)
		if !known || g.count(now) < minTimeSamples {
			continue
		}
		if g.workAt.IsZero() || now.Sub(g.workAt) > refreshInterval || g.total < settledSamples {
			g.work.set(&g.histogram)
			g.workAt = now
		}
		return &g.work
	}
	return nil
}

// Work is a distribution of work times.
type Work struct {
	// Mean is the expected work time, Typical the exponential of the mean logarithm, with
	// which the pace of an upstream is measured.
	Mean    time.Duration
	Typical time.Duration
	// Spread is the standard deviation of the logarithm in octaves.
	Spread float64
	// remaining holds the expected remaining time of work that has run for as long as the
	// lower bound of each bucket.
	remaining [buckets]time.Duration
}

// set derives the distribution from a histogram.
func (w *Work) set(h *histogram) {
	weight, sum, logs, squares := 0.0, 0.0, 0.0, 0.0
	for i := buckets - 1; i >= 0; i-- {
		n, value := float64(h.weights[i]), middle(i)
		weight += n
		sum += n * value
		octaves := math.Log2(value)
		logs += n * octaves
		squares += n * octaves * octaves
		// Work that has run for longer than any other is expected to take as long again.
		left := lowerBound(float64(i))
		if weight > 0 {
			left = max(sum/weight-lowerBound(float64(i)), 0)
		}
		w.remaining[i] = time.Duration(left * float64(timeUnit))
	}
	w.Mean = time.Duration(sum / weight * float64(timeUnit))
	w.Spread = math.Sqrt(max(squares/weight-(logs/weight)*(logs/weight), 0))
	w.Typical = time.Duration(math.Exp2(logs/weight) * float64(timeUnit))
}

// Remaining returns the expected remaining time of work that has run for some time on an
// upstream with a pace.
func (w *Work) Remaining(ran time.Duration, pace float64) time.Duration {
	if ran <= 0 {
		return time.Duration(pace * float64(w.Mean))
	}
	usual := float64(ran) / pace / float64(timeUnit)
	bucket := bucketOf(usual)
	left := float64(w.remaining[bucket])
	if bucket+1 < buckets {
		low, high := bounds[bucket], bounds[bucket+1]
		within := min(max((usual-low)/(high-low), 0), 1)
		left += within * (float64(w.remaining[bucket+1]) - left)
	}
	return time.Duration(pace * left)
}

// Time is what is known of the work time of one route.
type Time struct {
	Service string `json:"service"`
	// Route is empty for all routes of the service together.
	Route string `json:"route,omitempty"`
	// Samples is the number of observations by their present weight.
	Samples float64 `json:"samples"`
	Mean    float64 `json:"mean_seconds"`
	High    float64 `json:"high_seconds"`
}

// Known returns what is known of at most limit routes, the most recently used first.
func (t *Times) Known(limit int, now time.Time) []Time {
	var list []Time
	keys := t.groups.Keys()
	for i := len(keys) - 1; i >= 0 && len(list) < limit; i-- {
		k := keys[i]
		g, _ := t.groups.Peek(k)
		d := &distribution{}
		d.add(&g.histogram, 1)
		w := Work{}
		w.set(&g.histogram)
		list = append(list, Time{
			Service: k.service, Route: k.route, Samples: g.count(now),
			Mean: w.Mean.Seconds(), High: d.quantile(highQuantile) * timeUnit.Seconds(),
		})
	}
	return list
}

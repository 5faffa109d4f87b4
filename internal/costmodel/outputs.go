package costmodel

import (
	"math"
	"math/bits"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Query describes a generation before it runs.
type Query struct {
	Service   string
	Route     string
	Workspace string
	// Prompt is the number of prompt tokens.
	Prompt int
	// Hint is the caller's estimate of the output in tokens; 0 if there is none.
	Hint int
	// Most is the maximum output that the caller accepts; 0 if there is none. It takes the
	// place of a missing hint.
	Most int
}

// Sample is a generation that has ended with a complete answer.
type Sample struct {
	Query
	// Actual is the number of output tokens.
	Actual int
}

// Estimate is a prediction of output tokens.
type Estimate struct {
	Median int
	// Mean is what many such answers are long on average.
	Mean int
	// High is exceeded by one answer in ten.
	High int
	// Samples is the number of observations of the route by their present weight; 0 if the
	// estimate is the caller's own figure.
	Samples float64
}

const (
	// maxOutputKeys bounds the groups of which outputs are remembered, each of some 400 bytes.
	maxOutputKeys = 4096
	// minSamples is the weight of a route's observations from which on they are used.
	minSamples = 0.5
	// highQuantile is the share of answers that are at most as long as Estimate.High.
	highQuantile = 0.9
	// hintPrior, routePrior and workspacePrior are the numbers of observations for which count
	// that outputs are as long as the caller says, the whole route for requests with a similar
	// hint, and the route for a workspace.
	hintPrior      = 2.0
	routePrior     = 4.0
	workspacePrior = 6.0
	// unstatedTokens is what outputs are compared with if the caller names neither a hint nor
	// a maximum.
	unstatedTokens = 1024
	// maxTokens bounds estimates, so that sums of them do not overflow.
	maxTokens = 1 << 30
)

// basis is what outputs are compared with.
type basis uint8

const (
	byHint basis = iota
	byMost
	byNothing
)

// outputKey names a group of requests.
type outputKey struct {
	service, route, workspace string
	basis                     basis
	// size is the class of the prompt, hint that of the caller's figure; -1 for all.
	size, hint int8
}

// Learner predicts outputs by route, size of the prompt, caller's figure and workspace. It
// learns the ratio of the output to the caller's figure, so that a workspace that states less than
// it uses gains nothing, and one that floods a route changes the estimates of workspaces with
// answers of their own little. It is not safe for concurrent use.
type Learner struct {
	groups *simplelru.LRU[outputKey, *histogram]
}

// NewLearner returns a Learner that has observed nothing.
func NewLearner() *Learner {
	groups, err := simplelru.NewLRU[outputKey, *histogram](maxOutputKeys, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Learner{groups: groups}
}

// figure returns the tokens that outputs are compared with.
func (q *Query) figure() (tokens float64, b basis) {
	switch {
	case q.Hint > 0 && (q.Most == 0 || q.Hint < q.Most):
		return float64(q.Hint), byHint
	case q.Most > 0:
		return float64(q.Most), byMost
	}
	return unstatedTokens, byNothing
}

// keys returns the groups of a request, from the widest to the narrowest.
func (q *Query) keys() (route, hint, workspace outputKey, tokens float64) {
	tokens, b := q.figure()
	// A class of prompts spans a factor of 4, one of hints a factor of 2.
	route = outputKey{service: q.Service, route: q.Route, basis: b, size: int8(bits.Len(uint(max(q.Prompt, 0))) / 2), hint: -1}
	hint = route
	hint.hint = int8(math.Log2(tokens))
	workspace = route
	workspace.workspace, workspace.size = q.Workspace, -1
	return route, hint, workspace, tokens
}

// Observe records an output.
func (l *Learner) Observe(s Sample, now time.Time) {
	if s.Actual <= 0 {
		return
	}
	route, hint, workspace, tokens := s.keys()
	ratio := float64(s.Actual) / tokens
	bucket := bucketOf(ratio)
	if s.Workspace != "" {
		l.group(workspace).observe(bucket, now)
	}
	l.group(route).observe(bucket, now)
	l.group(hint).observe(bucket, now)
}

// group returns the histogram of a key, which is created if it is missing.
func (l *Learner) group(k outputKey) *histogram {
	h, known := l.groups.Get(k)
	if !known {
		h = &histogram{}
		l.groups.Add(k, h)
	}
	return h
}

// usual returns the distribution of ratios on a route for requests with a similar hint, with a
// weight of 1; nil if too little is known.
func (l *Learner) usual(route, hint outputKey, now time.Time) *distribution {
	r, known := l.groups.Get(route)
	if !known || r.count(now) < minSamples {
		return nil
	}
	d := &distribution{}
	prior := hintPrior
	if route.basis == byNothing {
		prior = 0
	}
	n := r.count(now)
	d.add(r, r.aged(now)/(n+prior))
	// A caller's figure is right at the median, so the prior lies on both sides of it.
	d[unitBucket-1] += prior / 2 / (n + prior)
	d[unitBucket] += prior / 2 / (n + prior)
	if h, known := l.groups.Get(hint); known {
		d.narrow(h, routePrior, now)
	}
	return d
}

// Predict predicts the output of a request. If nothing is known of its route, the prediction is
// the caller's figure: the hint, or else the maximum, or else 0.
func (l *Learner) Predict(q Query, now time.Time) Estimate {
	route, hint, workspace, tokens := q.keys()
	d := l.usual(route, hint, now)
	if d == nil {
		if route.basis == byNothing {
			return Estimate{}
		}
		return Estimate{Median: int(tokens), Mean: int(tokens), High: int(tokens)}
	}
	if own, known := l.groups.Get(workspace); q.Workspace != "" && known {
		d.narrow(own, workspacePrior, now)
	}
	r, _ := l.groups.Get(route)
	estimate := Estimate{
		Median:  int(min(math.Round(tokens*d.quantile(0.5)), maxTokens)),
		Mean:    int(min(math.Round(tokens*d.mean()), maxTokens)),
		High:    int(min(math.Round(tokens*d.quantile(highQuantile)), maxTokens)),
		Samples: r.count(now),
	}
	if q.Most > 0 {
		estimate.Median, estimate.Mean, estimate.High = min(estimate.Median, q.Most), min(estimate.Mean, q.Most), min(estimate.High, q.Most)
	}
	return estimate
}

// Groups returns the number of groups that are remembered.
func (l *Learner) Groups() int { return l.groups.Len() }

// Ratio is what is known of the outputs of one route.
type Ratio struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	// Samples is the number of observations by their present weight, Median and High the ratio
	// of the output to the caller's figure.
	Samples float64 `json:"samples"`
	Median  float64 `json:"median_ratio"`
	High    float64 `json:"high_ratio"`
}

// Ratios returns what is known of the outputs of at most limit routes and sizes of prompts, the
// most recently used first.
func (l *Learner) Ratios(limit int, now time.Time) []Ratio {
	var list []Ratio
	keys := l.groups.Keys()
	for i := len(keys) - 1; i >= 0 && len(list) < limit; i-- {
		k := keys[i]
		if k.workspace != "" || k.hint >= 0 {
			continue
		}
		h, _ := l.groups.Peek(k)
		d := &distribution{}
		d.add(h, 1)
		list = append(list, Ratio{Service: k.service, Route: k.route, Samples: h.count(now), Median: d.quantile(0.5), High: d.quantile(highQuantile)})
	}
	return list
}

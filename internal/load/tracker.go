// Package load estimates the load of each upstream. Because load reports lag
// behind, the estimate adds to the last report the requests that this instance sent
// and the report does not count. It is at least what all instances have outstanding,
// that is, in flight; peers report theirs in hints.
//
// The package also records which upstreams probably cache which prompt prefixes.
package load

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/route"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Limits of a Tracker.
const (
	// hintLifetime is how long a peer's hint counts unless a newer one arrives.
	hintLifetime = 5 * time.Second
	// reportLifetime is how long a load report counts.
	reportLifetime = 10 * time.Second
	// maxReportLag is how long after a send a report may still omit the
	// request.
	maxReportLag = time.Second
	// maxPeers bounds the peers whose hints are stored for one upstream.
	maxPeers = 512
)

// Measurement of the prefill speed.
const (
	// DefaultRate is the prefill speed, in tokens per second, that is assumed
	// until samples arrive.
	DefaultRate = 20_000.0
	// rateGain is the weight of a new sample in the moving average.
	rateGain = 0.2
	// minSampleTokens is the minimum prompt work of a request that gives a sample.
	minSampleTokens = 256
	// MinSamples is the number of samples needed for Rate to count as measured.
	MinSamples = 5
)

// Send is one request that this instance has in flight on an upstream.
type Send struct {
	ID string
	// Work is the number of prompt tokens to compute.
	Work float64
	// MemoryTokens is the KV memory that the whole request needs.
	MemoryTokens int
	Size         route.Size
	SentAt       time.Time

	// workAhead is the queued work that ran before the request, as of SentAt.
	workAhead float64
	// firstTokenAt is zero until the first token arrived.
	firstTokenAt time.Time
	// counted reports whether the last report includes the request.
	counted bool
}

// Outstanding is what one instance has in flight on one upstream.
type Outstanding struct {
	_ struct{} `cbor:",toarray"`
	// Work is the number of prompt tokens that are not computed yet, by size.
	Work [route.Sizes]float64
	// Streams counts the requests; LongStreams counts those that are not short.
	Streams     int
	LongStreams int
	// MemoryTokens is the KV memory that the requests need.
	MemoryTokens int
	// Exclusive reports whether the instance keeps the upstream free for one
	// request.
	Exclusive bool
}

// Estimate is the estimated load of one upstream.
type Estimate struct {
	// Queued is the number of prompt tokens that are not computed yet; Work is
	// the part whose size is known, by size.
	Queued      float64
	Work        [route.Sizes]float64
	Streams     int
	LongStreams int
	// UsedTokens is the KV memory in use.
	UsedTokens int
	// MemoryTokens is the total KV memory in the last report; 0 is unknown.
	MemoryTokens int
	// PeerExclusive reports whether a peer keeps the upstream free for one request.
	PeerExclusive bool
}

// peerHint is the last hint of a peer on one upstream.
type peerHint struct {
	outstanding Outstanding
	receivedAt  time.Time
}

// Tracker estimates the load of one upstream. It is not safe for concurrent use.
type Tracker struct {
	report upstream.LoadReport
	// producedAt is when the upstream produced the report.
	producedAt time.Time
	sends      map[string]*Send
	peers      map[string]peerHint

	rate    float64
	samples int
}

// NewTracker returns a Tracker without any report.
func NewTracker() *Tracker {
	return &Tracker{sends: map[string]*Send{}, peers: map[string]peerHint{}, rate: DefaultRate}
}

// Rate returns the prefill speed in tokens per second, and whether it was measured
// with at least MinSamples samples.
func (t *Tracker) Rate() (tokensPerSecond float64, measured bool) {
	return t.rate, t.samples >= MinSamples
}

// Report applies a load report that arrived at now. It rejects one that is not
// newer than the last. restarted reports whether the upstream has another boot ID
// than before.
func (t *Tracker) Report(r upstream.LoadReport, now time.Time) (accepted, restarted bool) {
	sameBoot := r.Boot == t.report.Boot
	if sameBoot && !t.producedAt.IsZero() && r.Sequence <= t.report.Sequence {
		return false, false
	}
	restarted = !sameBoot && t.report.Boot != ""
	t.report = r
	t.producedAt = now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	t.markCounted()
	return true, restarted
}

// Sent adds a request in flight. workAhead is the queued work that runs before it.
func (t *Tracker) Sent(s Send, workAhead float64) {
	s.workAhead = workAhead
	t.sends[s.ID] = &s
}

// FirstToken records that the request's prompt is computed, and takes a sample of
// the prefill speed.
func (t *Tracker) FirstToken(id string, now time.Time) {
	s := t.sends[id]
	if s == nil || !s.firstTokenAt.IsZero() {
		return
	}
	s.firstTokenAt = now
	elapsed := now.Sub(s.SentAt).Seconds()
	if elapsed <= 0 || s.Work < minSampleTokens {
		return
	}
	t.rate += rateGain * ((s.workAhead+s.Work)/elapsed - t.rate)
	t.samples++
}

// Ended removes a request in flight.
func (t *Tracker) Ended(id string) { delete(t.sends, id) }

// ReservedTokens returns the reserved memory in the last report.
func (t *Tracker) ReservedTokens() int { return t.report.ReservedTokens }

// InFlight returns the number of requests that this instance has in flight on the
// upstream.
func (t *Tracker) InFlight() int { return len(t.sends) }

// PeerHint records what a peer has outstanding on the upstream.
func (t *Tracker) PeerHint(from string, o Outstanding, now time.Time) {
	if _, known := t.peers[from]; !known && len(t.peers) >= maxPeers {
		return
	}
	t.peers[from] = peerHint{outstanding: o, receivedAt: now}
}

// RemovePeer removes a peer's hint.
func (t *Tracker) RemovePeer(from string) { delete(t.peers, from) }

// Outstanding returns what this instance has in flight on the upstream.
func (t *Tracker) Outstanding() Outstanding {
	var o Outstanding
	for _, s := range t.sends {
		o.Streams++
		o.MemoryTokens += s.MemoryTokens
		if s.Size != route.SizeShort {
			o.LongStreams++
		}
		if s.firstTokenAt.IsZero() {
			o.Work[s.Size] += s.Work
		}
	}
	return o
}

// Estimate returns the estimated load at now. Queued, Streams and UsedTokens are each
// the larger of two estimates: what all instances have outstanding, and the last
// report corrected by the requests that it does not count and the work computed
// since. Work and LongStreams are what all instances have outstanding.
func (t *Tracker) Estimate(now time.Time) Estimate {
	e := t.fromInstances(now)
	if t.producedAt.IsZero() || now.Sub(t.producedAt) > reportLifetime {
		return e
	}
	e.MemoryTokens = t.report.MemoryTokens
	t.raiseToReport(&e, now)
	return e
}

// fromInstances returns the estimate from the outstanding requests of this instance
// and its peers. It drops expired hints.
func (t *Tracker) fromInstances(now time.Time) Estimate {
	var e Estimate
	e.add(t.Outstanding())
	for from, h := range t.peers {
		if now.Sub(h.receivedAt) > hintLifetime {
			delete(t.peers, from)
			continue
		}
		e.add(h.outstanding)
		e.PeerExclusive = e.PeerExclusive || h.outstanding.Exclusive
	}
	return e
}

// add adds what one instance has outstanding.
func (e *Estimate) add(o Outstanding) {
	for size, work := range o.Work {
		e.Work[size] += work
		e.Queued += work
	}
	e.Streams += o.Streams
	e.LongStreams += o.LongStreams
	e.UsedTokens += o.MemoryTokens
}

// raiseToReport raises e to the last report, minus the work computed since, plus
// the requests in flight that the report does not count.
func (t *Tracker) raiseToReport(e *Estimate, now time.Time) {
	queued := float64(t.report.QueuedPromptTokens) - t.rate*now.Sub(t.producedAt).Seconds()
	queued = max(queued, 0)
	streams := t.report.RunningStreams + t.report.QueuedRequests
	used := max(t.report.UsedTokens, t.report.ReservedTokens)
	for _, s := range t.sends {
		if s.counted {
			continue
		}
		streams++
		used += s.MemoryTokens
		if s.firstTokenAt.IsZero() {
			queued += s.Work
		}
	}
	e.Queued = max(e.Queued, queued)
	e.Streams = max(e.Streams, streams)
	e.UsedTokens = max(e.UsedTokens, used)
}

// markCounted marks the requests in flight that the last report counts: those that
// it lists and those sent more than maxReportLag before it.
func (t *Tracker) markCounted() {
	for _, s := range t.sends {
		s.counted = t.producedAt.Sub(s.SentAt) > maxReportLag
	}
	for _, id := range t.report.Requests {
		if s := t.sends[id]; s != nil {
			s.counted = true
		}
	}
	t.report.Requests = nil
}

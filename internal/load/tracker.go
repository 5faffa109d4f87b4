// Package load estimates the load of each upstream. Reports lag behind, so the
// estimate adds what this instance sent that the report does not count, and
// what peers say that they have outstanding.
package load

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/route"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Limits of a Tracker.
const (
	// hintLifetime is how long a peer's hint counts without a newer one.
	hintLifetime = 5 * time.Second
	// reportLifetime is how long a load report counts.
	reportLifetime = 10 * time.Second
	// sendGrace is how long after a send a report may still leave it out.
	sendGrace = time.Second
	// maxPeers bounds the peers remembered for one upstream.
	maxPeers = 512
)

// Default speeds before any is measured.
const (
	// DefaultRate is a prefill speed in tokens per second.
	DefaultRate = 20_000.0
	// rateGain is the weight of a new sample of the prefill speed.
	rateGain = 0.2
	// minSampleTokens is the least prompt work that gives a speed sample.
	minSampleTokens = 256
	// MinSamples is the number of samples from which Rate counts as measured.
	MinSamples = 5
)

// Send is one request that this instance has in flight on an upstream.
type Send struct {
	ID string
	// Work is the prompt tokens to compute.
	Work float64
	// Memory is the KV memory of the whole request in tokens.
	Memory int
	Size   route.Size
	SentAt time.Time

	aheadAtSend float64
	firstToken  time.Time
	// counted says that the last report includes the request.
	counted bool
}

// Outstanding is what one instance has in flight on one upstream.
type Outstanding struct {
	_ struct{} `cbor:",toarray"`
	// Work is prompt tokens that are not computed yet, by size.
	Work [route.Sizes]float64
	// Streams counts the requests, LongStreams those that are not short.
	Streams     int
	LongStreams int
	// Memory is in tokens.
	Memory int
	// Exclusive says that the instance keeps the upstream for one request.
	Exclusive bool
}

// Estimate is the corrected load of one upstream.
type Estimate struct {
	Queued      float64
	Work        [route.Sizes]float64
	Streams     int
	LongStreams int
	// UsedTokens is the KV memory in use.
	UsedTokens int
	// MemoryTokens is the whole memory by the last report; 0 is unknown.
	MemoryTokens int
	// PeerExclusive says that a peer keeps the upstream for one request.
	PeerExclusive bool
}

type peerHint struct {
	value Outstanding
	at    time.Time
}

// Tracker follows one upstream. It is not safe for concurrent use.
type Tracker struct {
	report   upstream.LoadReport
	reportAt time.Time
	sends    map[string]*Send
	peers    map[string]peerHint

	rate    float64
	samples int
}

// NewTracker returns a Tracker without any report.
func NewTracker() *Tracker {
	return &Tracker{sends: map[string]*Send{}, peers: map[string]peerHint{}, rate: DefaultRate}
}

// Rate returns the prefill speed in tokens per second and whether enough
// samples support it.
func (t *Tracker) Rate() (tokensPerSecond float64, measured bool) {
	return t.rate, t.samples >= MinSamples
}

// Report takes a load report that arrived at now. It returns false for one that
// is older than the last, and restarted if the upstream has another boot.
func (t *Tracker) Report(r upstream.LoadReport, now time.Time) (taken, restarted bool) {
	sameBoot := r.Boot == t.report.Boot
	if sameBoot && !t.reportAt.IsZero() && r.Sequence <= t.report.Sequence {
		return false, false
	}
	restarted = !sameBoot && t.report.Boot != ""
	t.report = r
	t.reportAt = now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	t.markCounted()
	return true, restarted
}

// Sent adds a request in flight. ahead is the queued work that runs before it.
func (t *Tracker) Sent(s Send, ahead float64) {
	s.aheadAtSend = ahead
	t.sends[s.ID] = &s
}

// FirstToken says that the request's prompt is computed; it samples the speed.
func (t *Tracker) FirstToken(id string, now time.Time) {
	s := t.sends[id]
	if s == nil || !s.firstToken.IsZero() {
		return
	}
	s.firstToken = now
	elapsed := now.Sub(s.SentAt).Seconds()
	if elapsed <= 0 || s.Work < minSampleTokens {
		return
	}
	t.rate += rateGain * ((s.aheadAtSend+s.Work)/elapsed - t.rate)
	t.samples++
}

// Ended removes a request in flight.
func (t *Tracker) Ended(id string) { delete(t.sends, id) }

// ReservedTokens returns the memory in reservations by the last report.
func (t *Tracker) ReservedTokens() int { return t.report.ReservedTokens }

// InFlight returns the number of this instance's requests on the upstream.
func (t *Tracker) InFlight() int { return len(t.sends) }

// PeerHint takes what a peer has outstanding here.
func (t *Tracker) PeerHint(from string, o Outstanding, now time.Time) {
	if _, known := t.peers[from]; !known && len(t.peers) >= maxPeers {
		return
	}
	t.peers[from] = peerHint{value: o, at: now}
}

// ForgetPeer removes a peer's hint.
func (t *Tracker) ForgetPeer(from string) { delete(t.peers, from) }

// Outstanding returns what this instance has in flight on the upstream.
func (t *Tracker) Outstanding() Outstanding {
	var o Outstanding
	for _, s := range t.sends {
		o.Streams++
		o.Memory += s.Memory
		if s.Size != route.SizeShort {
			o.LongStreams++
		}
		if s.firstToken.IsZero() {
			o.Work[s.Size] += s.Work
		}
	}
	return o
}

// Estimate returns the corrected load at now. It is the larger of two views:
// what all instances say they have outstanding, and the last report plus the
// sends that it does not count.
func (t *Tracker) Estimate(now time.Time) Estimate {
	e := t.fromInstances(now)
	if t.reportAt.IsZero() || now.Sub(t.reportAt) > reportLifetime {
		return e
	}
	e.MemoryTokens = t.report.MemoryTokens
	t.raiseToReport(&e, now)
	return e
}

// fromInstances sums this instance's and the peers' outstanding requests.
func (t *Tracker) fromInstances(now time.Time) Estimate {
	var e Estimate
	e.add(t.Outstanding())
	for from, h := range t.peers {
		if now.Sub(h.at) > hintLifetime {
			delete(t.peers, from)
			continue
		}
		e.add(h.value)
		e.PeerExclusive = e.PeerExclusive || h.value.Exclusive
	}
	return e
}

func (e *Estimate) add(o Outstanding) {
	for size, work := range o.Work {
		e.Work[size] += work
		e.Queued += work
	}
	e.Streams += o.Streams
	e.LongStreams += o.LongStreams
	e.UsedTokens += o.Memory
}

// raiseToReport raises e to the report, less what was computed since and with
// the sends that the report does not count.
func (t *Tracker) raiseToReport(e *Estimate, now time.Time) {
	queued := float64(t.report.QueuedPromptTokens) - t.rate*now.Sub(t.reportAt).Seconds()
	queued = max(queued, 0)
	streams := t.report.RunningStreams + t.report.QueuedRequests
	used := max(t.report.UsedTokens, t.report.ReservedTokens)
	for _, s := range t.sends {
		if s.counted {
			continue
		}
		streams++
		used += s.Memory
		if s.firstToken.IsZero() {
			queued += s.Work
		}
	}
	e.Queued = max(e.Queued, queued)
	e.Streams = max(e.Streams, streams)
	e.UsedTokens = max(e.UsedTokens, used)
}

// markCounted finds the requests in flight that the last report includes.
func (t *Tracker) markCounted() {
	for _, s := range t.sends {
		s.counted = t.reportAt.Sub(s.SentAt) > sendGrace
	}
	for _, id := range t.report.Requests {
		if s := t.sends[id]; s != nil {
			s.counted = true
		}
	}
	t.report.Requests = nil
}

package poison

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// outageUpstreams is the number of upstreams that must crash within
	// outageWindow to count as an outage, whose cause is not a request.
	outageUpstreams = 4
	outageWindow    = 10 * time.Second
	// maxRecent bounds the upstreams and the fingerprints that are recorded.
	maxRecent = 8192
)

// lastLoss is the last crash in which a fingerprint was in flight.
type lastLoss struct {
	crash uint64
	at    time.Time
}

// outage distinguishes the simultaneous loss of many upstreams from crashes that
// requests cause. A request runs on one upstream at a time, so it cannot crash many
// together unless it is sent many times, and then its fingerprint is in several
// crashes.
type outage struct {
	upstreams *simplelru.LRU[string, time.Time]
	losses    *simplelru.LRU[uint64, lastLoss]
}

func newOutage() outage {
	upstreams, err := simplelru.NewLRU[string, time.Time](maxRecent, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	losses, err := simplelru.NewLRU[uint64, lastLoss](maxRecent, nil)
	if err != nil {
		panic(err) // only for a size of zero or less
	}
	return outage{upstreams: upstreams, losses: losses}
}

// crashed records a crash and reports whether outageUpstreams or more crashed within
// outageWindow.
func (o *outage) crashed(upstreamID string, now time.Time) bool {
	o.upstreams.Add(upstreamID, now)
	for {
		id, at, ok := o.upstreams.GetOldest()
		if !ok || now.Sub(at) <= outageWindow {
			break
		}
		o.upstreams.Remove(id)
	}
	return o.upstreams.Len() >= outageUpstreams
}

// recordLoss records that the fingerprint was in flight in a crash. If it was in
// another crash within outageWindow, recordLoss returns that crash and true.
func (o *outage) recordLoss(fingerprint, crash uint64, now time.Time) (uint64, bool) {
	last, known := o.losses.Peek(fingerprint)
	o.losses.Add(fingerprint, lastLoss{crash: crash, at: now})
	return last.crash, known && last.crash != crash && now.Sub(last.at) <= outageWindow
}

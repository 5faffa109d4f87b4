package poison

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// outageUpstreams is the number of upstreams that must crash within
	// outageWindow for the cause to be sought outside the requests.
	outageUpstreams = 4
	outageWindow    = 10 * time.Second
	// maxRecent bounds the crashes and fingerprints of the window.
	maxRecent = 8192
)

// lastLoss is the last crash in which a fingerprint was in flight.
type lastLoss struct {
	crash uint64
	at    time.Time
}

// outage tells the loss of many upstreams at once from crashes by requests. A
// request is on one upstream at a time, so it cannot crash many at once unless
// it was sent many times, and then its fingerprint is in several crashes.
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

// crashed counts a crash and states whether many upstreams crashed of late.
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

// lostBefore notes a loss. If the fingerprint was in another crash of late, it
// returns that crash and true.
func (o *outage) lostBefore(fingerprint, crash uint64, now time.Time) (uint64, bool) {
	last, known := o.losses.Peek(fingerprint)
	o.losses.Add(fingerprint, lastLoss{crash: crash, at: now})
	return last.crash, known && last.crash != crash && now.Sub(last.at) <= outageWindow
}

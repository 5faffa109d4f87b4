package tunnel

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// topicPaths is the topic of broadcasts of instances that are cut off from all upstreams.
const topicPaths peer.Topic = "paths"

const (
	// noticeInterval is the time between notices of an instance that stays cut off; when
	// hundreds are, their notices must not fill the links.
	noticeInterval = 5 * time.Second
	// noticeHold is how long a notice holds.
	noticeHold = 2*noticeInterval + time.Second
)

// notice tells the other instances whether the sender is cut off from all upstreams.
type notice struct {
	_      struct{} `cbor:",toarray"`
	CutOff bool
}

// notices is what this instance has told the others.
type notices struct {
	mu     sync.Mutex
	cutOff bool
	at     time.Time
}

// due reports whether the others are to be told.
func (n *notices) due(cutOff bool, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cutOff == n.cutOff && (!cutOff || now.Sub(n.at) < noticeInterval) {
		return false
	}
	n.cutOff, n.at = cutOff, now
	return true
}

// tellCutOff tells the other instances if this one is cut off, or no longer.
func (d *Dialer) tellCutOff(now time.Time) {
	cutOff := d.paths.cutOff()
	bus := d.bus.Load()
	if bus == nil || !d.notices.due(cutOff, now) {
		return
	}
	payload, err := cbor.Marshal(notice{CutOff: cutOff})
	if err != nil {
		log.WithError(err).Error("notice dropped: encoding failed")
		return
	}
	(*bus).Broadcast(topicPaths, payload)
	if cutOff {
		log.Warn("this instance is cut off from all upstreams")
	} else {
		log.Warn("this instance reaches upstreams again")
	}
}

// handleNotice records the notice of another instance.
func (d *Dialer) handleNotice(from string, payload []byte) {
	var n notice
	if err := wire.Unmarshal(payload, &n, from); err != nil {
		log.WithError(err).WithField("peer", from).Warn("notice about paths rejected: it cannot be decoded")
		return
	}
	if n.CutOff {
		d.paths.avoid(from, noticeHold, time.Now())
		return
	}
	d.paths.fitAgain(from)
}

package member

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// event is an input of the control goroutine.
type event interface{ isEvent() }

type (
	linkOpened struct{ link *link }
	linkClosed struct{ link *link }
	// received carries a message of the overlay protocol, as opposed to a
	// broadcast or a call.
	received struct {
		link    *link
		message message
	}
	// dialFailed reports that an overlay link could not be opened.
	dialFailed struct {
		member  peer.Member
		purpose dialPurpose
	}
	listRead       struct{ listed []platform.LiveListEntry }
	leaveRequested struct{}
	dumpRequested  struct{ reply chan<- Dump }
)

func (linkOpened) isEvent()     {}
func (linkClosed) isEvent()     {}
func (received) isEvent()       {}
func (dialFailed) isEvent()     {}
func (listRead) isEvent()       {}
func (leaveRequested) isEvent() {}
func (dumpRequested) isEvent()  {}

// dialPurpose is why a link is dialled; it determines how a failed dial is
// handled.
type dialPurpose int

const (
	// dialMember dials a member that is alive in this instance's view; a failure
	// makes it a suspect.
	dialMember dialPurpose = iota
	// dialProbe dials an instance that is not a member; a failure is ignored.
	dialProbe
)

// dialBackoff is the backoff of a member that could not be dialled; meanwhile it is
// not chosen as a neighbour.
type dialBackoff struct {
	until time.Time
	delay time.Duration
	// ended is set once until has passed and the wanted neighbours have been
	// recomputed.
	ended bool
}

// control is the state of the control goroutine.
type control struct {
	o        *Overlay
	timing   Timing
	table    *table
	centres  *centreMonitor
	links    map[string]*link
	dialling map[string]bool
	// redialAt holds when to redial each member whose link broke.
	redialAt map[string]time.Time
	backoffs map[string]dialBackoff
	listed   []platform.LiveListEntry
	wanted   map[string]peer.Member

	publishedRevision uint64
	lastTick          time.Time
	nextHeartbeat     time.Time
	nextGossip        time.Time
	nextProbe         time.Time
}

func newControl(o *Overlay, now time.Time) (*control, error) {
	t, err := newTable(o.self, o.timing, now)
	if err != nil {
		return nil, err
	}
	return &control{
		o:        o,
		timing:   o.timing,
		table:    t,
		centres:  newCentreMonitor(o.self, o.timing.UnreachableTimeout),
		links:    map[string]*link{},
		dialling: map[string]bool{},
		redialAt: map[string]time.Time{},
		backoffs: map[string]dialBackoff{},
		lastTick: now,
	}, nil
}

// loop handles events and timers until ctx ends.
func (c *control) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.o.events:
			panics.Run(log, func() { c.handle(e, time.Now()) })
		case <-ticker.C:
			panics.Run(log, func() { c.tick(time.Now()) })
		}
	}
}

func (c *control) handle(e event, now time.Time) {
	switch e := e.(type) {
	case linkOpened:
		c.addLink(e.link, now)
	case linkClosed:
		c.removeLink(e.link, now)
	case received:
		c.receive(e.link, e.message, now)
	case dialFailed:
		c.dialFailed(e, now)
	case listRead:
		c.listRead(e.listed, now)
	case leaveRequested:
		c.table.setSelf(func(self *record) { self.Leaving = true })
	case dumpRequested:
		e.reply <- c.dump(now)
	}
	c.publish(now)
	c.gossip(now)
}

// tick runs the timers.
func (c *control) tick(now time.Time) {
	if gap := now.Sub(c.lastTick); gap > pauseThreshold {
		c.compensatePause(gap, now)
	}
	c.lastTick = now
	c.closeSilent(now)
	c.table.expire(now)
	c.centres.update(now, c.table)
	c.publish(now)
	c.endBackoffs(now)
	c.reconcileLinks(now)
	c.probe(now)
	c.heartbeat(now)
	c.gossip(now)
	c.o.builds.check(c.o.Members(), now)
	c.o.direct.closeIdle(now, c.timing.DirectIdleTimeout)
}

// compensatePause compensates for a pause of this process: it extends the
// deadlines of all timeouts, which would otherwise expire for all other instances
// at the same time.
func (c *control) compensatePause(gap time.Duration, now time.Time) {
	log.WithField("pause", gap).Warn("process was paused; timeouts extended")
	c.table.postpone(gap)
	c.centres.postpone(gap)
	for _, l := range c.links {
		l.lastReceived.Store(now.UnixNano())
	}
}

// publish replaces the member snapshot and recomputes the wanted neighbours if
// anything changed.
func (c *control) publish(now time.Time) {
	revision := c.table.revision + c.centres.revision
	if revision == c.publishedRevision {
		return
	}
	c.publishedRevision = revision
	members := c.table.members(c.centres.unreachable())
	c.o.publishMembers(members)
	c.chooseNeighbours(members, now)
}

// chooseNeighbours computes the wanted neighbours. Members in backoff are
// skipped unless a link to them is open.
func (c *control) chooseNeighbours(members []peer.Member, now time.Time) {
	self := c.table.self.member()
	skip := func(id string) bool {
		b, ok := c.backoffs[id]
		return ok && now.Before(b.until) && c.links[id] == nil
	}
	c.wanted = wantedNeighbours(self, members, skip)
}

// publishLinks replaces the link snapshot.
func (c *control) publishLinks() {
	view := &linkView{byID: make(map[string]*link, len(c.links))}
	for id, l := range c.links {
		view.links = append(view.links, l)
		view.byID[id] = l
		view.ids = append(view.ids, id)
	}
	sort.Strings(view.ids)
	c.o.links.Store(view)
}

// receive handles a message of the overlay protocol.
func (c *control) receive(l *link, m message, now time.Time) {
	switch {
	case m.Heartbeat != nil:
		c.receiveHeartbeat(l, m.Heartbeat, now)
	case m.Gossip != nil:
		c.merge(l, m.Gossip, now)
	case m.Sync != nil:
		c.merge(l, m.Sync.Records, now)
		if m.Sync.Reply {
			c.o.sendOn(l, message{Sync: &tableSync{Records: c.table.all()}})
		}
	case m.Bye:
		c.drainLink(l)
	}
}

// merge adds the records that the other instance of a link has sent. Those whose status is
// unknown are ignored.
func (c *control) merge(l *link, records []record, now time.Time) {
	for _, r := range records {
		if r.Status > statusDead {
			wire.CountUnknownKind(l.peer.ID, "status")
		}
		c.table.merge(r, now)
	}
}

// receiveHeartbeat handles a heartbeat. If the digest differs from this
// instance's for several heartbeats in a row, the dialler of the link starts a
// table exchange.
func (c *control) receiveHeartbeat(l *link, h *heartbeat, now time.Time) {
	c.centres.merge(h.Counters, now)
	if h.Digest == c.table.digest {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.dialled && l.mismatches >= mismatchesBeforeSync && !now.Before(l.nextSync) {
		l.nextSync = now.Add(syncInterval + rand.N(syncInterval))
		c.o.sendOn(l, message{Sync: &tableSync{Records: c.table.all(), Reply: true}})
	}
}

// mismatchesBeforeSync is the number of heartbeats in a row with a different
// digest before a table exchange, so that gossip in flight has time to arrive.
const mismatchesBeforeSync = 3

// heartbeat sends a heartbeat on all overlay links once per interval.
func (c *control) heartbeat(now time.Time) {
	if now.Before(c.nextHeartbeat) {
		return
	}
	c.nextHeartbeat = now.Add(c.timing.HeartbeatInterval)
	for _, l := range c.links {
		c.o.sendOn(l, c.heartbeatMessage(l))
	}
}

func (c *control) heartbeatMessage(l *link) message {
	return message{Heartbeat: &heartbeat{
		Digest:    c.table.digest,
		Counters:  c.centres.counters(),
		Announced: l.takeAnnounced(),
	}}
}

// gossip sends the changed records on all overlay links.
func (c *control) gossip(now time.Time) {
	if len(c.table.changed) == 0 || now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = now.Add(gossipInterval)
	m := message{Gossip: c.table.takeChanged()}
	if len(m.Gossip) == 0 {
		return
	}
	for _, l := range c.links {
		c.o.sendOn(l, m)
	}
}

// listRead applies the platform's list. The phase "leaving" is ignored while the
// list may still show an earlier process with the same ID.
func (c *control) listRead(listed []platform.LiveListEntry, now time.Time) {
	c.listed = c.listed[:0]
	for _, item := range listed {
		if item.Role != "instance" || item.ID == c.o.self.ID {
			continue
		}
		c.listed = append(c.listed, item)
		e, ok := c.table.entries[item.ID]
		if !ok && now.Sub(c.table.started) < c.timing.ListTrustPeriod {
			// Any record from the instance itself replaces incarnation 0.
			c.table.merge(recordOf(listedMember(item)), now)
		}
		if ok && item.Phase == platform.Leaving && !e.Leaving && now.Sub(e.firstSeen) > c.timing.ListLag {
			c.table.setLeaving(e)
		}
	}
	c.o.listedCount.Store(int64(len(c.listed) + 1))
}

// sendLeave notifies the neighbours that this instance has left, and waits until
// the messages are sent, up to a timeout.
func (c *control) sendLeave() {
	c.table.setSelf(func(self *record) {
		self.Leaving = true
		self.Status = statusDead
	})
	last := message{Gossip: []record{c.table.self}}
	for _, l := range c.links {
		c.o.sendOn(l, last)
		c.o.sendOn(l, message{Bye: true})
	}
	deadline := time.Now().Add(leaveTimeout)
	for time.Now().Before(deadline) && c.unsent() {
		time.Sleep(leaveTimeout / 50)
	}
}

// unsent reports whether an open link still has queued messages.
func (c *control) unsent() bool {
	for _, l := range c.links {
		if l.queuedBytes.Load() > 0 && !l.isClosed() {
			return true
		}
	}
	return false
}

func (c *control) closeAll() {
	for _, l := range c.links {
		l.close()
	}
}

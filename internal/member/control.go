package member

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// event is something that the control goroutine handles.
type event interface{ isEvent() }

type (
	linkOpened struct{ link *link }
	linkClosed struct{ link *link }
	// received carries a message of the overlay itself.
	received struct {
		link    *link
		message message
	}
	// dialFailed ends an attempt to open an overlay link.
	dialFailed struct {
		member  peer.Member
		purpose purpose
	}
	listRead       struct{ listed []platform.Listed }
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

// purpose says what a failed attempt to open a link means.
type purpose int

const (
	// toMember dials a member that is believed to be alive: failure makes it
	// a suspect.
	toMember purpose = iota
	// toProbe dials an instance that is not a member: failure means nothing.
	toProbe
)

// avoidance passes over a member that could not be dialled.
type avoidance struct {
	until time.Time
	delay time.Duration
	// over is set once until has passed.
	over bool
}

// control is the state of the control goroutine.
type control struct {
	o       *Overlay
	timing  Timing
	table   *table
	centres *centreWatch
	links   map[string]*link
	dialing map[string]bool
	// verify holds when to dial a member whose link broke.
	verify map[string]time.Time
	avoid  map[string]avoidance
	listed []platform.Listed
	wanted map[string]peer.Member

	published     uint64
	lastTick      time.Time
	nextHeartbeat time.Time
	nextGossip    time.Time
	nextProbe     time.Time
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
		centres:  newCentreWatch(o.self, o.timing.UnreachableAfter),
		links:    map[string]*link{},
		dialing:  map[string]bool{},
		verify:   map[string]time.Time{},
		avoid:    map[string]avoidance{},
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
			c.handle(e, time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

func (c *control) handle(e event, now time.Time) {
	switch e := e.(type) {
	case linkOpened:
		c.opened(e.link, now)
	case linkClosed:
		c.closed(e.link, now)
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
		c.resume(gap, now)
	}
	c.lastTick = now
	c.closeSilent(now)
	c.table.expire(now)
	c.centres.step(now, c.table)
	c.publish(now)
	c.retryAvoided(now)
	c.maintain(now)
	c.probe(now)
	c.heartbeat(now)
	c.gossip(now)
	c.o.direct.closeIdle(now, c.timing.DirectIdle)
}

// resume keeps a process that was paused from taking its own silence for that
// of all others.
func (c *control) resume(gap time.Duration, now time.Time) {
	log.WithField("pause", gap).Warn("The process was paused.")
	c.table.postpone(gap)
	c.centres.postpone(gap)
	for _, l := range c.links {
		l.heard.Store(now.UnixNano())
	}
}

// publish replaces the member snapshot if anything changed.
func (c *control) publish(now time.Time) {
	revision := c.table.revision + c.centres.revision
	if revision == c.published {
		return
	}
	c.published = revision
	members := c.table.alive(c.centres.unreachable())
	c.o.publishMembers(members)
	c.choose(members, now)
}

// choose computes the wanted neighbours.
func (c *control) choose(members []peer.Member, now time.Time) {
	self := c.table.self.member()
	skip := func(id string) bool {
		a, ok := c.avoid[id]
		return ok && now.Before(a.until) && c.links[id] == nil
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

// receive handles a message of the overlay.
func (c *control) receive(l *link, m message, now time.Time) {
	switch {
	case m.Heartbeat != nil:
		c.heard(l, m.Heartbeat, now)
	case m.Gossip != nil:
		c.merge(m.Gossip, now)
	case m.Sync != nil:
		c.merge(m.Sync.Records, now)
		if m.Sync.Reply {
			c.o.sendOn(l, message{Sync: &tableSync{Records: c.table.all()}})
		}
	case m.Bye:
		c.retire(l)
	}
}

func (c *control) merge(records []record, now time.Time) {
	for _, r := range records {
		c.table.merge(r, now)
	}
}

// heard takes a heartbeat; a digest that differs for a while starts a table
// exchange, which the dialler of the link leads.
func (c *control) heard(l *link, h *heartbeat, now time.Time) {
	c.centres.merge(h.Counters, now)
	if h.Digest == c.table.sum {
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
// digest, so that gossip under way has time to arrive.
const mismatchesBeforeSync = 3

// heartbeat sends to all overlay links when it is time.
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
		Digest:    c.table.sum,
		Counters:  c.centres.counters(),
		Announced: l.takeAnnounced(),
	}}
}

// gossip sends changed records to all overlay links.
func (c *control) gossip(now time.Time) {
	if len(c.table.fresh) == 0 || now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = now.Add(gossipInterval)
	m := message{Gossip: c.table.takeFresh()}
	if len(m.Gossip) == 0 {
		return
	}
	for _, l := range c.links {
		c.o.sendOn(l, m)
	}
}

// listRead takes the platform's list. That an instance is leaving is believed
// unless the list may still mean an earlier process with the same ID.
func (c *control) listRead(listed []platform.Listed, now time.Time) {
	c.listed = c.listed[:0]
	for _, item := range listed {
		if item.Role != "instance" || item.ID == c.o.self.ID {
			continue
		}
		c.listed = append(c.listed, item)
		e, ok := c.table.entries[item.ID]
		if !ok && now.Sub(c.table.started) < c.timing.TrustList {
			// Incarnation 0 gives way to whatever the instance says of itself.
			c.table.merge(recordOf(listedMember(item)), now)
		}
		if ok && item.Phase == platform.Leaving && !e.Leaving && now.Sub(e.learned) > c.timing.ListLag {
			c.table.setLeaving(e)
		}
	}
	c.o.listed.Store(int64(len(c.listed) + 1))
}

// farewell tells the neighbours that this instance has left.
func (c *control) farewell() {
	c.table.setSelf(func(self *record) {
		self.Leaving = true
		self.Status = statusDead
	})
	last := message{Gossip: []record{c.table.self}}
	for _, l := range c.links {
		c.o.sendOn(l, last)
		c.o.sendOn(l, message{Bye: true})
	}
	deadline := time.Now().Add(farewellTimeout)
	for time.Now().Before(deadline) && c.unsent() {
		time.Sleep(farewellTimeout / 50)
	}
}

func (c *control) unsent() bool {
	for _, l := range c.links {
		if l.queued.Load() > 0 && !l.isClosed() {
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

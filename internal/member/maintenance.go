package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

const (
	// initialProbes is the number of instances that an instance without links
	// dials concurrently.
	initialProbes = 3
	// probesPerMissing is the number of probes of one missing instance per probe
	// interval, by the whole fleet together.
	probesPerMissing = 10
)

// addLink adds a new overlay link. Of two links between the same instances in
// opposite directions, the one that the instance with the lower ID dialled is
// kept; a new link in the same direction replaces the old one.
func (c *control) addLink(l *link, now time.Time) {
	id := l.peer.ID
	delete(c.dialling, id)
	delete(c.redialAt, id)
	old := c.links[id]
	if old != nil && !old.isClosed() && old.dialled != l.dialled && c.preferred(old) {
		c.closeGracefully(l)
		return
	}
	if old != nil {
		c.closeGracefully(old)
	}
	c.links[id] = l
	c.table.merge(recordOf(l.peer), now)
	l.mismatches = mismatchesBeforeSync - 1
	c.publishLinks()
	c.o.sendOn(l, c.heartbeatMessage(l))
	if e, ok := c.table.entries[id]; ok && e.Status != statusAlive {
		c.o.sendOn(l, message{Gossip: []record{e.record}})
	}
}

// preferred reports whether the instance with the lower ID dialled the link.
func (c *control) preferred(l *link) bool {
	return l.dialled == (c.o.self.ID < l.peer.ID)
}

// closeGracefully notifies the peer and closes the link once its calls have ended.
func (c *control) closeGracefully(l *link) {
	c.o.sendOn(l, message{Bye: true})
	c.drainLink(l)
}

// drainLink stops using a link and closes it once its calls have ended.
func (c *control) drainLink(l *link) {
	l.closeExpected = true
	if c.links[l.peer.ID] == l {
		delete(c.links, l.peer.ID)
		c.publishLinks()
	}
	c.o.spawn(func(ctx context.Context) { closeWhenIdle(ctx, l) })
}

// closeWhenIdle closes the link once its calls have ended, at the latest after
// the default call timeout.
func closeWhenIdle(ctx context.Context, l *link) {
	ticker := time.NewTicker(leaveTimeout)
	defer ticker.Stop()
	defer l.close()
	for waited := time.Duration(0); waited < defaultCallTimeout; waited += leaveTimeout {
		select {
		case <-ticker.C:
		case <-l.closed:
			return
		case <-ctx.Done():
			return
		}
		if l.activeCalls.Load() == 0 {
			return
		}
	}
}

// removeLink removes a link. Unless its end was announced, its member is redialled
// soon, to distinguish a broken connection from a dead instance.
func (c *control) removeLink(l *link, now time.Time) {
	id := l.peer.ID
	if c.links[id] != l {
		return
	}
	delete(c.links, id)
	c.publishLinks()
	if !l.closeExpected {
		c.redialAt[id] = now.Add(rand.N(maxRedialDelay))
	}
}

// closeSilent closes links on which nothing was received within SilenceTimeout.
func (c *control) closeSilent(now time.Time) {
	for _, l := range c.links {
		if l.silentFor(now) > c.timing.SilenceTimeout {
			l.close()
		}
	}
}

// reconcileLinks opens and closes links to match the wanted neighbours, and redials
// members whose links broke.
func (c *control) reconcileLinks(now time.Time) {
	for id, m := range c.wanted {
		if c.links[id] == nil && !c.inBackoff(id, now) {
			c.dial(m, dialMember)
		}
	}
	for id, due := range c.redialAt {
		if now.Before(due) {
			continue
		}
		delete(c.redialAt, id)
		if e, ok := c.table.entries[id]; ok && e.Status == statusAlive && c.links[id] == nil {
			c.dial(e.member(), dialMember)
		}
	}
	c.closeUnwanted(now)
}

func (c *control) inBackoff(id string, now time.Time) bool {
	b, ok := c.backoffs[id]
	return ok && now.Before(b.until)
}

// endBackoffs recomputes the wanted neighbours when the backoff of a member ends.
// An ended backoff is kept for another maxDialBackoff, so that a further
// failure doubles its delay.
func (c *control) endBackoffs(now time.Time) {
	changed := false
	for id, b := range c.backoffs {
		changed = changed || (now.After(b.until) && !b.ended)
		if now.After(b.until) {
			b.ended = true
			c.backoffs[id] = b
		}
		if now.Sub(b.until) > maxDialBackoff {
			delete(c.backoffs, id)
		}
	}
	if changed {
		c.chooseNeighbours(c.o.Members(), now)
	}
}

// closeUnwanted closes links that this instance dialled and that have not been
// wanted for unwantedLinkTimeout.
func (c *control) closeUnwanted(now time.Time) {
	for id, l := range c.links {
		if _, ok := c.wanted[id]; ok || !l.dialled {
			l.unwantedSince = time.Time{}
			continue
		}
		if l.unwantedSince.IsZero() {
			l.unwantedSince = now
		}
		if now.Sub(l.unwantedSince) > unwantedLinkTimeout {
			c.closeGracefully(l)
		}
	}
}

// dial opens an overlay link in a goroutine, unless one is being opened already.
func (c *control) dial(m peer.Member, purpose dialPurpose) {
	if c.dialling[m.ID] {
		return
	}
	started := c.o.spawn(func(ctx context.Context) {
		l, err := c.o.openLink(ctx, m, linkOverlay)
		if err != nil {
			c.o.post(ctx, dialFailed{m, purpose})
			return
		}
		c.o.serveLink(ctx, l)
	})
	if started {
		c.dialling[m.ID] = true
	}
}

// dialFailed makes an alive member a suspect and starts its backoff, since it may
// refute the suspicion and still be unreachable from this instance only.
func (c *control) dialFailed(e dialFailed, now time.Time) {
	id := e.member.ID
	delete(c.dialling, id)
	if e.purpose == dialProbe || c.links[id] != nil {
		return
	}
	b := c.backoffs[id]
	b.ended = false
	b.delay = min(max(2*b.delay, minDialBackoff), maxDialBackoff)
	b.until = now.Add(b.delay)
	c.backoffs[id] = b
	if c.table.suspect(id, now) {
		log.WithField("instance", id).Info("instance suspected: dialling failed")
	}
	c.chooseNeighbours(c.o.Members(), now)
}

// probe dials some of the instances that may be alive but are not members: those
// listed but unknown, the dead, and those in unreachable data centres.
func (c *control) probe(now time.Time) {
	if now.Before(c.nextProbe) {
		return
	}
	targets := c.missingInstances()
	c.nextProbe = now.Add(c.probeInterval(len(targets)))
	n := 1
	if len(c.links) == 0 {
		n = initialProbes
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, m := range targets[:min(n, len(targets))] {
		c.dial(m, dialProbe)
	}
}

// probeInterval returns the time until the next probe, with jitter. It grows with
// the fleet, so that the fleet's total rate of probes per missing instance is
// constant.
func (c *control) probeInterval(targets int) time.Duration {
	if len(c.links) == 0 || targets == 0 {
		return c.timing.ProbeInterval / 3
	}
	members := len(c.o.Members())
	interval := c.timing.ProbeInterval * time.Duration(max(1, members/(probesPerMissing*targets)))
	return interval/2 + rand.N(interval)
}

// missingInstances returns the known or listed instances that are not members and
// have no open link to this one.
func (c *control) missingInstances() []peer.Member {
	targets := map[string]peer.Member{}
	for _, item := range c.listed {
		e, known := c.table.entries[item.ID]
		if !known || e.Status == statusDead {
			targets[item.ID] = listedMember(item)
		}
	}
	unreachable := c.centres.unreachable()
	for id, e := range c.table.entries {
		dead := e.Status == statusDead && !e.Leaving
		if dead || (e.Status != statusDead && unreachable[e.DataCentre]) {
			targets[id] = e.member()
		}
	}
	members := make([]peer.Member, 0, len(targets))
	for _, m := range targets {
		if c.links[m.ID] == nil {
			members = append(members, m)
		}
	}
	return members
}

func listedMember(item platform.LiveListEntry) peer.Member {
	return peer.Member{ID: item.ID, Address: item.Address, DataCentre: item.DataCentre, Region: item.Region, Capacity: item.Capacity}
}

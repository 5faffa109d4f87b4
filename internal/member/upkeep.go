package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

const (
	// firstProbes is the number of listed instances that a new instance
	// dials at once.
	firstProbes = 3
	// probesPerTarget is the fleet's number of probes of one missing
	// instance per probe interval.
	probesPerTarget = 10
)

// opened adds a new overlay link. Of two links between the same instances, the
// one that the lower ID dialled stays; a new link in the same direction
// replaces the old.
func (c *control) opened(l *link, now time.Time) {
	id := l.peer.ID
	delete(c.dialing, id)
	delete(c.verify, id)
	old := c.links[id]
	if old != nil && !old.isClosed() && old.dialled != l.dialled && c.preferred(old) {
		c.dismiss(l)
		return
	}
	if old != nil {
		c.dismiss(old)
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

// preferred states whether the lower ID dialled the link.
func (c *control) preferred(l *link) bool {
	return l.dialled == (c.o.self.ID < l.peer.ID)
}

// dismiss closes a link on purpose.
func (c *control) dismiss(l *link) {
	c.o.sendOn(l, message{Bye: true})
	c.retire(l)
}

// retire stops using a link and closes it once its calls have ended.
func (c *control) retire(l *link) {
	l.bye = true
	if c.links[l.peer.ID] == l {
		delete(c.links, l.peer.ID)
		c.publishLinks()
	}
	c.o.spawn(func(ctx context.Context) { closeWhenIdle(ctx, l) })
}

// closeWhenIdle waits for the link's calls, but not for longer than a call may
// take.
func closeWhenIdle(ctx context.Context, l *link) {
	ticker := time.NewTicker(farewellTimeout)
	defer ticker.Stop()
	defer l.close()
	for waited := time.Duration(0); waited < defaultCallTimeout; waited += farewellTimeout {
		select {
		case <-ticker.C:
		case <-l.closed:
			return
		case <-ctx.Done():
			return
		}
		if l.active.Load() == 0 {
			return
		}
	}
}

// closed removes a link. Unless it was closed on purpose, its member is dialled
// soon, to tell a broken connection from a dead instance.
func (c *control) closed(l *link, now time.Time) {
	id := l.peer.ID
	if c.links[id] != l {
		return
	}
	delete(c.links, id)
	c.publishLinks()
	if !l.bye {
		c.verify[id] = now.Add(rand.N(maxVerifyDelay))
	}
}

// closeSilent closes links on which nothing arrived for a while.
func (c *control) closeSilent(now time.Time) {
	for _, l := range c.links {
		if l.silentFor(now) > c.timing.SilenceTimeout {
			l.close()
		}
	}
}

// maintain opens and closes links to match the wanted neighbours.
func (c *control) maintain(now time.Time) {
	for id, m := range c.wanted {
		if c.links[id] == nil && !c.avoided(id, now) {
			c.dial(m, toMember)
		}
	}
	for id, due := range c.verify {
		if now.Before(due) {
			continue
		}
		delete(c.verify, id)
		if e, ok := c.table.entries[id]; ok && e.Status == statusAlive && c.links[id] == nil {
			c.dial(e.member(), toMember)
		}
	}
	c.closeUnwanted(now)
}

func (c *control) avoided(id string, now time.Time) bool {
	a, ok := c.avoid[id]
	return ok && now.Before(a.until)
}

// retryAvoided chooses the neighbours again when a member need no longer be
// passed over.
func (c *control) retryAvoided(now time.Time) {
	changed := false
	for id, a := range c.avoid {
		changed = changed || (now.After(a.until) && !a.over)
		if now.After(a.until) {
			a.over = true
			c.avoid[id] = a
		}
		if now.Sub(a.until) > maxAvoid {
			delete(c.avoid, id)
		}
	}
	if changed {
		c.choose(c.o.Members(), now)
	}
}

// closeUnwanted closes links that this instance dialled and no longer needs.
func (c *control) closeUnwanted(now time.Time) {
	for id, l := range c.links {
		if _, ok := c.wanted[id]; ok || !l.dialled {
			l.unwantedSince = time.Time{}
			continue
		}
		if l.unwantedSince.IsZero() {
			l.unwantedSince = now
		}
		if now.Sub(l.unwantedSince) > unwantedLinger {
			c.dismiss(l)
		}
	}
}

// dial opens an overlay link in a goroutine.
func (c *control) dial(m peer.Member, why purpose) {
	if c.dialing[m.ID] {
		return
	}
	started := c.o.spawn(func(ctx context.Context) {
		l, err := c.o.openLink(ctx, m, linkOverlay)
		if err != nil {
			c.o.post(ctx, dialFailed{m, why})
			return
		}
		c.o.serveLink(ctx, l)
	})
	if started {
		c.dialing[m.ID] = true
	}
}

// dialFailed suspects a member that was believed to be alive, and passes it
// over for a while: if it refutes the suspicion, only this instance cannot
// reach it.
func (c *control) dialFailed(e dialFailed, now time.Time) {
	id := e.member.ID
	delete(c.dialing, id)
	if e.purpose == toProbe || c.links[id] != nil {
		return
	}
	a := c.avoid[id]
	a.over = false
	a.delay = min(max(2*a.delay, minAvoid), maxAvoid)
	a.until = now.Add(a.delay)
	c.avoid[id] = a
	if c.table.suspect(id, now) {
		log.WithField("instance", id).Info("The instance cannot be reached and is suspected.")
	}
	c.choose(c.o.Members(), now)
}

// probe dials instances that should perhaps be members: listed ones, the dead,
// and those in unreachable data centres.
func (c *control) probe(now time.Time) {
	if now.Before(c.nextProbe) {
		return
	}
	targets := c.missing()
	c.nextProbe = now.Add(c.probeInterval(len(targets)))
	n := 1
	if len(c.links) == 0 {
		n = firstProbes
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, m := range targets[:min(n, len(targets))] {
		c.dial(m, toProbe)
	}
}

// probeInterval keeps the fleet's rate of probes per missing instance constant.
func (c *control) probeInterval(targets int) time.Duration {
	if len(c.links) == 0 || targets == 0 {
		return c.timing.ProbeInterval / 3
	}
	members := len(c.o.Members())
	interval := c.timing.ProbeInterval * time.Duration(max(1, members/(probesPerTarget*targets)))
	return interval/2 + rand.N(interval)
}

// missing returns the instances that are known but not members.
func (c *control) missing() []peer.Member {
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

func listedMember(item platform.Listed) peer.Member {
	return peer.Member{ID: item.ID, Address: item.Address, DataCentre: item.DataCentre, Region: item.Region}
}

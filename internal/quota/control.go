package quota

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// control is the state of the limiter's control goroutine.
type control struct {
	l          *Limiter
	fleet      *fleet
	accounts   map[string]*account
	ownerships map[string]ownership
	renewals   map[string]*renewal
	// starved names the workspaces that need a lease or a larger share.
	starved  map[string]bool
	lastTick time.Time
	size     int
	// nextUrgent is the earliest time of the next scan for urgent renewals.
	nextUrgent time.Time
	calls      sync.WaitGroup
	// assigned is the map of workspaces for which ownerships were computed.
	assigned *map[string]*workspace
}

// ownership is who owns a workspace's limit, and since when in this instance's
// view.
type ownership struct {
	owner string
	since time.Time
}

// renewal is when to request a lease for a workspace again.
type renewal struct {
	last    time.Time
	next    time.Time
	pending bool
	// demand is the demand smoothed over renewals.
	demand share
}

// renewalResult is the outcome of one batch of lease requests.
type renewalResult struct {
	owner    string
	sentAt   time.Time
	requests []leaseRequest
	grants   []grant
	err      error
}

func newControl(l *Limiter, now time.Time) *control {
	return &control{
		l:          l,
		fleet:      newFleet(l.bus.Self().ID),
		accounts:   map[string]*account{},
		ownerships: map[string]ownership{},
		renewals:   map[string]*renewal{},
		starved:    map[string]bool{},
		lastTick:   now,
	}
}

// Run renews leases, and grants them for the workspaces that this instance owns,
// until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	c := newControl(l, time.Now())
	defer c.calls.Wait()
	c.tick(ctx, time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		panics.Run(log, func() { c.handleNext(ctx, ticker.C) })
	}
	return ctx.Err()
}

// handleNext waits for the next event and handles it.
func (c *control) handleNext(ctx context.Context, ticks <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-ticks:
		c.tick(ctx, time.Now())
	case <-c.l.urgent:
		c.renewUrgent(ctx, time.Now())
	case b := <-c.l.requests:
		b.reply <- c.grantLeases(b, time.Now())
	case r := <-c.l.results:
		c.finish(r, time.Now())
	case reply := <-c.l.dumps:
		reply <- c.dump(time.Now())
	}
}

// tick follows the membership and renews the leases that are due.
func (c *control) tick(ctx context.Context, now time.Time) {
	if now.Sub(c.lastTick) > pauseThreshold {
		log.WithField("pause", now.Sub(c.lastTick)).Warn("process was paused: ownerships restarted")
		c.restartOwnerships(now)
	}
	c.lastTick = now
	c.observe(now)
	c.renewDue(ctx, now)
	c.renewUrgent(ctx, now)
}

// observe applies changes of the membership and of the set of workspaces.
func (c *control) observe(now time.Time) {
	change := c.fleet.update(c.l.bus.Members(), now)
	workspaces := c.l.workspaces.Load()
	if change.healed {
		c.restartOwnerships(now)
	}
	if change.members || workspaces != c.assigned {
		c.assigned = workspaces
		c.assign(*workspaces, now)
	}
	if size := c.fleet.size(c.l.listed()); size != c.size {
		c.size = size
		for _, w := range *workspaces {
			w.setFleetSize(size, now)
		}
	}
}

// restartOwnerships makes this instance a new owner of all its workspaces: others
// may have owned them in the meantime.
func (c *control) restartOwnerships(now time.Time) {
	for name, o := range c.ownerships {
		c.ownerships[name] = ownership{o.owner, now}
	}
	clear(c.accounts)
}

// assign chooses the owner of each workspace.
func (c *control) assign(workspaces map[string]*workspace, now time.Time) {
	for name := range workspaces {
		owner := c.fleet.owner(workspaceHash(name))
		if old, ok := c.ownerships[name]; !ok || old.owner != owner {
			c.ownerships[name] = ownership{owner, now}
			delete(c.accounts, name)
		}
	}
	for name := range c.ownerships {
		if workspaces[name] == nil {
			delete(c.ownerships, name)
			delete(c.accounts, name)
			delete(c.renewals, name)
		}
	}
}

// grantLeases answers a batch of lease requests. Workspaces that this instance
// does not own get no grant.
func (c *control) grantLeases(b requestBatch, now time.Time) []grant {
	c.observe(now)
	workspaces := *c.assigned
	visible := c.fleet.visibleFraction(c.l.listed())
	grants := make([]grant, 0, len(b.requests))
	for _, req := range b.requests {
		w, o := workspaces[req.Workspace], c.ownerships[req.Workspace]
		if w == nil || o.owner != c.fleet.self {
			continue
		}
		a := c.accounts[req.Workspace]
		if a == nil {
			a = newAccount(o.since)
			c.accounts[req.Workspace] = a
		}
		grants = append(grants, a.grantLease(b.from, req, w.budget(visible), now))
	}
	return grants
}

// renewDue renews the leases that are due. Leases of the same owner for which at
// least half the time to their renewal has passed are renewed in the same call.
func (c *control) renewDue(ctx context.Context, now time.Time) {
	due := map[string]bool{}
	for name, r := range c.renewals {
		if !r.pending && !now.Before(r.next) {
			due[c.ownerships[name].owner] = true
		}
	}
	if len(due) == 0 {
		return
	}
	batches := map[string][]leaseRequest{}
	for name, r := range c.renewals {
		owner := c.ownerships[name].owner
		halfWay := r.next.Add(-r.next.Sub(r.last) / 2)
		if r.pending || !due[owner] || now.Before(halfWay) {
			continue
		}
		if req, ok := c.newRequest(name, (*c.assigned)[name], r, now); ok {
			batches[owner] = append(batches[owner], req)
		} else {
			delete(c.renewals, name)
		}
	}
	c.send(ctx, batches, now)
}

// renewUrgent requests leases for workspaces that have demand but no lease or too
// small a share.
func (c *control) renewUrgent(ctx context.Context, now time.Time) {
	if now.Before(c.nextUrgent) {
		return
	}
	c.nextUrgent = now.Add(urgentScanInterval)
	c.observe(now)
	c.l.starved.drain(c.starved)
	batches := map[string][]leaseRequest{}
	for name := range c.starved {
		w, r := (*c.assigned)[name], c.renewals[name]
		if w == nil {
			delete(c.starved, name)
			continue
		}
		wait := w.urgency(now)
		if wait == 0 {
			delete(c.starved, name)
			continue
		}
		if r != nil && (r.pending || now.Sub(r.last) < wait) {
			continue
		}
		if r == nil {
			r = &renewal{}
			c.renewals[name] = r
		}
		delete(c.starved, name)
		if req, ok := c.newRequest(name, w, r, now); ok {
			owner := c.ownerships[name].owner
			batches[owner] = append(batches[owner], req)
		}
	}
	c.send(ctx, batches, now)
}

// newRequest builds the lease request for one workspace; false means that none
// needs to be sent.
func (c *control) newRequest(name string, w *workspace, r *renewal, now time.Time) (leaseRequest, bool) {
	rep := w.resetReport(now)
	if unused := rep.usage.requests == 0 && rep.inUseOnLease == 0; unused {
		return w.releaseUnused(name, rep, now)
	}
	measured := rep.demand(now.Sub(r.last))
	if r.last.IsZero() {
		r.demand = measured
	}
	r.demand = r.demand.zip(measured, func(old, latest float64) float64 { return max(latest, (old+latest)/2) })
	r.last = now
	return leaseRequest{
		Workspace:  name,
		Demand:     r.demand,
		Held:       rep.held,
		LeftMillis: rep.left.Milliseconds(),
		InUse:      rep.inUseOnLease,
	}, true
}

// releaseUnused drops the lease of a workspace without demand. The owner is notified
// only if the lease would otherwise last longer than shortLeaseTTL.
func (w *workspace) releaseUnused(name string, rep report, now time.Time) (leaseRequest, bool) {
	w.release(now)
	return leaseRequest{Workspace: name, Release: true}, rep.left > shortLeaseTTL
}

// send calls each owner in its own goroutine.
func (c *control) send(ctx context.Context, batches map[string][]leaseRequest, now time.Time) {
	for owner, requests := range batches {
		for _, req := range requests {
			if r := c.renewals[req.Workspace]; r != nil {
				r.pending = true
				r.next = now.Add(callTimeout)
			}
		}
		if owner == c.fleet.self {
			grants := c.grantLeases(requestBatch{from: owner, requests: requests}, now)
			c.finish(renewalResult{owner, now, requests, grants, nil}, now)
			continue
		}
		c.calls.Go(func() { c.l.callOwner(ctx, owner, requests, now) })
	}
}

// callOwner sends one batch and passes the outcome to the control goroutine.
func (l *Limiter) callOwner(ctx context.Context, owner string, requests []leaseRequest, sentAt time.Time) {
	r := renewalResult{owner: owner, sentAt: sentAt, requests: requests}
	func() {
		defer panics.RecoverError(log, &r.err)
		r.grants, r.err = l.requestGrants(ctx, owner, requests)
	}()
	select {
	case l.results <- r:
	case <-ctx.Done():
	}
}

func (l *Limiter) requestGrants(ctx context.Context, owner string, requests []leaseRequest) ([]grant, error) {
	payload, err := encoding.Marshal(requests)
	if err != nil {
		return nil, trace.Wrap(err, "encoding lease requests")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := l.bus.Call(ctx, owner, leaseTopic, payload)
	if err != nil {
		return nil, err
	}
	var grants []grant
	return grants, trace.Wrap(wire.Unmarshal(answer, &grants, owner), "decoding lease grants")
}

// finish installs the granted leases. The lifetime of a lease counts from before
// it was requested, so that it expires here before it expires at the owner.
func (c *control) finish(r renewalResult, now time.Time) {
	granted := make(map[string]grant, len(r.grants))
	for _, g := range r.grants {
		granted[g.Workspace] = g
	}
	if r.err != nil {
		c.l.failedRenewals.Inc()
		log.WithError(r.err).WithField("keeper", r.owner).Debug("lease renewal failed")
	}
	for _, req := range r.requests {
		c.finishOne(req, granted[req.Workspace], r.sentAt, now)
	}
}

func (c *control) finishOne(req leaseRequest, g grant, sentAt, now time.Time) {
	r, w := c.renewals[req.Workspace], (*c.assigned)[req.Workspace]
	if r == nil || w == nil {
		return
	}
	r.pending = false
	r.next = sentAt.Add(shortRenewInterval)
	if g.RenewMillis > 0 {
		r.next = sentAt.Add(time.Duration(g.RenewMillis) * time.Millisecond)
	}
	if req.Release {
		delete(c.renewals, req.Workspace)
		return
	}
	if g.TTLMillis > 0 {
		w.installLease(g.Share.finite(), sentAt.Add(time.Duration(g.TTLMillis)*time.Millisecond), now)
	}
}

package quota

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// control is the state of the limiter's control goroutine.
type control struct {
	l        *Limiter
	fleet    *fleet
	accounts map[string]*account
	tenures  map[string]tenure
	renewals map[string]*renewal
	// starved names the workspaces that want a larger share.
	starved  map[string]bool
	lastTick time.Time
	size     int
	// nextUrgent bounds how often all workspaces are looked through.
	nextUrgent time.Time
	calls      sync.WaitGroup
	// known is the map of workspaces that tenures were computed for.
	known *map[string]*workspace
}

// tenure is who keeps a workspace, and since when in this instance's view.
type tenure struct {
	keeper string
	since  time.Time
}

// renewal is when to ask for a workspace again.
type renewal struct {
	last    time.Time
	next    time.Time
	pending bool
	// demand is smoothed over renewals.
	demand share
}

// renewed is the outcome of one batch of asks.
type renewed struct {
	keeper string
	sentAt time.Time
	asks   []ask
	grants []grant
	err    error
}

func newControl(l *Limiter, now time.Time) *control {
	return &control{
		l:        l,
		fleet:    newFleet(l.bus.Self().ID),
		accounts: map[string]*account{},
		tenures:  map[string]tenure{},
		renewals: map[string]*renewal{},
		starved:  map[string]bool{},
		lastTick: now,
	}
}

// Run renews leases and keeps the accounts of this instance's workspaces until
// ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	c := newControl(l, time.Now())
	defer c.calls.Wait()
	c.tick(ctx, time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.tick(ctx, time.Now())
		case <-l.urgent:
			c.renewUrgent(ctx, time.Now())
		case b := <-l.asks:
			b.reply <- c.lend(b, time.Now())
		case r := <-l.results:
			c.finish(r, time.Now())
		case reply := <-l.dumps:
			reply <- c.dump(time.Now())
		}
	}
}

// tick follows the membership and renews the leases that are due.
func (c *control) tick(ctx context.Context, now time.Time) {
	if now.Sub(c.lastTick) > pauseThreshold {
		log.WithField("pause", now.Sub(c.lastTick)).Warn("The process was paused; leases are lent anew.")
		c.restartTenures(now)
	}
	c.lastTick = now
	c.observe(now)
	c.renewDue(ctx, now)
	c.renewUrgent(ctx, now)
}

// observe takes changes of the membership and of the set of workspaces.
func (c *control) observe(now time.Time) {
	change := c.fleet.update(c.l.bus.Members(), now)
	workspaces := c.l.workspaces.Load()
	if change.healed {
		c.restartTenures(now)
	}
	if change.members || workspaces != c.known {
		c.known = workspaces
		c.assign(*workspaces, now)
	}
	if size := c.fleet.size(c.l.listed()); size != c.size {
		c.size = size
		for _, w := range *workspaces {
			w.setFleetSize(size, now)
		}
	}
}

// restartTenures makes this instance a new keeper of all its workspaces: others
// may have kept them in the meantime.
func (c *control) restartTenures(now time.Time) {
	for name, t := range c.tenures {
		c.tenures[name] = tenure{t.keeper, now}
	}
	clear(c.accounts)
}

// assign chooses the keeper of each workspace.
func (c *control) assign(workspaces map[string]*workspace, now time.Time) {
	for name := range workspaces {
		keeper := c.fleet.keeper(hashOf(name))
		if old, ok := c.tenures[name]; !ok || old.keeper != keeper {
			c.tenures[name] = tenure{keeper, now}
			delete(c.accounts, name)
		}
	}
	for name := range c.tenures {
		if workspaces[name] == nil {
			delete(c.tenures, name)
			delete(c.accounts, name)
			delete(c.renewals, name)
		}
	}
}

// lend answers a batch of asks. Workspaces that this instance does not keep get
// no grant.
func (c *control) lend(b askBatch, now time.Time) []grant {
	c.observe(now)
	workspaces := *c.known
	part := c.fleet.part(c.l.listed())
	grants := make([]grant, 0, len(b.asks))
	for _, q := range b.asks {
		w, t := workspaces[q.Workspace], c.tenures[q.Workspace]
		if w == nil || t.keeper != c.fleet.self {
			continue
		}
		a := c.accounts[q.Workspace]
		if a == nil {
			a = newAccount(t.since)
			c.accounts[q.Workspace] = a
		}
		grants = append(grants, a.lend(b.from, q, w.capital(part), now))
	}
	return grants
}

// renewDue asks for the leases whose time has come. Leases of the same keeper
// that are at least half way to theirs travel in the same call.
func (c *control) renewDue(ctx context.Context, now time.Time) {
	due := map[string]bool{}
	for name, r := range c.renewals {
		if !r.pending && !now.Before(r.next) {
			due[c.tenures[name].keeper] = true
		}
	}
	if len(due) == 0 {
		return
	}
	batches := map[string][]ask{}
	for name, r := range c.renewals {
		keeper := c.tenures[name].keeper
		halfWay := r.next.Add(-r.next.Sub(r.last) / 2)
		if r.pending || !due[keeper] || now.Before(halfWay) {
			continue
		}
		if q, ok := c.ask(name, (*c.known)[name], r, now); ok {
			batches[keeper] = append(batches[keeper], q)
		} else {
			delete(c.renewals, name)
		}
	}
	c.send(ctx, batches, now)
}

// renewUrgent asks for workspaces that have demand but no or too small a share.
func (c *control) renewUrgent(ctx context.Context, now time.Time) {
	if now.Before(c.nextUrgent) {
		return
	}
	c.nextUrgent = now.Add(urgentScan)
	c.observe(now)
	c.l.starved.drain(c.starved)
	batches := map[string][]ask{}
	for name := range c.starved {
		w, r := (*c.known)[name], c.renewals[name]
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
		if q, ok := c.ask(name, w, r, now); ok {
			keeper := c.tenures[name].keeper
			batches[keeper] = append(batches[keeper], q)
		}
	}
	c.send(ctx, batches, now)
}

// ask builds the ask for one workspace, or states that none is needed.
func (c *control) ask(name string, w *workspace, r *renewal, now time.Time) (ask, bool) {
	rep := w.takeReport(now)
	if unused := rep.usage.requests == 0 && rep.inLease == 0; unused {
		return w.giveUp(name, rep, now)
	}
	measured := rep.demand(now.Sub(r.last))
	if r.last.IsZero() {
		r.demand = measured
	}
	r.demand = r.demand.zip(measured, func(old, latest float64) float64 { return max(latest, (old+latest)/2) })
	r.last = now
	return ask{
		Workspace:  name,
		Demand:     r.demand,
		Held:       rep.held,
		LeftMillis: rep.left.Milliseconds(),
		InUse:      rep.inLease,
	}, true
}

// giveUp ends the use of a lease. One that would stay booked for long is given
// back, a short one is left to expire.
func (w *workspace) giveUp(name string, rep report, now time.Time) (ask, bool) {
	w.release(now)
	return ask{Workspace: name, Release: true}, rep.left > shortTTL
}

// send calls each keeper in a goroutine of its own.
func (c *control) send(ctx context.Context, batches map[string][]ask, now time.Time) {
	for keeper, asks := range batches {
		for _, q := range asks {
			if r := c.renewals[q.Workspace]; r != nil {
				r.pending = true
				r.next = now.Add(callTimeout)
			}
		}
		if keeper == c.fleet.self {
			grants := c.lend(askBatch{from: keeper, asks: asks}, now)
			c.finish(renewed{keeper, now, asks, grants, nil}, now)
			continue
		}
		c.calls.Go(func() { c.l.callKeeper(ctx, keeper, asks, now) })
	}
}

// callKeeper sends one batch and hands the outcome to the control goroutine.
func (l *Limiter) callKeeper(ctx context.Context, keeper string, asks []ask, sentAt time.Time) {
	r := renewed{keeper: keeper, sentAt: sentAt, asks: asks}
	r.grants, r.err = l.callForGrants(ctx, keeper, asks)
	select {
	case l.results <- r:
	case <-ctx.Done():
	}
}

func (l *Limiter) callForGrants(ctx context.Context, keeper string, asks []ask) ([]grant, error) {
	payload, err := encoding.Marshal(asks)
	if err != nil {
		return nil, trace.Wrap(err, "encoding asks for leases")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := l.bus.Call(ctx, keeper, leaseTopic, payload)
	if err != nil {
		return nil, err
	}
	var grants []grant
	return grants, trace.Wrap(cbor.Unmarshal(answer, &grants), "decoding leases")
}

// finish installs the grants. A lease counts from before it was asked for, so
// that it ends here before it ends at the keeper.
func (c *control) finish(r renewed, now time.Time) {
	granted := make(map[string]grant, len(r.grants))
	for _, g := range r.grants {
		granted[g.Workspace] = g
	}
	if r.err != nil {
		c.l.fallbacks.Inc()
		log.WithError(r.err).WithField("keeper", r.keeper).Debug("Leases could not be renewed.")
	}
	for _, q := range r.asks {
		c.finishOne(q, granted[q.Workspace], r.sentAt, now)
	}
}

func (c *control) finishOne(q ask, g grant, sentAt, now time.Time) {
	r, w := c.renewals[q.Workspace], (*c.known)[q.Workspace]
	if r == nil || w == nil {
		return
	}
	r.pending = false
	r.next = sentAt.Add(shortRenew)
	if g.RenewMillis > 0 {
		r.next = sentAt.Add(time.Duration(g.RenewMillis) * time.Millisecond)
	}
	if q.Release {
		delete(c.renewals, q.Workspace)
		return
	}
	if g.TTLMillis > 0 {
		w.grant(g.Share.finite(), sentAt.Add(time.Duration(g.TTLMillis)*time.Millisecond), now)
	}
}

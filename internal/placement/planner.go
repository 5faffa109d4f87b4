package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/costmodel"
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/enginemodel"
	"github.com/banyanroute/banyanroute/internal/fairshare"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

var log = logging.For("placement")

// overdueGrace is how long a job whose end was not reported is retained after its
// deadline.
const overdueGrace = 2 * time.Second

// Planner places jobs. All methods are safe for concurrent use.
type Planner struct {
	// dataCentre is the data centre preferred among equal upstreams.
	dataCentre string

	mu    sync.Mutex
	pools map[string]*pool
	jobs  map[string]*placed
	// poison detects requests that crash the upstreams that run them. It knows an
	// upstream by its incarnation.
	poison *poison.Table
	// parts does the same for parts of prompts.
	parts *poison.PartTable
	// limits holds the limits that upstreams name.
	limits *upstreamlimit.Table
	// cold holds the cold upstreams; coldBounds, if set, returns the bounds for them.
	cold *upstreamlimit.ColdTable
	// limitsCold reports whether a service has a rate for cold upstreams.
	limitsCold atomic.Bool
	coldBounds func() upstreamlimit.ColdBounds
	// costs predicts what jobs cost; nil if that is not to be learned.
	costs *costs
	// crashedAt holds when an upstream last crashed, by address, for unstableTime.
	crashedAt map[string]time.Time
	// unexplained holds the upstreams, by incarnation, on which an attempt was lost and
	// that are neither known to have crashed nor to be alive.
	unexplained map[string]unexplainedLoss
	// onNotices, if set, passes poison notices to the other instances. It must not block.
	onNotices func([]poison.Notice)
	// onQuarantine, if set, is called for each change of a quarantine that this instance
	// must store. It must not block.
	onQuarantine func(QuarantineChange)
	// sweptAt is when overdue jobs were last dropped.
	sweptAt time.Time
	// view is the one that was last set; nil before the first.
	view *deployment.View
}

// placed is a job and the decision that placed it.
type placed struct {
	job      Job
	decision Decision
	// run is the run of the upstream on which the job was placed; the upstream's ID is empty
	// if it was not listed.
	run
	// pool is the pool in which the job is counted; nil if its upstream was not listed. A
	// service that is configured anew has another one.
	pool *pool
	// leaving reports whether that incarnation has left as planned.
	leaving bool
	// planned reports whether this planner placed the job, alone whether it did so without
	// knowing the jobs of the other instances.
	planned  bool
	alone    bool
	at       time.Time
	deadline time.Time
	// charge is the work charged to the accounts of the pool for a time.
	charge    fairshare.Work
	chargedAt time.Time
	// answered reports whether the first token has arrived, answeredAt when.
	answered   bool
	answeredAt time.Time
	// begunAt is when the job got a slot of a plain upstream, as far as is known.
	begunAt time.Time
	// work is the distribution of the work time on a plain upstream; nil if it was not known.
	work *costmodel.Work
}

// pool holds the upstreams of one service.
type pool struct {
	service deployment.Service
	members map[string]*member
	// absent holds members that are not listed, by ID. An entry may be away for a moment only;
	// what is known of the upstream and runs there outlasts that.
	absent map[string]absentMember
	// order lists the members that may get jobs by ID, so that decisions are deterministic.
	order []*member
	// listed reports whether upstreams have been listed.
	listed bool
	// starting holds the engines that have just started.
	starting []*member
	// nextReturn is when the next caller that is refused for limits is told to return.
	nextReturn time.Time
	// nextStart is where the next plain job starts in the order (round robin).
	nextStart int
	// frontJobs is the number of jobs in flight whose prompts are not very long.
	frontJobs int
	// shares holds the accounts of the callers; nil if they do not compete.
	shares *shares
}

// absentMemory is how long a member is kept that is not listed, as long as the mark of an upstream
// that leaves.
const absentMemory = 10 * time.Minute

// absentMember is a member that is not listed.
type absentMember struct {
	*member
	since time.Time
}

// member returns the member with an ID, listed or not; nil if there is none.
func (pl *pool) member(id string) *member {
	if m := pl.members[id]; m != nil {
		return m
	}
	return pl.absent[id].member
}

// scope is the set of instances whose jobs a planner knows when it decides.
type scope uint8

const (
	// fleetwide plans for all instances: the work of all of them is known.
	fleetwide scope = iota
	// alone plans for this instance only. Others may do the same.
	alone
)

// member is one upstream of a pool.
type member struct {
	run
	listing listing
	start   start
	// hidden reports whether the upstream gets no jobs because its data centre is evacuated.
	hidden bool
	// crashedAt is when the run was found to have crashed with a job in flight; zero if it
	// was not.
	crashedAt time.Time
	health    health
	// engine predicts a model engine; nil for a plain service.
	engine *enginemodel.Engine
	// answeredAt is when the upstream last began or ended an answer.
	answeredAt time.Time
	// jobs is the number of jobs placed here that have not ended, suspects the number of
	// those whose request is a suspect.
	jobs     int
	suspects int
	// trials is the number of those that are trials of a prompt part.
	trials int
	// position is the relative position in the order of the current decision, from
	// 0 to 1.
	position float64
	// cachedCost is the value that the engine's requests are expected to lose by
	// lateness, as predicted at costAt for costVersion of the engine's work.
	cachedCost  float64
	costAt      time.Time
	costVersion uint64
	// endAt is when the last answer of an engine ended that its speed was learned from.
	endAt time.Time
	// line holds the jobs on a plain upstream in the order of their placement, pace is its pace.
	line []*placed
	pace costmodel.Pace
	// placedAt is when the last job was placed on a plain upstream, placedTurn the pool's
	// nextStart then.
	placedAt   time.Time
	placedTurn int
	// waitKnown is the expected wait at a plain upstream as of waitAt, which is zero if its jobs
	// have changed since.
	waitKnown time.Duration
	waitAt    time.Time
}

// NewPlanner returns a Planner without upstreams.
func NewPlanner(dataCentre string) *Planner {
	return &Planner{
		dataCentre: dataCentre, pools: map[string]*pool{}, jobs: map[string]*placed{},
		poison: poison.NewTable(), parts: poison.NewPartTable(), limits: upstreamlimit.NewTable(), cold: upstreamlimit.NewColdTable(), crashedAt: map[string]time.Time{}, unexplained: map[string]unexplainedLoss{},
	}
}

// SetView installs the current configuration and upstreams. Upstreams that remain
// keep their work; those that are leaving are dropped like those that are gone. Those of
// evacuated data centres remain members, so that their jobs, crashes and restarts are seen, but
// get no jobs.
func (p *Planner) SetView(v *deployment.View) {
	if v.Config == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	isNewConfig := p.view == nil || p.view.Config != v.Config
	p.view = v
	limitsCold := false
	for name, service := range v.Config.Services {
		limitsCold = limitsCold || service.ColdPerSecond > 0
		pl := p.pools[name]
		if pl == nil {
			pl = &pool{members: map[string]*member{}, absent: map[string]absentMember{}}
			p.pools[name] = pl
		}
		now := time.Now()
		restarted, removed := pl.set(service, v.Listed(name), v.Evacuated, now)
		p.observeEntries(pl, now)
		if isNewConfig { // it looks at all routes, and views change with every entry of an upstream
			pl.setShares(v.Config, name)
		}
		for _, r := range restarted {
			p.crashed(r, time.Now())
		}
		for _, up := range removed {
			listed, known := v.Upstream(up.ID)
			switch {
			case known && listed.Leaving:
				p.markLeaving(up)
			case !known:
				p.explainEarlyLeaves(p.currentRun(up), now)
			}
		}
	}
	for name := range p.pools {
		if _, known := v.Config.Services[name]; !known {
			delete(p.pools, name)
		}
	}
	p.limitsCold.Store(limitsCold)
	p.pruneLimits(time.Now())
}

// services returns the names of all services.
func (p *Planner) services() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.pools))
}

// set replaces the members. Those in data centres for which evacuated returns true get no
// jobs. It returns the old runs of those that restarted, and the
// upstreams that are leaving or no longer listed.
func (pl *pool) set(service deployment.Service, upstreams []deployment.Upstream, evacuated func(dataCentre string) bool, now time.Time) (restarted []run, removed []deployment.Upstream) {
	pl.service = service
	next := make(map[string]*member, len(upstreams))
	pl.order = pl.order[:0]
	for _, up := range upstreams {
		m := pl.members[up.ID]
		if m == nil || !m.upstream.SameIncarnation(up) {
			if m != nil {
				restarted = append(restarted, m.run)
			}
			m = pl.returned(up, service)
			pl.joined(m, up, now)
		}
		hidden := evacuated(up.DataCentre)
		if m.hidden && !hidden {
			pl.joined(m, up, now)
		}
		m.hidden = hidden
		m.upstream = up
		if m.engine != nil && service.Engine != nil {
			m.engine.SetModel(service.Engine)
		}
		next[up.ID] = m
		if !hidden {
			pl.order = append(pl.order, m)
		}
	}
	for id, m := range pl.members {
		if next[id] == nil {
			removed = append(removed, m.upstream)
			pl.absent[id] = absentMember{m, now}
		}
	}
	maps.DeleteFunc(pl.absent, func(_ string, m absentMember) bool { return now.Sub(m.since) > absentMemory })
	pl.members = next
	slices.SortFunc(pl.order, func(a, b *member) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	return restarted, removed
}

// returned returns the member of an incarnation that is listed again, or a new one. What is known
// of earlier incarnations ends.
func (pl *pool) returned(up deployment.Upstream, service deployment.Service) *member {
	absent := pl.absent[up.ID].member
	if absent != nil && up.Born >= absent.upstream.Born {
		delete(pl.absent, up.ID)
		if absent.upstream.SameIncarnation(up) {
			return absent
		}
	}
	m := &member{}
	if service.Engine != nil {
		m.engine = enginemodel.NewEngine(service.Engine)
	}
	return m
}

// Place chooses an upstream for the job and records the job there. limitShare is the part of
// the limits that upstreams name that this instance may use.
func (p *Planner) Place(j Job, limitShare float64, now time.Time) Decision {
	return p.place(j, authority{scope: fleetwide, role: upstreamlimit.Home, limitShare: limitShare}, now)
}

// PlaceAlone chooses an upstream for a job of this instance without a home that
// knows the work of the other instances.
func (p *Planner) PlaceAlone(j Job, limitShare float64, now time.Time) Decision {
	return p.place(j, authorityAlone(j, limitShare), now)
}

// authority is for whom an instance places a job, and what it may use.
type authority struct {
	scope scope
	// role is the role for cold upstreams.
	role upstreamlimit.Role
	// start selects the upstream at which the order starts; empty is the first.
	start string
	// limitShare is the part of the limits that upstreams name that this instance may use.
	limitShare float64
}

// authorityAlone is that of an instance without a home.
func authorityAlone(j Job, limitShare float64) authority {
	return authority{scope: alone, role: upstreamlimit.Outsider, start: j.Owner, limitShare: limitShare}
}

func (p *Planner) place(j Job, a authority, now time.Time) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	pl := p.pools[j.Service]
	if pl == nil || len(pl.order) == 0 {
		return Decision{Reason: NoUpstream, RetryAfter: firstPause}
	}
	p.estimate(pl, &j, now)
	verdict := p.verdict(&j, now)
	if d, refused := p.refuseSuspect(&j, verdict, now); refused {
		return d
	}
	trial, d, refused := p.trialOf(&j, now)
	if refused {
		return d
	}
	pl.fadeStarts(now)
	candidates := pl.candidates(&j, a.start, now)
	if len(candidates) > 0 {
		warm, cold := p.withinCold(pl, candidates, &j, a.role, now)
		within, refusal := p.withinLimits(warm, &j, a.limitShare, now)
		if len(within) == 0 {
			d = pl.refuseForLimits(refusal.or(cold), a.scope, now)
			countPlacement(j.Service, d)
			return d
		}
		candidates = within
	}
	if len(trial) > 0 {
		candidates = p.trialCandidates(candidates, now)
		if len(candidates) == 0 {
			return p.refuseParts(&j, poison.Assessment{Verdict: poison.Pending, Suspects: trial})
		}
	}
	if len(candidates) == 0 {
		return Decision{Reason: NoUpstream, RetryAfter: firstPause}
	}
	suspect, apart := verdict == poison.Suspect || len(trial) > 0, false
	if suspect {
		candidates, apart = withoutSuspects(candidates)
	}
	if pl.service.Engine != nil {
		d = pl.share(&j, p.placeGeneration(pl, candidates, &j, now), now)
	} else {
		d = p.placePlain(pl, candidates, &j, now)
	}
	if d.Upstream != "" {
		// An instance that plans alone does not know the suspects of the others.
		d.Suspect, d.Apart, d.Trial = suspect, apart && a.scope == fleetwide, trial
		d.Cold, d.decidedAt = p.adopt(pl, j, d, true, now), now
		p.jobs[j.ID].planned, p.jobs[j.ID].alone = true, a.scope == alone
	}
	countPlacement(j.Service, d)
	metrics.GetOrCreateHistogram(`banyanroute_placement_seconds`).UpdateDuration(now)
	return d
}

// countPlacement counts a decision in the metrics.
func countPlacement(service string, d Decision) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_placements_total{service=%q,result=%q}`, service, d.Reason)).Inc()
}

// candidates returns the members that may get the job, in the order of the
// decision, which starts where the text start selects. If more than half of the untried ones are unusable, the health state
// itself is taken to be wrong, and all untried ones are returned.
func (pl *pool) candidates(j *Job, start string, now time.Time) []*member {
	n := len(pl.order)
	first := 0
	if start != "" {
		first = int(xxhash.Sum64String(start) % uint64(n))
	}
	usable, untried := make([]*member, 0, n), make([]*member, 0, n)
	for i := range n {
		m := pl.order[(first+i)%n]
		m.position = float64(i) / float64(n)
		if slices.Contains(j.Avoid, m.upstream.ID) {
			continue
		}
		untried = append(untried, m)
		if m.health.usable(now) {
			usable = append(usable, m)
		}
	}
	if 2*len(usable) < len(untried) {
		return untried
	}
	return usable
}

// sweepInterval is the time between two checks for overdue jobs.
const sweepInterval = time.Second

// sweep drops overdue jobs, whose end was never reported.
func (p *Planner) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for _, pj := range p.jobs {
		if now.After(pj.deadline.Add(overdueGrace)) {
			p.drop(pj, now)
		}
	}
}

// upstreams returns the IDs of all engines of a decision, the decoding one first.
func (d *Decision) upstreams() []string {
	ids := make([]string, 1, 1+len(d.Helpers))
	ids[0] = d.Upstream
	for _, h := range d.Helpers {
		ids = append(ids, h.Upstream)
	}
	return ids
}

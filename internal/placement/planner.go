package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/enginemodel"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/poison"
)

var log = logging.For("placement")

// jobLinger is how long after its time a job is forgotten whose end was never
// told.
const jobLinger = 2 * time.Second

// Planner places jobs. All methods are safe for concurrent use.
type Planner struct {
	// dataCentre is preferred among equals.
	dataCentre string

	mu    sync.Mutex
	pools map[string]*pool
	jobs  map[string]*placed
	// poison finds requests that crash the upstreams that run them.
	poison *poison.Table
	// sweptAt is when overdue jobs were last dropped.
	sweptAt time.Time
}

// placed is a job with its place.
type placed struct {
	job      Job
	decision Decision
	at       time.Time
	deadline time.Time
	// answered says that the first token has arrived.
	answered bool
}

// pool is the upstreams of one service.
type pool struct {
	service deployment.Service
	members map[string]*member
	// order lists the members by ID, so that decisions can be repeated.
	order []*member
	turn  int
}

// member is one upstream.
type member struct {
	upstream  deployment.Upstream
	condition condition
	// engine predicts a model engine; nil for a plain service.
	engine *enginemodel.Engine
	// jobs counts the jobs placed here.
	jobs int
	// position is the place in the pool's order, from 0 to 1.
	position float64
	// lossNow is what the engine's requests are expected to lose, as of lossAt
	// and lossVersion.
	lossNow     float64
	lossAt      time.Time
	lossVersion uint64
}

// NewPlanner returns a Planner that knows no upstreams.
func NewPlanner(dataCentre string) *Planner {
	return &Planner{dataCentre: dataCentre, pools: map[string]*pool{}, jobs: map[string]*placed{}, poison: poison.NewTable()}
}

// SetView takes the present configuration and upstreams. Known upstreams keep
// their work, also while they leave.
func (p *Planner) SetView(v *deployment.View) {
	if v.Config == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, service := range v.Config.Services {
		pl := p.pools[name]
		if pl == nil {
			pl = &pool{members: map[string]*member{}}
			p.pools[name] = pl
		}
		for _, id := range pl.set(service, v.Upstreams(name)) {
			p.crashed(id, time.Now())
		}
	}
	for name := range p.pools {
		if _, known := v.Config.Services[name]; !known {
			delete(p.pools, name)
		}
	}
}

// set replaces the members and returns the IDs of those that started anew or are
// gone.
func (pl *pool) set(service deployment.Service, upstreams []deployment.Upstream) (ended []string) {
	pl.service = service
	next := make(map[string]*member, len(upstreams))
	pl.order = pl.order[:0]
	for _, up := range upstreams {
		m := pl.members[up.ID]
		if m == nil || m.upstream.Born != up.Born || m.upstream.Address != up.Address {
			if m != nil {
				ended = append(ended, up.ID)
			}
			m = &member{}
			if service.Engine != nil {
				m.engine = enginemodel.NewEngine(service.Engine)
			}
		}
		m.upstream = up
		if m.engine != nil && service.Engine != nil {
			m.engine.SetModel(service.Engine)
		}
		next[up.ID] = m
		pl.order = append(pl.order, m)
	}
	for id := range pl.members {
		if next[id] == nil {
			ended = append(ended, id)
		}
	}
	pl.members = next
	slices.SortFunc(pl.order, func(a, b *member) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	for i, m := range pl.order {
		m.position = float64(i) / float64(len(pl.order))
	}
	return ended
}

// Place chooses a place for the job and notes it there.
func (p *Planner) Place(j Job, now time.Time) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	pl := p.pools[j.Service]
	if pl == nil || len(pl.order) == 0 {
		return Decision{Reason: NoUpstream, RetryAfter: firstPause}
	}
	if verdict, wait := p.poison.Verdict(j.Fingerprint, now); j.Fingerprint != 0 && verdict == poison.Condemned {
		return Decision{Reason: Poisoned, RetryAfter: wait}
	}
	candidates := pl.candidates(&j, now)
	if len(candidates) == 0 {
		return Decision{Reason: NoUpstream, RetryAfter: firstPause}
	}
	var d Decision
	if pl.service.Engine != nil {
		d = p.placeGeneration(pl, candidates, &j, now)
	} else {
		d = p.placeCall(pl, candidates, now)
	}
	if d.Upstream != "" {
		p.adopt(pl, j, d, now)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_placements_total{service=%q,result=%q}`, j.Service, d.Reason)).Inc()
	metrics.GetOrCreateHistogram(`banyanroute_placement_seconds`).UpdateDuration(now)
	return d
}

// candidates returns the members that may take the job. If more than half of
// them are unusable, the judgement itself is doubted and all are returned.
func (pl *pool) candidates(j *Job, now time.Time) []*member {
	var usable, untried []*member
	for _, m := range pl.order {
		if slices.Contains(j.Avoid, m.upstream.ID) {
			continue
		}
		untried = append(untried, m)
		if m.condition.usable(now) {
			usable = append(usable, m)
		}
	}
	if 2*len(usable) < len(untried) {
		return untried
	}
	return usable
}

// Adopt notes a job that was placed elsewhere.
func (p *Planner) Adopt(a Adoption, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[a.Job.Service]
	if pl == nil || a.Decision.Upstream == "" {
		return
	}
	p.adopt(pl, a.Job, a.Decision, now)
	if a.Answered {
		p.firstAnswer(a.Job.ID, now)
	}
}

func (p *Planner) adopt(pl *pool, j Job, d Decision, now time.Time) {
	if _, known := p.jobs[j.ID]; known {
		return
	}
	p.jobs[j.ID] = &placed{job: j, decision: d, at: now, deadline: now.Add(j.Lifetime)}
	first := pl.members[d.Upstream]
	if first == nil {
		return
	}
	first.jobs++
	if first.engine == nil {
		return
	}
	for _, w := range pl.works(&j, d, now) {
		if m := pl.members[w.upstream]; m != nil {
			m.engine.Add(w.work, now)
		}
	}
}

// FirstAnswer notes that the job's first token or answer arrived at its caller's
// instance.
func (p *Planner) FirstAnswer(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstAnswer(id, now)
}

func (p *Planner) firstAnswer(id string, now time.Time) {
	pj := p.jobs[id]
	if pj == nil {
		return
	}
	pj.answered = true
	pl := p.pools[pj.job.Service]
	if pl == nil {
		return
	}
	for _, up := range pj.decision.upstreams() {
		if m := pl.members[up]; m != nil && m.engine != nil {
			predicted := m.engine.FirstToken(id, now)
			if up == pj.decision.Upstream {
				m.learnPace(pj, predicted, now)
			}
		}
	}
}

// Ended notes the end of a job.
func (p *Planner) Ended(id string, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pj := p.jobs[id]
	if pj == nil {
		return
	}
	p.drop(pj, now)
	pl := p.pools[pj.job.Service]
	if pl == nil {
		return
	}
	m := pl.members[pj.decision.Upstream]
	if m == nil {
		return
	}
	if fp := pj.job.Fingerprint; fp != 0 {
		p.learnPoison(m, fp, o, now)
	}
	if m.condition.note(o, now) {
		log.WithField("upstream", m.upstream.ID).WithField("outcome", o.String()).WithField("request", id).
			WithField("pause", m.condition.pause).Warn("An upstream gets no work until a probe succeeds.")
	}
}

// learnPoison keeps account of requests whose upstreams were lost.
func (p *Planner) learnPoison(m *member, fingerprint uint64, o Outcome, now time.Time) {
	switch o {
	case Lost:
		p.poison.Lost(m.upstream.ID, strconv.FormatInt(m.upstream.Born, 10), fingerprint, m.jobs == 0, now)
	case Completed:
		p.poison.Completed(fingerprint)
	}
}

// crashed notes that an upstream ended: what was lost there may have crashed it.
func (p *Planner) crashed(id string, now time.Time) {
	for _, notice := range p.poison.Confirm(id, now) {
		log.WithField("upstream", id).WithField("fingerprint", notice.Fingerprint).WithField("crashes", len(notice.Crashes)).
			Warn("A request was lost with an upstream that ended.")
	}
}

// drop takes a job off its upstreams.
func (p *Planner) drop(pj *placed, now time.Time) {
	delete(p.jobs, pj.job.ID)
	pl := p.pools[pj.job.Service]
	if pl == nil {
		return
	}
	for i, up := range pj.decision.upstreams() {
		m := pl.members[up]
		if m == nil {
			continue
		}
		if i == 0 {
			m.jobs = max(m.jobs-1, 0)
		}
		if m.engine != nil {
			m.engine.Remove(pj.job.ID, now)
		}
	}
}

// sweepInterval is the time between two looks for overdue jobs.
const sweepInterval = time.Second

// sweep drops jobs whose end was never told.
func (p *Planner) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for _, pj := range p.jobs {
		if now.After(pj.deadline.Add(jobLinger)) {
			p.drop(pj, now)
		}
	}
}

// take applies news of a job.
func (p *Planner) take(e event, now time.Time) {
	switch e.Kind {
	case eventAdopt:
		if e.Adopted != nil {
			p.Adopt(*e.Adopted, now)
		}
	case eventFirst:
		p.FirstAnswer(e.ID, now)
	case eventEnd:
		p.Ended(e.ID, e.Outcome, now)
	case eventReset:
		p.reset(e.Owner, e.Service, now)
	}
}

// reset forgets an owner's jobs of a service.
func (p *Planner) reset(owner, service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pj := range p.jobs {
		if pj.job.Owner == owner && pj.job.Service == service {
			p.drop(pj, now)
		}
	}
}

// dropOwners forgets the jobs of all owners that are not live.
func (p *Planner) dropOwners(live map[string]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pj := range p.jobs {
		if !live[pj.job.Owner] {
			p.drop(pj, now)
		}
	}
}

// own returns the jobs of an owner as news for a new home of their service.
func (p *Planner) own(service, owner string, now time.Time) []event {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []event{{Kind: eventReset, Owner: owner, Service: service}}
	for _, pj := range p.jobs {
		if pj.job.Owner != owner || pj.job.Service != service {
			continue
		}
		a := &Adoption{Job: pj.job, Decision: pj.decision, Since: now.Sub(pj.at), Answered: pj.answered}
		a.Job.Waited += a.Since
		a.Job.Lifetime -= a.Since
		list = append(list, event{Kind: eventAdopt, ID: pj.job.ID, Adopted: a})
	}
	return list
}

// ownerName names an incarnation of an instance.
func ownerName(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

// Suspects returns the upstreams that a probe should look at now.
func (p *Planner) Suspects(now time.Time) []deployment.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []deployment.Upstream
	for _, pl := range p.pools {
		for _, m := range pl.order {
			if m.condition.down && m.condition.usable(now.Add(firstPause)) {
				list = append(list, m.upstream)
			}
		}
	}
	return list
}

// Probed takes the result of a probe of a suspect.
func (p *Planner) Probed(service, id string, ok bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[service]; pl != nil && pl.members[id] != nil {
		pl.members[id].condition.probed(ok, now)
	}
	if !ok {
		p.crashed(id, now)
	}
}

// upstreams returns the IDs of all engines of a decision, the first one first.
func (d *Decision) upstreams() []string {
	ids := make([]string, 1, 1+len(d.Helpers))
	ids[0] = d.Upstream
	for _, h := range d.Helpers {
		ids = append(ids, h.Upstream)
	}
	return ids
}

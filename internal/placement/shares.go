package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/enginemodel"
	"github.com/banyanroute/banyanroute/internal/fairshare"
)

// While engines are short of room, jobs that found none leave claims. A job that could be placed
// yields to the claims of jobs that come before it: those of more urgent ranks, where a workspace
// far above its fair share loses a rank for each doubling. Without claims decisions are the same
// as without shares.

const (
	// maxClaims bounds the claims of a pool, and thereby the time of a decision.
	maxClaims = 512
	// claimSlack is how long a claim outlasts the pause after which its job is placed again.
	claimSlack = 100 * time.Millisecond
	// returnMemory is how long a refused caller is remembered after the time at which it was
	// told to return.
	returnMemory = 5 * time.Second
	// claimCredit is the work that yields to a claim, as a multiple of the claim's own: some of
	// the room that others leave is taken by jobs that do not yield.
	claimCredit = 2
	// claimReach is the largest work of a claim as a multiple of that of a job that yields to
	// it. The room that a smaller job leaves does not serve the claim: with 10, days on which long
	// prompts were the most urgent were worth less in replays.
	claimReach = 2
	// farAbove is the multiple of its fair share from which on a workspace loses a rank.
	farAbove = 2
	// maxDemotion bounds the ranks that a workspace loses.
	maxDemotion = 4
	// rankFloor is the share of the work of the window that each rank has before it yields.
	rankFloor = 0.05
	// returnSpread is the relative range over which the times to return are spread by caller.
	returnSpread = 0.5
	// maxDumpedShares bounds the workspaces in a state dump.
	maxDumpedShares = 32
)

// shares holds who has used the engines of a service, and who waits for them.
type shares struct {
	service    string
	workspaces *fairshare.Account
	// ranks accounts for the work of each rank.
	ranks  *fairshare.Account
	claims map[uint64]*claim
	// sweptAt is when claims that are over were last dropped.
	sweptAt time.Time
	// uncounted reports whether decisions are not counted in the metrics.
	uncounted bool
}

// claim is a job that found no room, by the key of its caller.
type claim struct {
	order int
	// need is the job's work, and credit the work that may still yield to the claim.
	need, credit float64
	// waits is until when the job waits to be placed again; zero if it was refused.
	waits time.Time
	// returns is when a refused caller was told to return.
	returns time.Time
	// patient reports whether the caller has returned, and not before that time.
	patient bool
}

// newShares returns empty accounts.
func newShares(service string) *shares {
	return &shares{service: service, workspaces: fairshare.New(), ranks: fairshare.New(), claims: map[uint64]*claim{}}
}

// competes reports whether the callers of a service compete by configuration: workspaces have
// priorities, or routes to the service differ in theirs.
func competes(c *deployment.Configuration, service string) bool {
	routes := map[int]bool{}
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			if t.Service == service {
				routes[r.Priority] = true
			}
		}
	}
	if len(routes) > 1 {
		return true
	}
	for _, w := range c.Keys {
		if w.Priority != deployment.NoPriority {
			return len(routes) > 0
		}
	}
	return false
}

// setShares begins or ends the accounts of a pool.
func (pl *pool) setShares(c *deployment.Configuration, service string) {
	switch {
	case pl.service.Engine == nil || !competes(c, service):
		pl.shares = nil
	case pl.shares == nil:
		pl.shares = newShares(service)
	}
}

// callerKey returns the key of the job's caller across its returns.
func (j *Job) callerKey() uint64 {
	if j.Fingerprint != 0 {
		return j.Fingerprint
	}
	return xxhash.Sum64String(j.ID)
}

// jobWork returns the work of a job with a number of output tokens on a number of engines.
func jobWork(m *enginemodel.Model, engines int, j *Job, output int) fairshare.Work {
	if engines == 0 {
		return fairshare.Work{}
	}
	prefill := m.PrefillTime(j.Prompt, enginemodel.Pairs(j.Prompt)).Seconds()
	slots := float64(max(m.Slots, 1))
	own := m.StepPerSequence.Seconds() + m.StepPerContext.Seconds()*float64(j.Prompt)/1000
	step := m.Step.Seconds() + slots*m.StepPerSequence.Seconds()
	tokens := float64(max(output, 1))
	return fairshare.Work{
		Time:   (prefill + tokens*(m.Step.Seconds()/slots+own)) / float64(engines),
		Memory: float64(j.Prompt+output) / float64(max(m.MemoryTokens, 1)) * (prefill + tokens*(step+own)) / float64(engines),
	}
}

// charge adds the work of a placed job to the accounts.
func (pl *pool) charge(pj *placed, now time.Time) {
	s := pl.shares
	if s == nil || pj.job.Rank == 0 {
		return
	}
	pj.charge, pj.chargedAt = jobWork(pl.service.Engine, len(pl.order), &pj.job, pj.job.Output), now
	s.add(pj, now)
}

// add adds the charge of a job to the accounts.
func (s *shares) add(pj *placed, now time.Time) {
	s.workspaces.Charge(pj.job.Workspace, pj.charge, pj.chargedAt, now)
	s.ranks.Charge(strconv.Itoa(pj.job.Rank), pj.charge, pj.chargedAt, now)
}

// takeBack takes the charge of a job from the accounts.
func (s *shares) takeBack(pj *placed, now time.Time) {
	s.workspaces.Refund(pj.job.Workspace, pj.charge, pj.chargedAt, now)
	s.ranks.Refund(strconv.Itoa(pj.job.Rank), pj.charge, pj.chargedAt, now)
}

// chargeEarlier moves the charge of a job, if it has one, to an earlier time.
func (pl *pool) chargeEarlier(pj *placed, at, now time.Time) {
	if pl.shares == nil || pj == nil || !at.Before(pj.chargedAt) {
		return
	}
	pl.shares.takeBack(pj, now)
	pj.chargedAt = at
	pl.shares.add(pj, now)
}

// recharge replaces the charge of a job by another amount.
func (pl *pool) recharge(pj *placed, w fairshare.Work, now time.Time) {
	s := pl.shares
	if s == nil || pj.charge == (fairshare.Work{}) {
		return
	}
	s.takeBack(pj, now)
	pj.charge = w
	s.add(pj, now)
}

// settle corrects the charge of a job that has ended by what it has received, since the
// estimates of callers are often far off.
func (pl *pool) settle(pj *placed, e End, now time.Time) {
	switch {
	case e.Outcome == Unreached || e.Outcome == Refused:
		pl.recharge(pj, fairshare.Work{}, now)
	case e.Events > 0 && pl.service.Engine != nil:
		output := e.Events * max(pl.service.Engine.Stride, 1)
		pl.recharge(pj, jobWork(pl.service.Engine, len(pl.order), &pj.job, output), now)
	}
}

// order returns the place of a job among those that wait for room; lower ones come first.
func (s *shares) order(j *Job, now time.Time) int {
	if s.ranks.Share(strconv.Itoa(j.Rank), now) < rankFloor*s.ranks.Total(now) {
		return 1 // the floor of its rank
	}
	order := j.Rank + s.demotion(j, now)
	if c := s.claims[j.callerKey()]; c != nil && c.patient {
		order-- // it has waited for its turn already
	}
	return max(order, 1)
}

// demotion returns by how many ranks the job's workspace is above its share.
func (s *shares) demotion(j *Job, now time.Time) int {
	level := s.workspaces.Level(j.Workspace, now)
	if level < farAbove {
		return 0
	}
	return min(int(math.Log2(level)), maxDemotion)
}

// claimBefore returns the claim to which a job yields; nil if there is none.
func (s *shares) claimBefore(j *Job, need float64, now time.Time) *claim {
	if len(s.claims) == 0 {
		return nil
	}
	key, order := j.callerKey(), s.order(j, now)
	var best *claim
	var bestKey uint64
	for k, c := range s.claims {
		if k == key || c.order >= order || !now.Before(c.waits) || c.need > claimReach*need || c.credit <= 0 {
			continue
		}
		// Of equal claims the lower key wins, since the order of a map differs from run to run.
		if best == nil || c.credit > best.credit || c.credit == best.credit && k < bestKey {
			best, bestKey = c, k
		}
	}
	return best
}

// share applies the shares to the decision for a job: a job that yields is not placed, and one
// that is not placed leaves a claim.
func (pl *pool) share(j *Job, d Decision, now time.Time) Decision {
	s := pl.shares
	if s == nil || j.Rank == 0 {
		return d
	}
	s.sweep(now)
	s.returned(j, now)
	need := jobWork(pl.service.Engine, len(pl.order), j, j.Output).Dominant()
	if d.Upstream != "" {
		c := s.claimBefore(j, need, now)
		if c == nil {
			if d.Urgency <= urgencyLong && s.isPreceded(s.order(j, now), now) {
				d.Urgency++ // in the engine's queue it also comes after them, but before longer prompts
			}
			delete(s.claims, j.callerKey())
			return d
		}
		if s.claims[j.callerKey()] == nil { // a caller that returns uses up no credit again
			c.credit -= need
		}
		var why string
		d, why = s.yield(j, now)
		if !s.uncounted {
			metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_yields_total{service=%q,reason=%q,result=%q}`, s.service, why, d.Reason)).Inc()
		}
	}
	switch d.Reason {
	case Full, TooLarge, TooLate, Deferred:
		return s.refuse(j, d, need, now)
	}
	return d
}

// isPreceded reports whether claims wait that come before a job of an order.
func (s *shares) isPreceded(order int, now time.Time) bool {
	for _, c := range s.claims {
		if now.Before(c.waits) && c.order < order {
			return true
		}
	}
	return false
}

// yield returns the refusal of a job that could be placed, and why it yields: a job that can
// wait does so, others are refused.
func (s *shares) yield(j *Job, now time.Time) (Decision, string) {
	why := "rank"
	if s.demotion(j, now) > 0 {
		why = "share"
	}
	switch {
	case j.Prompt < longPromptTokens && j.MayWait:
		return Decision{Reason: Full, RetryAfter: refusalPause}, why
	case j.Prompt >= longPromptTokens && j.MayDefer:
		return Decision{Reason: Deferred, RetryAfter: refusalPause}, why
	}
	return Decision{Reason: TooLate, RetryAfter: max(refusalPause, j.Lifetime/maxReturnsInTime)}, why
}

// returned records that the job's caller may have returned after a refusal.
func (s *shares) returned(j *Job, now time.Time) {
	c := s.claims[j.callerKey()]
	if c != nil && c.waits.IsZero() && !c.patient {
		c.patient = !now.Before(c.returns)
	}
}

// queueTime returns the time that the jobs that wait and come before an order need, at the pace
// at which work is placed.
func (s *shares) queueTime(order int, now time.Time) time.Duration {
	work := 0.0
	for _, c := range s.claims {
		if now.Before(c.waits) && c.order <= order {
			work += c.need
		}
	}
	pace := s.workspaces.Total(now)
	if pace <= 0 {
		return 0
	}
	return time.Duration(work / pace * float64(time.Second))
}

// refuse records the claim of a job that was not placed, and spreads the time to return.
func (s *shares) refuse(j *Job, d Decision, need float64, now time.Time) Decision {
	s.workspaces.Wait(j.Workspace, now)
	key := j.callerKey()
	order := s.order(j, now)
	c := s.claims[key]
	if c == nil {
		c = &claim{}
		if len(s.claims) < maxClaims || s.evict(order, now) {
			s.claims[key] = c
		}
	}
	c.order, c.need, c.credit = order, need, claimCredit*need
	c.waits = time.Time{}
	switch {
	case d.Reason == Full && j.MayWait:
		c.waits = now.Add(refusalPause)
	case d.Reason == Deferred, d.Reason == TooLarge && j.MayDefer:
		c.waits = now.Add(refusalPause + claimSlack)
	}
	if c.waits.IsZero() {
		d.RetryAfter = max(d.RetryAfter, min(s.queueTime(c.order, now), j.Lifetime/maxReturnsInTime))
	}
	draw := float64(xxhash.Sum64String(strconv.FormatUint(key, 16))>>11) / (1 << 53)
	d.RetryAfter = time.Duration(float64(d.RetryAfter) * (1 + returnSpread*(draw-0.5)))
	c.returns = now.Add(d.RetryAfter)
	return d
}

// evict drops the least claim, and reports false if all come before the order. Claims of callers
// that were refused are less than those of jobs that wait. Otherwise a workspace with many
// requests would leave no room for the claims of others.
func (s *shares) evict(order int, now time.Time) bool {
	var least uint64
	var worst *claim
	for key, c := range s.claims {
		if worst == nil || c.less(worst, now) || !worst.less(c, now) && key < least {
			least, worst = key, c
		}
	}
	if now.Before(worst.waits) && worst.order < order {
		return false
	}
	delete(s.claims, least)
	return true
}

// less reports whether a claim is dropped before another one.
func (c *claim) less(o *claim, now time.Time) bool {
	if waits := now.Before(c.waits); waits != now.Before(o.waits) {
		return !waits
	}
	return c.order > o.order
}

// sweep drops claims whose callers have not come back.
func (s *shares) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < claimSlack {
		return
	}
	s.sweptAt = now
	for key, c := range s.claims {
		if !now.Before(c.waits) && now.After(c.returns.Add(returnMemory)) {
			delete(s.claims, key)
		}
	}
}

// ServiceShares is a planner's view of the callers of a service that compete.
type ServiceShares struct {
	Service string `json:"service"`
	// Waiting is the number of jobs that found no room and wait, Refused that of callers who were
	// refused and may return.
	Waiting int `json:"waiting"`
	Refused int `json:"refused"`
	// Workspaces and Ranks are the accounts with the largest shares of work.
	Workspaces []fairshare.State `json:"workspaces"`
	Ranks      []fairshare.State `json:"ranks"`
}

// DumpShares returns the accounts of the services whose callers compete.
func (p *Planner) DumpShares(now time.Time) []ServiceShares {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []ServiceShares
	for name, pl := range p.pools {
		s := pl.shares
		if s == nil {
			continue
		}
		d := ServiceShares{Service: name, Workspaces: s.workspaces.States(maxDumpedShares, now), Ranks: s.ranks.States(maxDumpedShares, now)}
		for _, c := range s.claims {
			if now.Before(c.waits) {
				d.Waiting++
			} else {
				d.Refused++
			}
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b ServiceShares) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

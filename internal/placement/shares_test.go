package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/fairshare"
)

// sharedDay is a day of callers that compete: each request has a workspace and a rank.
type sharedDay struct {
	day
	// ranks are those of the classes.
	ranks []int
	// workspace draws the workspace of a request.
	workspace func(r *rand.Rand, j *simJob) string
	// without turns the accounts off.
	without bool
}

// competingDay returns a day of 54 engines with opposed waves of short and long prompts, starting with long ones.
func competingDay(memory int, phase int) sharedDay {
	m := usersModel()
	m.Slots, m.Stride, m.MemoryTokens = 12, 48, memory
	d := largeDay(phase)
	d.engines, d.model, d.rate = 54, m, 1.1
	d.classes = []class{
		{"short", 76.5, 5000, 0.9, 24_000, 31 * 48, 0.7, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
		{"medium", 4.85, 45_000, 0.5, 110_000, 18 * 48, 0.6, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 3.3, 0.83},
		{"long", 2.08, 220_000, 0.7, 900_000, 15 * 48, 0.5, 4 * time.Second, time.Second, 15 * time.Second, 20, 5},
	}
	for i := range d.bursts {
		if d.bursts[i].factors[0] > 1 {
			d.bursts[i].factors = []float64{2.5, 0.5, 0.05}
		} else {
			d.bursts[i].factors = []float64{0.33, 1.3, 2.7}
		}
	}
	return sharedDay{day: d, ranks: []int{1, 2, 3}, workspace: func(r *rand.Rand, _ *simJob) string {
		return "w" + strconv.Itoa(r.IntN(100))
	}}
}

func (d sharedDay) play(seed uint64) ([]*simJob, outcomeOfDay) {
	now := time.Unix(1_000_000, 0)
	r := rand.New(rand.NewPCG(seed, 11))
	jobs := d.arrivals(seed, now)
	for i, j := range jobs {
		j.job.Workspace, j.job.Rank, j.job.Fingerprint = d.workspace(r, j), d.ranks[j.class], uint64(i)+1
	}
	s := newSimulation(d.day, now)
	if !d.without {
		s.planner.pools["llm"].setShares(&deployment.Configuration{Routes: []deployment.Route{
			{Priority: 0, Targets: []deployment.Target{{Service: "llm"}}}, {Priority: 1, Targets: []deployment.Target{{Service: "llm"}}},
		}}, "llm")
	}
	return jobs, s.play(jobs, now)
}

// tally counts requests and what they earned.
type tally struct {
	earned, owed float64
	served, all  int
}

func (x tally) servedShare() float64 { return float64(x.served) / float64(max(x.all, 1)) }

func (x tally) earnedShare() float64 { return x.earned / max(x.owed, 1e-9) }

func (x tally) String() string {
	return fmt.Sprintf("%d of %d, %.3f of the value", x.served, x.all, x.earnedShare())
}

// tally counts the requests for which accept returns true.
func (d sharedDay) tally(jobs []*simJob, accept func(*simJob) bool) tally {
	var x tally
	for _, j := range jobs {
		if !accept(j) {
			continue
		}
		e := j.earned(d.classes[j.class])
		x.owed += j.value
		x.earned += e
		x.all++
		if e > 0 {
			x.served++
		}
	}
	return x
}

// twins returns a day of few engines with two kinds of the same short prompts, of ranks 1 and 2,
// that ask for about rate times what the engines can do, two thirds of it with rank 2.
func twins(rate float64) sharedDay {
	d := competingDay(267_750, 0)
	d.engines, d.bursts, d.length, d.rate = 6, nil, 12*time.Second, rate
	urgent, later := d.classes[0], d.classes[0]
	urgent.perSecond, later.perSecond, later.name = 11, 22, "later"
	d.classes, d.ranks = []class{urgent, later}, []int{1, 2}
	return d
}

func ofClass(c int) func(*simJob) bool { return func(j *simJob) bool { return j.class == c } }

func ofWorkspace(prefix string) func(*simJob) bool {
	return func(j *simJob) bool { return strings.HasPrefix(j.job.Workspace, prefix) }
}

// TestUrgentWorkIsServedFirst guards against shortage that urgent and less urgent work pay alike.
// The urgent work alone asks for less than the engines can do.
func TestUrgentWorkIsServedFirst(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		d := twins(1.8)
		jobs, _ := d.play(seed)
		urgent, later := d.tally(jobs, ofClass(0)), d.tally(jobs, ofClass(1))
		t.Logf("seed %d: urgent %v; later %v", seed, urgent, later)
		if urgent.servedShare() < 0.85 || urgent.earnedShare() < later.earnedShare() {
			t.Errorf("seed %d: urgent %v, later %v, want 0.85 of the urgent served, and more earned", seed, urgent, later)
		}
	}
}

// TestLeastUrgentWorkHasAFloor guards against urgent work that asks for more than all engines
// and leaves nothing to less urgent work.
func TestLeastUrgentWorkHasAFloor(t *testing.T) {
	t.Parallel()
	// The floor is a twentieth of the work; some of it is late or in vain in such an overload.
	const least = 0.03
	for seed := range uint64(3) {
		d := twins(1.8)
		d.classes[0].perSecond, d.classes[1].perSecond = 50, 5
		jobs, _ := d.play(seed)
		urgent, later := d.tally(jobs, ofClass(0)), d.tally(jobs, ofClass(1))
		t.Logf("seed %d: urgent %v; later %v", seed, urgent, later)
		if all := urgent.served + later.served; float64(later.served) < least*float64(all) {
			t.Errorf("seed %d: %d less urgent requests of %d served, want %.2f", seed, later.served, all, least)
		}
	}
}

// floods returns a day on which one workspace asks for two thirds of all work and more than the
// engines can do. Thirty others ask for less than the engines can do, and new ones send one request
// each.
func floods(impatient bool) sharedDay {
	d := twins(1.8)
	d.ranks = []int{1, 1}
	n := 0
	d.workspace = func(r *rand.Rand, j *simJob) string {
		if j.class == 1 {
			j.impatient = impatient
			return "flood"
		}
		if n++; n%5 == 0 {
			return "new" + strconv.Itoa(n)
		}
		return "w" + strconv.Itoa(r.IntN(30))
	}
	return d
}

// checkFlood checks that those who are not the flood are served, new ones like all others, whatever
// the flood does.
func checkFlood(t *testing.T, impatient bool, least float64) {
	t.Helper()
	t.Parallel()
	for seed := range uint64(3) {
		d := floods(impatient)
		jobs, _ := d.play(seed)
		others, first := d.tally(jobs, ofWorkspace("w")), d.tally(jobs, ofWorkspace("new"))
		t.Logf("seed %d: others %v; first requests %v; flood %v", seed, others, first, d.tally(jobs, ofWorkspace("flood")))
		if others.servedShare() < least || first.servedShare() < least {
			t.Errorf("seed %d: others %v, first requests %v, want %.2f of both served", seed, others, first, least)
		}
	}
}

// TestFloodBearsItsCost guards against a workspace that takes room from those who ask for less than
// their fair share, and against first requests that wait behind it.
func TestFloodBearsItsCost(t *testing.T) { checkFlood(t, false, 0.9) }

// TestReturningAtOnceGainsNothing guards against a workspace that gets the room of others because
// it returns at once after each refusal.
func TestReturningAtOnceGainsNothing(t *testing.T) { checkFlood(t, true, 0.75) }

// sameAnswers reports whether two plays of a day gave the same answers at the same times.
func sameAnswers(a, b []*simJob) bool {
	return slices.EqualFunc(a, b, func(x, y *simJob) bool {
		return x.first.Equal(y.first) && x.worst == y.worst && x.ended == y.ended && x.left == y.left
	})
}

// TestCalmFleetDecidesAsBefore guards against accounts that change decisions although there is
// room for all.
func TestCalmFleetDecidesAsBefore(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		d := competingDay(382_500, 0)
		d.rate, d.length = 0.3, 15*time.Second
		d.workspace = func(r *rand.Rand, _ *simJob) string { return "w" + strconv.Itoa(r.IntN(2)*r.IntN(20)) }
		with, o := d.play(seed)
		d.without = true
		without, _ := d.play(seed)
		if o.refused > 0 || o.earnedShare() < 0.95 {
			t.Fatalf("seed %d: not calm: %s", seed, o)
		}
		if !sameAnswers(with, without) {
			t.Errorf("seed %d: answers differ with accounts", seed)
		}
	}
}

// TestEqualCallersAreServedAsBefore guards against accounts that change decisions in a shortage
// although all ranks are the same and no workspace is above its share.
func TestEqualCallersAreServedAsBefore(t *testing.T) {
	t.Parallel()
	d := competingDay(267_750, 0)
	d.rate, d.length, d.ranks, d.maxReturn = 1.4, 15*time.Second, []int{2, 2, 2}, 300*time.Millisecond
	d.workspace = func(*rand.Rand, *simJob) string { return "w" }
	with, o := d.play(1)
	d.without = true
	without, _ := d.play(1)
	if o.earnedShare() > 0.95 {
		t.Fatalf("no shortage: %s", o)
	}
	if !sameAnswers(with, without) {
		t.Error("answers differ with accounts")
	}
}

// TestOpposedWavesAreServedNoWorse guards against yielding that costs more than it gives when long
// and short prompts alternate.
func TestOpposedWavesAreServedNoWorse(t *testing.T) {
	t.Parallel()
	const slack = 0.03 // replays of one day differ by more when single decisions differ
	var worth [2]float64
	for i, without := range []bool{false, true} {
		for phase := range 2 {
			for seed := range uint64(2) {
				d := competingDay(267_750, phase)
				d.rate, d.without = 1.2, without
				_, o := d.play(seed)
				worth[i] += o.worth.total() / 4
			}
		}
	}
	t.Logf("worth %.3f with accounts, %.3f without", worth[0], worth[1])
	if worth[0] < worth[1]-slack {
		t.Errorf("the days are worth %.3f with accounts, %.3f without", worth[0], worth[1])
	}
}

// competing returns a fixture of engines whose callers compete.
func competing(engines int) (*fixture, *pool) {
	f := newFixture(engines)
	pl := f.planner.pools["llm"]
	pl.shares = newShares("llm")
	return f, pl
}

// competingJob returns a short job of a workspace and a rank.
func competingJob(id, workspace string, rank int) Job {
	j := shortJob(id)
	j.Workspace, j.Rank, j.Fingerprint = workspace, rank, xxhash.Sum64String(id)
	return j
}

// TestReturnTimesDifferByCaller guards against callers that are refused together and return
// together, or at once although many wait.
func TestReturnTimesDifferByCaller(t *testing.T) {
	_, pl := competing(4)
	now := time.Now()
	seen := map[time.Duration]bool{}
	for i := range 20 {
		j := competingJob(strconv.Itoa(i), "w", 1)
		seen[pl.share(&j, Decision{Reason: TooLarge, RetryAfter: refusalPause}, now).RetryAfter] = true
	}
	if len(seen) < 18 {
		t.Errorf("20 callers are told %d different times", len(seen))
	}
	// Work of 0.1 s a second is placed, and work of more than 1 s waits.
	pl.shares.workspaces.Charge("w", fairshare.Work{Time: 0.1 * fairshare.Window.Seconds()}, now, now)
	waiting := competingJob("waiting", "w", 1)
	waiting.Prompt, waiting.MayDefer = 600_000, true
	pl.share(&waiting, Decision{Reason: Deferred, RetryAfter: refusalPause}, now)
	j := competingJob("late", "w", 1)
	if got := pl.share(&j, Decision{Reason: TooLarge, RetryAfter: refusalPause}, now.Add(refusalPause/2)).RetryAfter; got < 2*refusalPause {
		t.Errorf("told to return after %v, want when those that wait are placed", got)
	}
}

// TestCallerThatReturnsIsNotWorseOff guards against callers that did what they were told and are
// refused again for the sake of new ones.
func TestCallerThatReturnsIsNotWorseOff(t *testing.T) {
	for _, c := range []struct {
		name, id string
		// after is the time of the return relative to the one that was told.
		after float64
		want  bool
	}{{"too early", "first", 0.5, false}, {"new", "new", 1, false}, {"as told", "first", 1, true}} {
		_, pl := competing(4)
		now := time.Now()
		pl.shares.ranks.Charge("2", fairshare.Work{Time: 1}, now, now)
		first := competingJob("first", "a", 2)
		d := pl.share(&first, Decision{Reason: TooLate, RetryAfter: time.Second}, now)
		now = now.Add(time.Duration(c.after * float64(d.RetryAfter)))
		urgent := competingJob("urgent", "b", 1)
		urgent.MayWait = true
		pl.share(&urgent, Decision{Reason: Full, RetryAfter: refusalPause}, now)
		j := competingJob(c.id, "a", 2)
		j.MayWait = true
		if got := pl.share(&j, Decision{Upstream: "e0"}, now).Upstream != ""; got != c.want {
			t.Errorf("%s: placed %v, want %v", c.name, got, c.want)
		}
	}
}

// TestFloodLeavesRoomForClaims guards against a workspace whose many requests use up all claims.
func TestFloodLeavesRoomForClaims(t *testing.T) {
	_, pl := competing(4)
	now := time.Now()
	for i := range 2 * maxClaims {
		j := competingJob(strconv.Itoa(i), "flood", 3)
		j.MayWait = i%2 == 0
		pl.share(&j, Decision{Reason: Full, RetryAfter: refusalPause}, now)
	}
	j := competingJob("other", "other", 1)
	j.MayWait = true
	pl.share(&j, Decision{Reason: Full, RetryAfter: refusalPause}, now)
	if n := len(pl.shares.claims); n > maxClaims {
		t.Errorf("%d claims, want at most %d", n, maxClaims)
	}
	if pl.shares.claims[j.callerKey()] == nil {
		t.Error("the claim of another workspace was not recorded")
	}
}

// TestNewHomeLearnsSharesFromJobs guards against a home that does not know the work of the jobs
// that are reported to it, or counts it twice if they are reported again.
func TestNewHomeLearnsSharesFromJobs(t *testing.T) {
	old, from := competing(4)
	fresh, to := competing(4)
	now := time.Now()
	for i := range 8 {
		j := competingJob(strconv.Itoa(i), "w", 1)
		j.Owner = "i0"
		old.planner.Place(j, 1, now)
	}
	now = now.Add(time.Second)
	for range 2 {
		for _, e := range old.planner.resetEvents("llm", "i0", now) {
			fresh.planner.applyEvent(e, now)
		}
		want, got := from.shares.workspaces.Share("w", now), to.shares.workspaces.Share("w", now)
		if want == 0 || math.Abs(got-want) > 0.01*want {
			t.Errorf("share %.5f at the new home, %.5f at the old one", got, want)
		}
	}
}

// TestUnderstatedAnswersAreCharged guards against callers that gain room by stating answers shorter
// than they are, and against charges for what did not run.
func TestUnderstatedAnswersAreCharged(t *testing.T) {
	f, pl := competing(4)
	now := time.Now()
	place := func(id string, output, events int, o Outcome) float64 {
		j := competingJob(id, id, 1)
		j.Output = output
		f.planner.Place(j, 1, now)
		f.planner.Ended(id, End{Outcome: o, Events: events}, now)
		return pl.shares.workspaces.Share(id, now)
	}
	stride := max(pl.service.Engine.Stride, 1)
	honest, liar := place("honest", 40*stride, 40, Completed), place("liar", stride, 40, Completed)
	if honest == 0 || math.Abs(honest-liar) > 0.01*honest {
		t.Errorf("charged %.6f for a stated answer, %.6f for the same one understated", honest, liar)
	}
	if got := place("refused", 40*stride, 0, Refused); got > 1e-9 {
		t.Errorf("charged %.6f for a job that did not run", got)
	}
}

// TestWhoCompetes guards against accounts in deployments that do not ask for them.
func TestWhoCompetes(t *testing.T) {
	route := func(priority int, service string) deployment.Route {
		return deployment.Route{Priority: priority, Targets: []deployment.Target{{Service: service, Weight: 1}}}
	}
	keys := func(priority int) map[string]deployment.Workspace {
		return map[string]deployment.Workspace{"k": {Name: "w", Priority: priority}}
	}
	for name, c := range map[string]struct {
		config deployment.Configuration
		want   bool
	}{
		"same priorities":           {deployment.Configuration{Routes: []deployment.Route{route(1, "llm"), route(1, "llm")}}, false},
		"another service differs":   {deployment.Configuration{Routes: []deployment.Route{route(1, "llm"), route(2, "plain")}}, false},
		"different priorities":      {deployment.Configuration{Routes: []deployment.Route{route(1, "llm"), route(2, "llm")}}, true},
		"workspaces without any":    {deployment.Configuration{Routes: []deployment.Route{route(1, "llm")}, Keys: keys(deployment.NoPriority)}, false},
		"workspaces with their own": {deployment.Configuration{Routes: []deployment.Route{route(1, "llm")}, Keys: keys(0)}, true},
		"no route to the service":   {deployment.Configuration{Routes: []deployment.Route{route(1, "plain")}, Keys: keys(0)}, false},
	} {
		if got := competes(&c.config, "llm"); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestSharesAreDumped guards against accounts that operators cannot see, and dumps without bound.
func TestSharesAreDumped(t *testing.T) {
	f, _ := competing(4)
	now := time.Now()
	for i := range 2 * maxDumpedShares {
		f.planner.Place(competingJob(strconv.Itoa(i), strconv.Itoa(i), 1), 1, now)
	}
	list := f.planner.DumpShares(now)
	if len(list) != 1 || len(list[0].Workspaces) != maxDumpedShares || len(list[0].Ranks) != 1 {
		t.Errorf("dump %+v", list)
	}
}

// TestOnlyWaitingClaimsHoldRoom guards against room that stays unused for callers who were refused
// and are not there, or for claims that the room would not serve. Beside the latter a job comes
// later in the engine's queue, but not after longer prompts.
func TestOnlyWaitingClaimsHoldRoom(t *testing.T) {
	for name, c := range map[string]struct {
		prompt int
		reason Reason
		after  time.Duration
		placed bool
		// urgency is that in the engine's queue, as far as the job is placed.
		urgency int
	}{
		"waits":     {0, Full, 0, false, 0},
		"refused":   {0, TooLate, 0, true, urgencyShort},
		"over":      {0, Full, time.Second, true, urgencyShort},
		"far large": {200_000, Deferred, 0, true, urgencyShort + 1},
	} {
		_, pl := competing(4)
		now := time.Now()
		pl.shares.ranks.Charge("2", fairshare.Work{Time: 1}, now, now)
		urgent := competingJob("urgent", "a", 1)
		urgent.Prompt += c.prompt
		urgent.MayWait, urgent.MayDefer = c.reason == Full, c.reason == Deferred
		pl.share(&urgent, Decision{Reason: c.reason, RetryAfter: refusalPause}, now)
		j := competingJob("later", "b", 2)
		d := pl.share(&j, Decision{Upstream: "e0", Urgency: urgencyShort}, now.Add(c.after))
		if got := d.Upstream != ""; got != c.placed || got && d.Urgency != c.urgency {
			t.Errorf("%s: placed %v with urgency %d, want %v with %d", name, got, d.Urgency, c.placed, c.urgency)
		}
	}
}

// TestSharesFollowTheConfiguration guards against accounts that are lost by each change of the
// configuration, or that outlast the priorities.
func TestSharesFollowTheConfiguration(t *testing.T) {
	f := newFixture(2)
	model := usersModel()
	configure := func(version int64, priorities ...int) *shares {
		c := &deployment.Configuration{Version: version, Services: map[string]deployment.Service{"llm": {Name: "llm", Engine: &model}}}
		for _, p := range priorities {
			c.Routes = append(c.Routes, deployment.Route{Priority: p, Targets: []deployment.Target{{Service: "llm", Weight: 1}}})
		}
		f.state.SetConfiguration(c, time.Now())
		return f.planner.pools["llm"].shares
	}
	first := configure(2, 0, 1)
	if first == nil || configure(3, 0, 1, 2) != first {
		t.Error("the accounts were not kept")
	}
	if configure(4, 1, 1) != nil {
		t.Error("accounts are kept although all priorities are the same")
	}
}

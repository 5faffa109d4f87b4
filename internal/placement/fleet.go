package placement

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// Timing of calls to homes.
const (
	// placeTimeout bounds a call that places a job: many times a round trip
	// between data centres, and short compared with the tightest objective.
	placeTimeout = 80 * time.Millisecond
	// homeAvoidTime is how long a home is not used after it did not answer.
	homeAvoidTime = 1500 * time.Millisecond
	// startingHomeAvoidTime is the same for a home that has never answered this instance. When
	// all instances start at once, the home may be the last that is up, and until all use it
	// several plan the same upstreams without knowing each other's jobs.
	startingHomeAvoidTime = 250 * time.Millisecond
	// flushDelay is how long events wait for a placement call that can carry them.
	flushDelay = 15 * time.Millisecond
	// flushTimeout bounds a call that carries only events.
	flushTimeout = 500 * time.Millisecond
	// maxPendingEvents bounds the events queued for one home. The oldest are dropped
	// first, because the home drops overdue jobs by itself.
	maxPendingEvents = 2048
	// maintenanceInterval is the time between two checks for instances that left.
	maintenanceInterval = 500 * time.Millisecond
)

// errNoBus is returned while this instance has no links to the others.
var errNoBus = errors.New("calling the home: no links to other instances yet")

// RevisionExchange provides the store versions that are piggybacked on placement
// calls, so that instances detect that they are behind. Package deployment
// implements it.
type RevisionExchange interface {
	// Seen returns the version of the newest known change of each source.
	Seen() []deployment.Revision
	// Receive receives the versions that another instance has seen.
	Receive(from string, seen []deployment.Revision)
}

// Fleet places jobs through the home instances of their services. It is safe for
// concurrent use.
type Fleet struct {
	planner   *Planner
	owner     string
	revisions RevisionExchange

	// joined reports whether this instance knows the others that there are; nil is always.
	joined func() bool

	mu  sync.Mutex
	bus peer.Bus
	// homes holds the last used home of each service.
	homes map[string]string
	// avoided holds instances that did not answer and until when they are not used.
	avoided map[string]time.Time
	// answered holds the instances that have answered as a home.
	answered map[string]bool
	// pending holds events that are not sent yet, by home.
	pending map[string][]event
	// flushes holds the timers that send them, by home.
	flushes map[string]*time.Timer
	// callers holds when each other instance last had this one place a job, by service.
	callers map[string]map[string]time.Time
	// shares holds the last limitShare of each service.
	shares map[string]shareAt
	// cold holds the roles in which this instance places jobs on cold upstreams.
	cold coldRoles
}

// NewFleet returns a Fleet that plans alone until it has a bus. owner names this
// incarnation of the instance in jobs.
func NewFleet(p *Planner, owner string, revisions RevisionExchange) *Fleet {
	return &Fleet{
		planner:   p,
		owner:     owner,
		revisions: revisions,
		homes:     map[string]string{},
		avoided:   map[string]time.Time{},
		answered:  map[string]bool{},
		pending:   map[string][]event{},
		flushes:   map[string]*time.Timer{},
		callers:   map[string]map[string]time.Time{},
		shares:    map[string]shareAt{},
		cold:      coldRoles{roles: map[string]roleSince{}},
	}
}

// SetBus connects the Fleet to the other instances. It must be called before the
// bus is started.
func (f *Fleet) SetBus(bus peer.Bus) {
	bus.HandleCall(topicPlace, f.handleCall)
	bus.HandleCall(topicExplain, f.handleExplain)
	bus.HandleBroadcast(topicPoison, f.handleNotices)
	bus.HandleBroadcast(topicLimits, f.handleLimits)
	bus.HandleBroadcast(topicCold, f.handleCold)
	f.planner.setNoticeHandler(func(notices []poison.Notice) { broadcastNotices(bus, notices) })
	f.mu.Lock()
	f.bus = bus
	f.mu.Unlock()
}

// SetJoined sets the function that reports whether this instance knows the others. Until then it plans
// alone: with itself as the only member it would take itself for the home. It must be called before the
// first job.
func (f *Fleet) SetJoined(joined func() bool) { f.joined = joined }

// isLinked reports whether this instance can tell which one is the home. The caller must hold mu.
func (f *Fleet) isLinked() bool { return f.bus != nil && (f.joined == nil || f.joined()) }

// broadcastNotices sends poison notices to all other instances.
func broadcastNotices(bus peer.Bus, notices []poison.Notice) {
	messages, err := poison.Messages(notices)
	if err != nil {
		log.WithError(err).Error("poison notices dropped: encoding failed")
		return
	}
	for _, payload := range messages {
		bus.Broadcast(topicPoison, payload)
	}
}

// handleNotices applies the poison notices of another instance.
func (f *Fleet) handleNotices(from string, payload []byte) {
	notices, err := poison.Decode(from, payload)
	if err != nil {
		log.WithError(err).WithField("instance", from).Warn("poison notices rejected: payload cannot be decoded")
		return
	}
	f.planner.observeNotices(from, notices, time.Now())
}

// Place implements passthrough.Placer.
func (f *Fleet) Place(ctx context.Context, j Job) Decision {
	j.Owner = f.owner
	if d, refused := f.planner.Refuse(j, time.Now()); refused {
		return d
	}
	home, linked := f.home(j.Service)
	if !linked {
		return f.planner.PlaceAlone(j, f.aloneShare(), time.Now())
	}
	began := time.Now()
	if home == "" {
		return f.placeHere(j, began)
	}
	d, err := f.placeAt(ctx, home, j)
	if err == nil {
		d.decidedAt = began
		f.planner.Adopt(Adoption{Job: j, Decision: d}, time.Now())
		return d
	}
	if ctx.Err() != nil {
		return Decision{Reason: NoUpstream}
	}
	f.avoid(home, j, err)
	d = f.planner.PlaceAlone(j, f.aloneShare(), time.Now())
	if next, _ := f.home(j.Service); next != "" && d.Upstream != "" {
		f.enqueue(next, event{Kind: eventAdopt, ID: j.ID, Adopted: &Adoption{Job: j, Decision: d}})
	}
	return d
}

// placeHere places a job as the home of its service, or as a substitute while the home does not
// answer.
func (f *Fleet) placeHere(j Job, now time.Time) Decision {
	return f.planner.place(j, f.authority(f.limitShare(j.Service, now), f.coldRole(j.Service, now)), now)
}

// authority returns that of the home of a service, or of a substitute, which has a part of the limits.
// The home may be planning for other instances at the same time, so a substitute starts at another
// upstream in the order.
func (f *Fleet) authority(share float64, role upstreamlimit.Role) authority {
	a := authority{scope: fleetwide, role: role, limitShare: share}
	if share < 1 {
		a.start = f.owner
	}
	return a
}

// FirstAnswer implements passthrough.Placer.
func (f *Fleet) FirstAnswer(service, id string) {
	f.planner.FirstAnswer(id, time.Now())
	f.report(service, event{Kind: eventFirst, ID: id})
}

// TrialPassed implements passthrough.Placer.
func (f *Fleet) TrialPassed(service, id string) {
	f.planner.TrialPassed(id)
	f.report(service, event{Kind: eventTrialPassed, ID: id})
}

// Ended implements passthrough.Placer.
func (f *Fleet) Ended(service, id string, e End) {
	f.planner.Ended(id, e, time.Now())
	f.report(service, event{Kind: eventEnd, ID: id, End: e})
}

// report queues an event for the home of a service, unless this instance is the
// home.
func (f *Fleet) report(service string, e event) {
	if home, _ := f.home(service); home != "" {
		f.enqueue(home, e)
	}
}

// home returns the instance that plans the service; empty if it is this one. A
// new home is sent this instance's jobs. linked is false while there is no bus.
func (f *Fleet) home(service string) (home string, linked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isLinked() {
		return "", false
	}
	now := time.Now()
	home = f.usableHome(service, now)
	if home == f.bus.Self().ID {
		home = ""
	}
	if old, known := f.homes[service]; !known || old != home {
		f.homes[service] = home
		log.WithField("service", service).WithField("home", home).WithField("before", old).
			WithField("members", len(f.bus.Members())).Info("home of service changed; an empty home is this instance")
		if home != "" {
			delete(f.pending, home)
			f.enqueueLocked(home, f.planner.resetEvents(service, f.owner, now)...)
		}
	}
	return home, true
}

// homeAmong returns the ID of the member that plans a service, of those for which accept
// returns true; a nil accept allows all. A home plans for all instances, which takes more
// processor time than a weak instance has, so those are homes only if no other is left.
func homeAmong(members []peer.Member, service string, accept func(peer.Member) bool) string {
	if home := peer.Owner(peer.Strong(members), service, accept); home != "" {
		return home
	}
	return peer.Owner(members, service, accept)
}

// avoid excludes a home that did not answer from use for homeAvoidTime.
func (f *Fleet) avoid(home string, j Job, err error) {
	metrics.GetOrCreateCounter(`banyanroute_home_timeouts_total`).Inc()
	f.mu.Lock()
	avoidTime := startingHomeAvoidTime
	if f.answered[home] {
		avoidTime = homeAvoidTime
	}
	f.avoided[home] = time.Now().Add(avoidTime)
	f.mu.Unlock()
	log.WithField("home", home).WithField("request", j.ID).WithError(err).
		Warn("home of service does not answer; this instance plans alone")
}

// placeAt has the home place a job.
func (f *Fleet) placeAt(ctx context.Context, home string, j Job) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	f.mu.Lock()
	bus, events := f.bus, f.dequeueLocked(home)
	f.mu.Unlock()
	if bus == nil {
		return Decision{}, errNoBus
	}
	a, err := f.call(ctx, bus, home, placeRequest{Events: events, Job: &j})
	if err == nil && a.Decision == nil {
		err = trace.BadParameter("placing at the home: reply contains no decision")
	}
	if err != nil {
		f.markOutOfSync(home)
		return Decision{}, err
	}
	f.mu.Lock()
	f.answered[home] = true
	f.mu.Unlock()
	return *a.Decision, nil
}

// call sends a request to a home and exchanges store revisions with it.
func (f *Fleet) call(ctx context.Context, bus peer.Bus, home string, r placeRequest) (placeAnswer, error) {
	r.Seen = f.revisions.Seen()
	var a placeAnswer
	answer, err := bus.Call(ctx, home, topicPlace, encode(r))
	if err == nil {
		err = decode(answer, &a, home)
	}
	if err == nil {
		if a.Decision != nil && !a.Decision.Reason.known() {
			wire.CountUnknownKind(home, "reason")
		}
		f.revisions.Receive(home, a.Seen)
	}
	return a, err
}

// markOutOfSync records that a home has missed events: all jobs are sent to it
// again before its next use.
func (f *Fleet) markOutOfSync(home string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, used := range f.homes {
		if used == home {
			delete(f.homes, service)
		}
	}
}

// enqueue queues events for a home.
func (f *Fleet) enqueue(home string, events ...event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enqueueLocked(home, events...)
}

func (f *Fleet) enqueueLocked(home string, events ...event) {
	if len(events) == 0 {
		return
	}
	list := append(f.pending[home], events...)
	f.pending[home] = list[max(0, len(list)-maxPendingEvents):]
	if f.flushes[home] == nil {
		f.flushes[home] = panics.AfterFunc(log, flushDelay, func() { f.flush(home) })
	}
}

// dequeueLocked removes and returns the events queued for a home.
func (f *Fleet) dequeueLocked(home string) []event {
	events := f.pending[home]
	delete(f.pending, home)
	if t := f.flushes[home]; t != nil {
		t.Stop()
		delete(f.flushes, home)
	}
	return events
}

// flush sends the events that no placement call has carried.
func (f *Fleet) flush(home string) {
	f.mu.Lock()
	bus, events := f.bus, f.dequeueLocked(home)
	f.mu.Unlock()
	if bus == nil || len(events) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if _, err := f.call(ctx, bus, home, placeRequest{Events: events}); err != nil {
		f.markOutOfSync(home)
		log.WithField("home", home).WithField("events", len(events)).WithError(err).
			Debug("sending job events to the home of a service failed")
	}
}

// handleCall handles a call of another instance to this one as home.
func (f *Fleet) handleCall(_ context.Context, from string, payload []byte) ([]byte, error) {
	var request placeRequest
	if err := decode(payload, &request, from); err != nil {
		return nil, err
	}
	f.revisions.Receive(from, request.Seen)
	now := time.Now()
	for _, e := range request.Events {
		switch {
		case !e.Kind.known():
			wire.CountUnknownKind(from, "event")
		case e.Kind == eventEnd && !e.End.Outcome.known():
			wire.CountUnknownKind(from, "outcome")
		}
		f.planner.applyEvent(e, now)
	}
	a := placeAnswer{Seen: f.revisions.Seen()}
	if request.Job != nil {
		service := request.Job.Service
		f.recordCaller(service, from, now)
		d := f.placeHere(*request.Job, now)
		a.Decision = &d
	}
	return encode(a), nil
}

// Run periodically drops the jobs of instances that are gone, and tells the others of the
// limits that upstreams name, until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	return sleep.Every(ctx, maintenanceInterval, panics.Guard(log, func() {
		now := time.Now()
		f.dropDeadOwners(now)
		f.tellLimits(now)
	}))
}

// dropDeadOwners drops the jobs of incarnations that are not members.
func (f *Fleet) dropDeadOwners(now time.Time) {
	f.mu.Lock()
	bus := f.bus
	f.mu.Unlock()
	if bus == nil {
		return
	}
	live := map[string]bool{f.owner: true}
	for _, m := range bus.Members() {
		live[OwnerName(m)] = true
	}
	f.planner.dropDeadOwners(live, now)
}

// OwnerName returns the name of an instance's incarnation in jobs.
func OwnerName(m peer.Member) string {
	return m.ID + "/" + strconv.FormatUint(m.Incarnation, 10)
}

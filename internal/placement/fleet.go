package placement

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Timing of calls to homes.
const (
	// callTimeout bounds the question for a place: many times a round trip
	// between data centres, and little beside the tightest objective.
	callTimeout = 80 * time.Millisecond
	// avoidHome is how long a home that did not answer is passed over.
	avoidHome = 1500 * time.Millisecond
	// flushDelay is how long news waits for a question that can carry it.
	flushDelay = 15 * time.Millisecond
	// newsTimeout bounds a call that carries only news.
	newsTimeout = 500 * time.Millisecond
	// maxPendingEvents bounds the news kept for one home; the oldest goes first,
	// since overdue jobs are dropped by themselves.
	maxPendingEvents = 2048
	// upkeepInterval is the time between two looks at who has left.
	upkeepInterval = 500 * time.Millisecond
)

// errNoBus says that this instance is not linked to the others yet.
var errNoBus = errors.New("not linked to other instances")

// News is what instances tell one another beside placement: up to which change
// each knows the store. Package deployment implements it.
type News interface {
	Seen() []int64
	Hear(from string, seen []int64)
}

// Fleet places jobs through the homes of their services. It is safe for
// concurrent use.
type Fleet struct {
	planner *Planner
	owner   string
	news    News

	mu  sync.Mutex
	bus peer.Bus
	// homes is the home that was last used for each service.
	homes map[string]string
	// avoided are instances that did not answer, until when.
	avoided map[string]time.Time
	pending map[string][]event
	flushes map[string]*time.Timer
}

// NewFleet returns a placer that plans alone until it has a bus. owner names this
// incarnation of the instance in jobs.
func NewFleet(p *Planner, owner string, news News) *Fleet {
	return &Fleet{
		planner: p,
		owner:   owner,
		news:    news,
		homes:   map[string]string{},
		avoided: map[string]time.Time{},
		pending: map[string][]event{},
		flushes: map[string]*time.Timer{},
	}
}

// SetBus links the placer to the other instances. It must be called before the
// bus is started.
func (f *Fleet) SetBus(bus peer.Bus) {
	bus.HandleCall(topicPlace, f.answer)
	f.mu.Lock()
	f.bus = bus
	f.mu.Unlock()
}

// Place implements passthrough.Placer.
func (f *Fleet) Place(ctx context.Context, j Job) Decision {
	j.Owner = f.owner
	home, linked := f.home(j.Service)
	if !linked {
		return f.planner.PlaceAlone(j, time.Now())
	}
	if home == "" {
		return f.planner.Place(j, time.Now())
	}
	d, err := f.ask(ctx, home, j)
	if err == nil {
		f.planner.Adopt(Adoption{Job: j, Decision: d}, time.Now())
		return d
	}
	if ctx.Err() != nil {
		return Decision{Reason: NoUpstream}
	}
	f.avoid(home, j, err)
	d = f.planner.PlaceAlone(j, time.Now())
	if next, _ := f.home(j.Service); next != "" && d.Upstream != "" {
		f.tell(next, event{Kind: eventAdopt, ID: j.ID, Adopted: &Adoption{Job: j, Decision: d}})
	}
	return d
}

// FirstAnswer implements passthrough.Placer.
func (f *Fleet) FirstAnswer(service, id string) {
	f.planner.FirstAnswer(id, time.Now())
	f.report(service, event{Kind: eventFirst, ID: id})
}

// Ended implements passthrough.Placer.
func (f *Fleet) Ended(service, id string, o Outcome) {
	f.planner.Ended(id, o, time.Now())
	f.report(service, event{Kind: eventEnd, ID: id, Outcome: o})
}

// report tells the home of a service, unless it is this instance.
func (f *Fleet) report(service string, e event) {
	if home, _ := f.home(service); home != "" {
		f.tell(home, e)
	}
}

// home returns the instance that plans the service; empty if it is this one. A
// new home is told of this instance's jobs. Without links there is none.
func (f *Fleet) home(service string) (home string, linked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bus == nil {
		return "", false
	}
	now := time.Now()
	home = peer.Owner(f.bus.Members(), service, func(m peer.Member) bool {
		until, avoided := f.avoided[m.ID]
		return !avoided || now.After(until)
	})
	if home == f.bus.Self().ID {
		home = ""
	}
	if old, known := f.homes[service]; !known || old != home {
		f.homes[service] = home
		log.WithField("service", service).WithField("home", home).WithField("before", old).
			WithField("members", len(f.bus.Members())).Info("A service has another home; empty is this instance.")
		if home != "" {
			delete(f.pending, home)
			f.tellLocked(home, f.planner.own(service, f.owner, now)...)
		}
	}
	return home, true
}

// avoid passes over a home that did not answer.
func (f *Fleet) avoid(home string, j Job, err error) {
	metrics.GetOrCreateCounter(`banyanroute_home_timeouts_total`).Inc()
	f.mu.Lock()
	f.avoided[home] = time.Now().Add(avoidHome)
	f.mu.Unlock()
	log.WithField("home", home).WithField("request", j.ID).WithError(err).
		Warn("A service's home does not answer; this instance plans by itself.")
}

// ask places a job at its home.
func (f *Fleet) ask(ctx context.Context, home string, j Job) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	bus, events := f.bus, f.takeLocked(home)
	f.mu.Unlock()
	if bus == nil {
		return Decision{}, errNoBus
	}
	a, err := f.call(ctx, bus, home, placeRequest{Events: events, Job: &j})
	if err == nil && a.Decision == nil {
		err = trace.BadParameter("the home's answer holds no decision")
	}
	if err != nil {
		f.outOfStep(home)
		return Decision{}, err
	}
	return *a.Decision, nil
}

// call sends a request to a home, with what this instance knows of the store.
func (f *Fleet) call(ctx context.Context, bus peer.Bus, home string, r placeRequest) (placeAnswer, error) {
	r.Seen = f.news.Seen()
	var a placeAnswer
	answer, err := bus.Call(ctx, home, topicPlace, encode(r))
	if err == nil {
		err = decode(answer, &a)
	}
	if err == nil {
		f.news.Hear(home, a.Seen)
	}
	return a, err
}

// outOfStep notes that a home has missed news: it is told anew of all jobs before
// it is used again.
func (f *Fleet) outOfStep(home string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, used := range f.homes {
		if used == home {
			delete(f.homes, service)
		}
	}
}

// tell queues news for a home.
func (f *Fleet) tell(home string, events ...event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tellLocked(home, events...)
}

func (f *Fleet) tellLocked(home string, events ...event) {
	if len(events) == 0 {
		return
	}
	list := append(f.pending[home], events...)
	f.pending[home] = list[max(0, len(list)-maxPendingEvents):]
	if f.flushes[home] == nil {
		f.flushes[home] = time.AfterFunc(flushDelay, func() { f.flush(home) })
	}
}

// takeLocked removes and returns the news for a home.
func (f *Fleet) takeLocked(home string) []event {
	events := f.pending[home]
	delete(f.pending, home)
	if t := f.flushes[home]; t != nil {
		t.Stop()
		delete(f.flushes, home)
	}
	return events
}

// flush sends news that no question has carried.
func (f *Fleet) flush(home string) {
	f.mu.Lock()
	bus, events := f.bus, f.takeLocked(home)
	f.mu.Unlock()
	if bus == nil || len(events) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
	defer cancel()
	if _, err := f.call(ctx, bus, home, placeRequest{Events: events}); err != nil {
		f.outOfStep(home)
		log.WithField("home", home).WithField("events", len(events)).WithError(err).
			Debug("News of jobs did not reach a service's home.")
	}
}

// answer handles a call of another instance to this one as a home.
func (f *Fleet) answer(_ context.Context, from string, payload []byte) ([]byte, error) {
	var request placeRequest
	if err := decode(payload, &request); err != nil {
		return nil, err
	}
	f.news.Hear(from, request.Seen)
	now := time.Now()
	for _, e := range request.Events {
		f.planner.take(e, now)
	}
	a := placeAnswer{Seen: f.news.Seen()}
	if request.Job != nil {
		d := f.planner.Place(*request.Job, now)
		a.Decision = &d
	}
	return encode(a), nil
}

// Run forgets the jobs of instances that are gone until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	return sleep.Every(ctx, upkeepInterval, func() { f.dropOwners(time.Now()) })
}

// dropOwners forgets the jobs of incarnations that are not members.
func (f *Fleet) dropOwners(now time.Time) {
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
	f.planner.dropOwners(live, now)
}

// OwnerName names an incarnation of an instance in jobs.
func OwnerName(m peer.Member) string {
	return m.ID + "/" + strconv.FormatUint(m.Incarnation, 10)
}

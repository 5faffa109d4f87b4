package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// Rates and sizes of the load.
const (
	generationInterval = 50 * time.Millisecond
	bookingInterval    = 40 * time.Millisecond
	editInterval       = 400 * time.Millisecond
	// requestTimeout is the caller's time limit.
	requestTimeout = 12 * time.Second
	// maxBookingTries bounds the caller's repeats of one booking.
	maxBookingTries = 6
	// repeatPause is the caller's wait between repeats.
	repeatPause = 700 * time.Millisecond
)

// load sends requests through all instances until its context ends.
type load struct {
	fleet  *localfleet.Fleet
	report *report
	client *http.Client
	random *rand.Rand
	wg     sync.WaitGroup
	edits  *edits
	// slack is how much later than its time limit an answer may come: the
	// machine runs everything at once.
	slack time.Duration
	// rolling counts each broken connection as cut off by a planned stop.
	rolling bool
	// removed holds the instances that the balancer does not use.
	removed sync.Map
	// notRun holds the request IDs of calls that were refused as not run.
	mu     sync.Mutex
	notRun map[string]string
}

func newLoad(fleet *localfleet.Fleet, o options, r *report) *load {
	l := &load{
		fleet:   fleet,
		report:  r,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		random:  rand.New(rand.NewPCG(o.seed, 1)),
		notRun:  map[string]string{},
		rolling: o.rolling,
		slack:   o.slack,
	}
	l.edits = newEdits(fleet, r)
	return l
}

// run sends requests at fixed intervals and waits for all to end.
func (l *load) run(ctx context.Context) {
	generations := time.NewTicker(generationInterval)
	bookings := time.NewTicker(bookingInterval)
	edits := time.NewTicker(editInterval)
	defer generations.Stop()
	defer bookings.Stop()
	defer edits.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			l.wg.Wait()
			l.edits.finish(context.WithoutCancel(ctx))
			l.checkNotRun()
			return
		case <-generations.C:
			spec := l.nextGeneration(n)
			l.wg.Go(func() { l.generate(context.WithoutCancel(ctx), spec) })
		case <-bookings.C:
			key := fmt.Sprintf("order-%d", n)
			first := l.pickInstance()
			l.wg.Go(func() { l.book(context.WithoutCancel(ctx), key, first) })
		case <-edits.C:
			l.wg.Go(func() { l.edits.race(context.WithoutCancel(ctx), n) })
		}
	}
}

// pickInstance selects an instance as the balancer does.
func (l *load) pickInstance() int {
	for {
		i := l.random.IntN(len(l.fleet.Instances))
		if _, out := l.removed.Load(i); !out {
			return i
		}
	}
}

// outcome counts a request's outcome. While instances are replaced by planned
// stops, a broken connection is a request that was cut off.
func (l *load) outcome(kind string, failed bool) {
	l.report.result(kind, failed)
	if !l.rolling {
		return
	}
	problem := ""
	if strings.Contains(kind, "connection") || strings.Contains(kind, "no end marker") {
		problem = kind
	}
	l.report.check(noCut, problem)
}

// generationSpec is one request to send.
type generationSpec struct {
	instance             int
	prompt, output, salt int
	stream               bool
}

// Sizes of prompts in tokens: mostly short, some long, a few over one engine.
const (
	shortPrompt = 1_000
	longPrompt  = 60_000
	hugePrompt  = 450_000
)

func (l *load) nextGeneration(n int) generationSpec {
	spec := generationSpec{instance: l.pickInstance(), prompt: shortPrompt, output: 40, salt: n, stream: l.random.IntN(4) > 0}
	switch dice := l.random.IntN(100); {
	case dice < 2:
		spec.prompt = hugePrompt
	case dice < 10:
		spec.prompt = longPrompt
	}
	return spec
}

// book makes one non-idempotent call and repeats it with the same key, through
// other instances, until the outcome is final.
func (l *load) book(ctx context.Context, key string, first int) {
	for try := range maxBookingTries {
		instance := l.fleet.Instances[(first+try)%len(l.fleet.Instances)]
		if _, out := l.removed.Load((first + try) % len(l.fleet.Instances)); out {
			continue
		}
		if l.bookOnce(ctx, instance, key) {
			return
		}
		time.Sleep(repeatPause)
	}
	l.report.result("booking: caller gave up", true)
}

// bookOnce makes one try and states whether the outcome is final.
func (l *load) bookOnce(ctx context.Context, in *localfleet.Instance, key string) bool {
	start := time.Now()
	answer := l.call(ctx, in, http.MethodPost, "/services/booking-api/bookings", key, "slot="+key)
	l.checkTime(start, "booking "+key, answer.err)
	if answer.err != nil {
		l.outcome("booking: connection failed", true)
		return false
	}
	l.outcome(fmt.Sprintf("booking: %d (%s)", answer.status, answer.code), answer.status != http.StatusOK)
	if answer.execution == "not-run" {
		l.mu.Lock()
		l.notRun[answer.requestID] = key
		l.mu.Unlock()
	}
	const outcomeUnknown = "4001"
	return answer.status == http.StatusOK || answer.code == outcomeUnknown
}

// checkTime checks that the caller got its answer in time. A connection that
// failed at once is an answer too: the instance has crashed.
func (l *load) checkTime(start time.Time, what string, err error) {
	problem := ""
	if took := time.Since(start); took > requestTimeout+l.slack {
		problem = fmt.Sprintf("%s took %s (%v)", what, took.Round(time.Millisecond), err)
	}
	l.report.check(inTime, problem)
}

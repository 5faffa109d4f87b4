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
	// maxBookingAttempts bounds the attempts of a caller at one booking.
	maxBookingAttempts = 6
	// bookingRetryDelay is the time between two attempts.
	bookingRetryDelay = 700 * time.Millisecond
)

// load sends requests through all instances until the context of run ends.
type load struct {
	fleet  *localfleet.Fleet
	report *report
	client *http.Client
	random *rand.Rand
	wg     sync.WaitGroup
	edits  *edits
	// slack is how long after its time limit an answer may arrive, because one
	// machine runs all processes.
	slack time.Duration
	// rolling makes each broken connection count as a request interrupted by a
	// graceful shutdown.
	rolling bool
	// removed holds the indices of the instances that the load balancer has
	// removed.
	removed sync.Map

	mu sync.Mutex
	// notRun maps the request IDs of calls that were refused as not run to their
	// idempotency keys.
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

// run sends requests at fixed intervals until ctx ends, waits for all answers, and
// makes the final checks.
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
			l.wg.Go(func() { l.edits.editTwice(context.WithoutCancel(ctx), n) })
		}
	}
}

// pickInstance selects an instance as a load balancer would.
func (l *load) pickInstance() int {
	for {
		i := l.random.IntN(len(l.fleet.Instances))
		if _, removed := l.removed.Load(i); !removed {
			return i
		}
	}
}

// recordOutcome counts a request's outcome. While instances are restarted by
// graceful shutdowns, a broken connection is a request that was interrupted.
func (l *load) recordOutcome(kind string, failed bool) {
	l.report.result(kind, failed)
	if !l.rolling {
		return
	}
	problem := ""
	if strings.Contains(kind, "connection") || strings.Contains(kind, "no end marker") {
		problem = kind
	}
	l.report.check(gracefulShutdown, problem)
}

// generationSpec is one request to send.
type generationSpec struct {
	instance int
	// The salt makes the prompt differ from all others.
	promptTokens, outputTokens, salt int
	stream                           bool
}

// Sizes of prompts: most are short, some long, and a few exceed the memory of one
// engine.
const (
	shortPromptTokens = 1_000
	longPromptTokens  = 60_000
	hugePromptTokens  = 450_000
)

func (l *load) nextGeneration(n int) generationSpec {
	spec := generationSpec{instance: l.pickInstance(), promptTokens: shortPromptTokens, outputTokens: 40, salt: n, stream: l.random.IntN(4) > 0}
	switch percent := l.random.IntN(100); {
	case percent < 2:
		spec.promptTokens = hugePromptTokens
	case percent < 10:
		spec.promptTokens = longPromptTokens
	}
	return spec
}

// book makes one non-idempotent call and retries it with the same key through
// other instances until the outcome is final.
func (l *load) book(ctx context.Context, key string, first int) {
	for attempt := range maxBookingAttempts {
		instance := l.fleet.Instances[(first+attempt)%len(l.fleet.Instances)]
		if _, removed := l.removed.Load((first + attempt) % len(l.fleet.Instances)); removed {
			continue
		}
		if l.bookOnce(ctx, instance, key) {
			return
		}
		time.Sleep(bookingRetryDelay)
	}
	l.report.result("booking: caller gave up", true)
}

// bookOnce makes one attempt and reports whether the outcome is final.
func (l *load) bookOnce(ctx context.Context, in *localfleet.Instance, key string) bool {
	start := time.Now()
	answer := l.call(ctx, in, http.MethodPost, "/services/booking-api/bookings", key, "slot="+key)
	l.checkTime(start, "booking "+key, answer.err)
	if answer.err != nil {
		l.recordOutcome("booking: connection failed", true)
		return false
	}
	l.recordOutcome(fmt.Sprintf("booking: %d (%s)", answer.status, answer.code), answer.status != http.StatusOK)
	if answer.execution == "not-run" {
		l.mu.Lock()
		l.notRun[answer.requestID] = key
		l.mu.Unlock()
	}
	const outcomeUnknown = "4001"
	return answer.status == http.StatusOK || answer.code == outcomeUnknown
}

// checkTime checks that the request ended in time. A connection that fails
// immediately is in time as well: the instance has crashed.
func (l *load) checkTime(start time.Time, what string, err error) {
	problem := ""
	if took := time.Since(start); took > requestTimeout+l.slack {
		problem = fmt.Sprintf("%s took %s (%v)", what, took.Round(time.Millisecond), err)
	}
	l.report.check(endsInTime, problem)
}

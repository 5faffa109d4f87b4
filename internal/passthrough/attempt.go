package passthrough

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// attempt is one send of a request.
type attempt struct {
	// job is the ID of the placed job.
	job      string
	upstream deployment.Upstream
	decision placement.Decision
	header   http.Header
	// holds says that engine memory is reserved; release gives it back.
	holds   bool
	release func()
}

// chosen is a place that was granted and not used yet.
type chosen struct {
	job      placement.Job
	decision placement.Decision
}

// jobID names the next attempt after the caller's request, so that logs of all
// instances can be joined.
func (rq *request) jobID() string {
	rq.jobs++
	if rq.call.ID == "" || strings.ContainsFunc(rq.call.ID, func(c rune) bool { return !unicode.IsLetter(c) && !unicode.IsDigit(c) && c != '-' }) {
		return uuid.NewString()
	}
	return rq.call.ID + "-" + strconv.Itoa(rq.jobs)
}

// job describes the next attempt to the placer.
func (h *Handler) job(rq *request) placement.Job {
	return placement.Job{
		ID:          rq.jobID(),
		Service:     rq.service,
		Prompt:      rq.call.PromptTokens,
		Output:      rq.outputTokens(),
		MaxOutput:   rq.call.MaxOutputTokens,
		FirstAnswer: rq.route.FirstAnswer,
		MaxPause:    rq.route.MaxPause,
		Waited:      time.Since(rq.arrived),
		Remaining:   rq.patience(),
		Lifetime:    time.Until(rq.deadline),
		Avoid:       rq.tried,
		Fingerprint: rq.fingerprint,
	}
}

// fingerprintOf identifies the request however often its caller sends it.
func fingerprintOf(rq *request) uint64 {
	d := xxhash.New()
	for _, text := range []string{rq.workspace, rq.r.Method, rq.r.RequestURI} {
		_, _ = d.WriteString(text) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(rq.body)
	return d.Sum64()
}

// place asks for an upstream. An error means that nothing was sent.
func (h *Handler) place(ctx context.Context, rq *request, lastEvent string) (*attempt, *result.Error) {
	var left []string
	for {
		job := h.job(rq)
		job.Avoid = append(slices.Clone(rq.tried), left...)
		d := h.placeSoon(ctx, rq, job)
		if d.Upstream == "" {
			return nil, refusalOf(d)
		}
		a, err := h.prepare(ctx, rq, chosen{job, d}, lastEvent)
		if err == nil || len(left) >= maxLeft {
			return a, err
		}
		// The home does not know yet that the upstream has left, or that engines
		// have no memory.
		var full *noMemory
		switch {
		case err.Code == result.NoUpstream:
			left = append(left, d.Upstream)
		case errors.As(err, &full):
			left = append(left, full.upstreams...)
		default:
			return a, err
		}
	}
}

// maxLeft bounds how many upstreams are passed over because they have left or have
// no memory.
const maxLeft = 3

// prepare makes a granted place into an attempt.
func (h *Handler) prepare(ctx context.Context, rq *request, c chosen, lastEvent string) (*attempt, *result.Error) {
	job, d := c.job, c.decision
	// The view may have changed since the request came; an upstream that has
	// left meanwhile must not be used.
	view := h.opts.State.View()
	up, known := view.Upstream(d.Upstream)
	if !known || up.Leaving || up.Service != rq.service {
		h.opts.Placer.Ended(rq.service, job.ID, placement.Abandoned)
		return nil, result.New(result.NoUpstream, "upstream %s has left", d.Upstream).After(retrySoon)
	}
	a := &attempt{job: job.ID, upstream: up, decision: d, release: func() {}}
	out := Outgoing{
		Remaining:   time.Until(rq.deadline),
		Upstream:    up.ID,
		Workspace:   rq.workspace,
		Urgency:     d.Urgency,
		Generation:  rq.route.Generation,
		LastEventID: lastEvent,
	}
	if err := h.recruit(ctx, rq, a, view, &out); err != nil {
		h.opts.Placer.Ended(rq.service, job.ID, placement.Abandoned)
		return nil, err
	}
	a.header = make(http.Header, len(rq.r.Header)+4)
	h.opts.Codec.WriteCall(a.header, rq.r.Header, out)
	rq.story.placed(a, rq.arrived)
	rq.tried = append(rq.tried, a.upstream.ID)
	return a, nil
}

// Waiting for a place, where there is none for the moment.
const (
	// placeRetry is the pause before a place is asked for again; a slot of one of
	// many engines is free sooner than that on average.
	placeRetry = 40 * time.Millisecond
	// memoryRetry is the same for memory, which is free less often.
	memoryRetry = 120 * time.Millisecond
	// slotPart and waitPart are the parts of the objective that a request waits at
	// most for a slot and for memory; a caller who comes back with the same
	// request has lost more.
	slotPart = 0.5
	waitPart = 0.6
	// deferRetry is the pause before a job that was put off is asked for again; up to
	// 250 ms earn about the same on the simulated day, and each costs a call.
	deferRetry = 200 * time.Millisecond
	// deferPart is the part of the caller's patience in which a job may be put off;
	// the rest must do for its prompt.
	deferPart = 0.4
)

// placeSoon asks for a place, again for a while if there is none now.
func (h *Handler) placeSoon(ctx context.Context, rq *request, job placement.Job) placement.Decision {
	objective := float64(rq.route.FirstAnswer)
	for {
		job.MayWait = float64(job.Waited+placeRetry) < slotPart*objective
		job.MayDefer = float64(job.Waited+deferRetry) < deferPart*float64(job.Waited+job.Remaining)
		d := h.opts.Placer.Place(ctx, job)
		if d.Upstream != "" {
			return d
		}
		pause, wait := memoryRetry, float64(job.Waited+memoryRetry) < waitPart*objective
		switch d.Reason {
		case placement.TooLate:
			wait = false
		case placement.Full:
			pause = placeRetry
		case placement.Deferred:
			pause, wait = deferRetry, true
		}
		if !wait || !sleep.For(ctx, pause) {
			return d
		}
		job.Waited, job.Remaining, job.Lifetime = time.Since(rq.arrived), rq.patience(), time.Until(rq.deadline)
	}
}

// retrySoon is when a request may come back that met a passing state.
const retrySoon = 200 * time.Millisecond

// Callers of streams leave after a gap of the longest of these, also before the
// first event.
const (
	gapAtLeast    = 2 * time.Second
	gapObjectives = 4
	gapPauses     = 8
)

// patience returns how long the caller still waits for the next byte.
func (rq *request) patience() time.Duration {
	left := time.Until(rq.deadline)
	if rq.route.Kind != deployment.Stream {
		return left
	}
	last := rq.arrived
	if !rq.story.last.IsZero() {
		last = rq.story.last
	}
	gap := max(gapAtLeast, gapObjectives*rq.route.FirstAnswer, gapPauses*rq.route.MaxPause)
	return min(left, gap-time.Since(last))
}

// outputTokens estimates the answer's length.
func (rq *request) outputTokens() int {
	c := rq.call
	if c.LikelyOutputTokens > 0 && (c.MaxOutputTokens == 0 || c.LikelyOutputTokens < c.MaxOutputTokens) {
		return c.LikelyOutputTokens
	}
	return c.MaxOutputTokens
}

// send makes one attempt and returns the answer's header.
func (h *Handler) send(ctx context.Context, rq *request, a *attempt) (*http.Response, Reply, error) {
	rq.sends++
	res, err := roundTrip(ctx, h.transport, outbound{
		method:  rq.r.Method,
		address: a.upstream.Address,
		host:    rq.r.Host,
		target:  rq.r.RequestURI,
		header:  a.header,
		body:    rq.body,
	})
	if err != nil {
		return nil, Reply{}, err
	}
	reply := h.opts.Codec.ReadReply(res.StatusCode, res.Header)
	if reply.CallID != "" && reply.CallID != rq.call.ID || reply.Encoded {
		res.Body.Close()
		return nil, Reply{}, errNotAnswer
	}
	return res, reply, nil
}

// refusalOf turns a placer's refusal into a result.
func refusalOf(d placement.Decision) *result.Error {
	var e *result.Error
	switch d.Reason {
	case placement.TooLate:
		e = result.New(result.DeadlineUnmeetable, "the engines cannot answer in time")
	case placement.TooLarge:
		e = result.New(result.Overloaded, "the engines have no memory for the prompt now")
	case placement.Poisoned:
		e = result.New(result.PoisonSuspect, "this request was lost with several upstreams that ended")
	default:
		e = result.New(result.NoUpstream, "no upstream can take the request now")
	}
	return e.After(d.RetryAfter)
}

// mayRetry states whether the request may be sent to another upstream, and
// spends retry budget. ranHere says that the last attempt may have run.
func (h *Handler) mayRetry(ctx context.Context, rq *request, ranHere bool) bool {
	if ranHere {
		rq.ran++
	}
	if ctx.Err() != nil || rq.ran >= rq.route.MaxAttempts || rq.sends >= maxSends {
		return false
	}
	return h.budgets.spend(rq.service, time.Now())
}

// maxSends bounds the sends of one request, refused ones included.
const maxSends = 4

// triedAll states whether no upstream is left that was not tried.
func (rq *request) triedAll(v *deployment.View) bool {
	for _, up := range v.Upstreams(rq.service) {
		if !slices.Contains(rq.tried, up.ID) {
			return false
		}
	}
	return true
}

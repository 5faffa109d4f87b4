package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/poison"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/sockets"
)

// attempt is one send of a request to an upstream.
type attempt struct {
	// job is the ID of the placed job.
	job      string
	upstream deployment.Upstream
	// helpers are the engines that prefill parts of the prompt.
	helpers  []deployment.Upstream
	decision placement.Decision
	header   http.Header
	// holds reports whether engine memory is reserved for the attempt; release releases
	// it.
	holds   bool
	release func()
}

// placedJob is a job that was placed, with the decision.
type placedJob struct {
	job      placement.Job
	decision placement.Decision
}

// jobID returns the ID of the next attempt. It is derived from the caller's ID, so
// that the logs of all instances can be joined.
func (rq *request) jobID() string {
	rq.jobs++
	if rq.call.ID == "" || strings.ContainsFunc(rq.call.ID, func(c rune) bool { return !unicode.IsLetter(c) && !unicode.IsDigit(c) && c != '-' }) {
		return uuid.NewString()
	}
	return rq.call.ID + "-" + strconv.Itoa(rq.jobs)
}

// job returns the placer's description of the next attempt.
func (rq *request) job() placement.Job {
	return placement.Job{
		ID:          rq.jobID(),
		Service:     rq.service,
		Prompt:      rq.call.PromptTokens,
		Output:      rq.outputTokens(),
		MaxOutput:   rq.call.MaxOutputTokens,
		FirstAnswer: rq.route.FirstAnswer,
		MaxPause:    rq.route.MaxPause,
		Waited:      rq.waited(),
		Remaining:   rq.remainingPatience(),
		Lifetime:    time.Until(rq.deadline),
		Avoid:       slices.Concat(rq.tried, rq.atFault),
		Fingerprint: rq.fingerprint,
		Parts:       rq.parts,
		Workspace:   rq.workspace,
		Route:       rq.route.Name,
		Rank:        rq.priority + 1,
	}
}

// fingerprintOf returns a hash that identifies the request across the caller's
// retries.
func fingerprintOf(rq *request) uint64 {
	d := xxhash.New()
	for _, text := range []string{rq.workspace, rq.r.Method, rq.r.RequestURI} {
		_, _ = d.WriteString(text) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(rq.body)
	return d.Sum64()
}

// sharedParts returns the keys of the prompt's parts that other requests may share: all
// but the last, which is the request's own.
func sharedParts(service string, ids []string) []uint64 {
	if len(ids) < 2 {
		return nil
	}
	ids = ids[:min(len(ids)-1, poison.MaxParts)]
	keys := make([]uint64, len(ids))
	for i, id := range ids {
		keys[i] = xxhash.Sum64String(service + "\x00" + id)
	}
	return keys
}

// place requests an upstream from the placer and prepares the attempt. An error means
// that nothing was sent.
func (h *Handler) place(ctx context.Context, rq *request, lastEvent string) (*attempt, *result.Error) {
	var skip, evacuated []string
	for {
		if err := h.mayBegin(rq, time.Now()); err != nil {
			return nil, err
		}
		if err := h.evacuatedFor(rq); err != nil {
			return nil, err
		}
		job := rq.job()
		job.Avoid = slices.Concat(rq.tried, rq.atFault, skip, evacuated)
		d, late := h.placeWithRetry(ctx, rq, job)
		if late != nil {
			return nil, late
		}
		if d.Upstream == "" {
			return nil, refusalOf(d)
		}
		a, err := h.prepare(ctx, rq, placedJob{job, d}, lastEvent)
		if err != nil && errors.Is(err, errEvacuated) && len(evacuated) == 0 {
			// The home does not know of the evacuation yet, or is of d3ebc58 and never will.
			evacuated = h.opts.State.View().EvacuatedUpstreams(rq.service)
			continue
		}
		if err == nil || len(skip) >= maxSkipped {
			return a, err
		}
		// The home does not know yet that the upstream or a helper has left, or that engines
		// have no free memory.
		var unfit *helperError
		switch {
		case errors.As(err, &unfit):
			skip = append(skip, unfit.upstreams...)
		case err.Code == result.NoUpstream:
			skip = append(skip, d.Upstream)
		default:
			return a, err
		}
	}
}

// maxSkipped bounds how many upstreams are skipped because they have left or have no
// free memory.
const maxSkipped = 3

// lastEventHeader is the standard header with which a caller resumes a stream of events.
const lastEventHeader = "Last-Event-ID"

// prepare turns a placed job into an attempt.
func (h *Handler) prepare(ctx context.Context, rq *request, c placedJob, lastEvent string) (*attempt, *result.Error) {
	job, d := c.job, c.decision
	rq.placed, rq.heard = job.ID, &lastHeard{start: rq.arrived}
	rq.placedAt, rq.events, rq.blamed = time.Now(), 0, ""
	rq.resumed = lastEvent != "" || rq.r.Header.Get(lastEventHeader) != ""
	// The view may have changed since the request arrived; an upstream that has left
	// meanwhile must not be used.
	view := h.opts.State.View()
	up, known := view.Upstream(d.Upstream)
	if known && view.Evacuated(up.DataCentre) {
		h.ended(rq, job.ID, placement.Abandoned)
		return nil, refusedEvacuated(up)
	}
	if !known || up.Leaving || up.Service != rq.service {
		h.ended(rq, job.ID, placement.Abandoned)
		return nil, result.New(result.NoUpstream, "upstream %s has left", d.Upstream).WithRetryAfter(transientRetryAfter)
	}
	if err := h.checkWithheld(d, up); err != nil {
		h.ended(rq, job.ID, placement.Abandoned)
		return nil, err
	}
	a := &attempt{job: job.ID, upstream: up, decision: d, release: func() {}}
	out := UpstreamCall{
		Remaining:   time.Until(rq.deadline),
		Upstream:    up.ID,
		Workspace:   rq.workspace,
		Urgency:     d.Urgency,
		Generation:  rq.route.Generation,
		LastEventID: lastEvent,
	}
	if err := h.prepareHelpers(ctx, rq, a, view, &out); err != nil {
		h.ended(rq, job.ID, placement.Abandoned)
		return nil, err
	}
	a.header = make(http.Header, len(rq.r.Header)+4)
	h.opts.Codec.WriteCall(a.header, rq.r.Header, out)
	rq.record.placed(a, view.Revision, rq.arrived)
	rq.tried = append(rq.tried, a.upstream.ID)
	return a, nil
}

// checkWithheld returns an error that lists the upstreams to avoid if a decision's job must not be
// sent to an upstream now.
func (h *Handler) checkWithheld(d placement.Decision, up deployment.Upstream) *result.Error {
	avoid := h.opts.Placer.Withheld(d, up)
	if len(avoid) == 0 {
		return nil
	}
	cause := &helperError{upstreams: avoid, cause: errWithheld}
	return result.Wrap(cause, result.Overloaded, "upstream %s is cold", up.ID).WithRetryAfter(transientRetryAfter)
}

// errWithheld is the cause of an error about an upstream that is cold.
var errWithheld = errors.New("too many requests for a cold upstream")

// maySend reports whether the upstream of an attempt and its helpers still take work, and the
// instance has the time for it.
func (h *Handler) maySend(rq *request, a *attempt) bool {
	if h.mayBegin(rq, time.Now()) != nil {
		return false
	}
	view := h.opts.State.View()
	return !slices.ContainsFunc(a.engines(), func(up deployment.Upstream) bool {
		return !isUsable(view, up) || h.opts.Placer.Paused(up) || len(h.opts.Placer.Withheld(a.decision, up)) > 0
	})
}

// engines returns the upstream of an attempt and its helpers.
func (a *attempt) engines() []deployment.Upstream {
	return append([]deployment.Upstream{a.upstream}, a.helpers...)
}

// isUsable reports whether an upstream is still listed as the one that was chosen, takes work
// and is not in an evacuated data centre.
func isUsable(v *deployment.View, chosen deployment.Upstream) bool {
	up, known := v.Upstream(chosen.ID)
	return known && !up.Leaving && up.SameIncarnation(chosen) && !v.Evacuated(up.DataCentre)
}

// Retries of a placement while no upstream can take the job.
const (
	// slotRetryInterval is the pause before a retry while no slot is free; with many
	// engines a slot is freed sooner than that on average.
	slotRetryInterval = 40 * time.Millisecond
	// memoryRetryInterval is the pause while no memory is free; memory is freed less
	// often than slots.
	memoryRetryInterval = 120 * time.Millisecond
	// maxLimitPause bounds the pause while all upstreams have got as many requests as they
	// take; it matters for streams that have begun, which wait as long as their callers.
	maxLimitPause = 500 * time.Millisecond
	// maxSlotWaitShare and maxMemoryWaitShare bound the wait for a slot and for memory
	// as fractions of the objective. A caller that has to retry the whole request
	// loses more time.
	maxSlotWaitShare   = 0.5
	maxMemoryWaitShare = 0.6
	// deferRetryInterval is the pause before a deferred job is placed again; each retry
	// costs a call.
	deferRetryInterval = 200 * time.Millisecond
	// maxDeferShare is the fraction of the caller's patience in which a job may be
	// deferred; the rest is needed for its prefill.
	maxDeferShare = 0.4
)

// setRetries sets whether the job may be placed again, given its objective.
func setRetries(job *placement.Job, objective float64) {
	job.MayWait = float64(job.Waited+slotRetryInterval) < maxSlotWaitShare*objective
	job.MayDefer = float64(job.Waited+deferRetryInterval) < maxDeferShare*float64(job.Waited+job.Remaining)
}

// placeWithRetry places a job and retries for a limited time if no upstream can take
// it now. An error means that a shutdown leaves no time for it.
func (h *Handler) placeWithRetry(ctx context.Context, rq *request, job placement.Job) (placement.Decision, *result.Error) {
	objective := float64(rq.route.FirstAnswer)
	for {
		setRetries(&job, objective)
		d := h.opts.Placer.Place(ctx, job)
		if d.Upstream != "" {
			return d, nil
		}
		pause, wait := memoryRetryInterval, float64(job.Waited+memoryRetryInterval) < maxMemoryWaitShare*objective
		switch d.Reason {
		case placement.TooLate, placement.Poisoned, placement.Suspected, placement.PartPoisoned, placement.PartSuspected:
			wait = false
		case placement.Full:
			pause = slotRetryInterval
		case placement.Limited:
			wait = float64(job.Waited+d.RetryAfter) < maxSlotWaitShare*objective
			pause = min(max(d.RetryAfter, slotRetryInterval), maxLimitPause)
		case placement.Deferred:
			pause, wait = deferRetryInterval, true
		}
		if rq.begun() && d.Reason != placement.Poisoned && d.Reason != placement.PartPoisoned {
			// The stream can only be cut, so it is held until the caller leaves. An upstream
			// that refused to go on with it may do so now.
			wait = true
			job.Avoid = rq.mayHaveRun
		}
		if !wait || !sleep.For(ctx, pause) {
			return d, nil
		}
		if err := h.mayBegin(rq, time.Now()); err != nil {
			return d, err
		}
		if err := h.evacuatedFor(rq); err != nil {
			return d, err
		}
		job.Waited, job.Remaining, job.Lifetime = rq.waited(), rq.remainingPatience(), time.Until(rq.deadline)
	}
}

// transientRetryAfter is the time after which a request that was refused because of a
// transient state may be retried.
const transientRetryAfter = 200 * time.Millisecond

// Callers of streams leave after a gap without data, also before the first event. The
// gap is the longest of minCallerGap and the multiples of the two objectives.
const (
	minCallerGap               = 2 * time.Second
	callerGapFirstAnswerFactor = 4
	callerGapMaxPauseFactor    = 8
)

// waited returns for how long the caller has waited for the first or, if a stream has begun,
// the next byte.
func (rq *request) waited() time.Duration {
	if rq.begun() && !rq.record.last.IsZero() {
		return time.Since(rq.record.last)
	}
	return time.Since(rq.arrived)
}

// remainingPatience returns how long the caller still waits for the next byte.
func (rq *request) remainingPatience() time.Duration {
	left := time.Until(rq.deadline)
	if rq.route.Kind != deployment.Stream {
		return left
	}
	last := rq.arrived
	if !rq.record.last.IsZero() {
		last = rq.record.last
	}
	gap := max(minCallerGap, callerGapFirstAnswerFactor*rq.route.FirstAnswer, callerGapMaxPauseFactor*rq.route.MaxPause)
	return min(left, gap-time.Since(last))
}

// outputTokens returns the estimated length of the answer.
func (rq *request) outputTokens() int {
	c := rq.call
	if c.LikelyOutputTokens > 0 && (c.MaxOutputTokens == 0 || c.LikelyOutputTokens < c.MaxOutputTokens) {
		return c.LikelyOutputTokens
	}
	return c.MaxOutputTokens
}

// send makes one attempt and returns the answer's header.
func (h *Handler) send(ctx context.Context, rq *request, a *attempt) (*http.Response, UpstreamReply, error) {
	rq.sends++
	heard := rq.heard
	res, err := roundTrip(ctx, h.transport, outbound{
		method:      rq.r.Method,
		address:     a.upstream.Address,
		host:        rq.r.Host,
		target:      rq.r.RequestURI,
		header:      a.header,
		body:        rq.body,
		maySend:     func() bool { return h.opts.AwaitCurrent(ctx) && h.maySend(rq, a) },
		onConnected: heard.sending,
		onVia:       rq.record.sentVia,
	})
	if err != nil {
		return nil, UpstreamReply{}, err
	}
	heard.now()
	res.Body = &heardBody{res.Body, heard}
	reply := h.opts.Codec.ReadReply(res.StatusCode, res.Header)
	h.opts.Signals(a.upstream, reply.Signals)
	if !reply.answers(rq.call.ID) || reply.Encoded {
		res.Body.Close()
		return nil, UpstreamReply{}, errNotAnswer
	}
	h.opts.Placer.LimitObserved(a.upstream, reply.Limit)
	return res, reply, nil
}

// lastHeard is when an upstream last sent anything, or when it was sent the request of an attempt;
// the transport may set it after the attempt has ended.
type lastHeard struct {
	start time.Time
	// after is the time from start, in nanoseconds; 0 before the request was sent.
	after atomic.Int64
	// sent is the time from start at which the request was sent, in nanoseconds; 0 before that.
	sent atomic.Int64
}

// sending records that the request is about to be sent.
func (l *lastHeard) sending() {
	l.now()
	l.sent.Store(l.after.Load())
}

// sentAt returns when the request was sent; zero before that, and on a nil lastHeard.
func (l *lastHeard) sentAt() time.Time {
	if l == nil || l.sent.Load() == 0 {
		return time.Time{}
	}
	return l.start.Add(time.Duration(l.sent.Load()))
}

func (l *lastHeard) now() { l.after.Store(int64(time.Since(l.start))) }

// silence returns the time since then; 0 before the request was sent, and on a nil lastHeard.
func (l *lastHeard) silence() time.Duration {
	if l == nil || l.after.Load() == 0 {
		return 0
	}
	return time.Since(l.start) - time.Duration(l.after.Load())
}

// heardBody is an answer's body that records when its upstream was last heard.
type heardBody struct {
	io.ReadCloser
	heard *lastHeard
}

// Read implements io.Reader.
func (b *heardBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.heard.now()
	}
	return n, err
}

// refusalOf converts a placer's refusal into a result.
func refusalOf(d placement.Decision) *result.Error {
	var e *result.Error
	switch d.Reason {
	case placement.TooLate:
		e = result.New(result.DeadlineUnmeetable, "the engines cannot answer in time")
	case placement.TooLarge:
		e = result.New(result.Overloaded, "the engines have no memory for the prompt now")
	case placement.Limited:
		e = result.New(result.Overloaded, "the upstreams take no more requests a second")
	case placement.Poisoned:
		e = result.New(result.PoisonSuspect, "this request was lost with several upstreams that ended")
	case placement.Suspected:
		e = result.New(result.PoisonSuspect, "this request was lost with several upstreams that may have crashed")
	case placement.PartPoisoned:
		e = result.New(result.PoisonSuspect, "a part of this prompt crashes upstreams")
	case placement.PartSuspected:
		e = result.New(result.PoisonSuspect, "a part of this prompt may crash upstreams; another request with it is on trial")
	default:
		e = result.New(result.NoUpstream, "no upstream can take the request now")
	}
	return e.WithRetryAfter(d.RetryAfter)
}

// mayRetry reports whether the request may be sent to another upstream, and spends
// retry budget if so. For a stream that has begun it waits for retry budget as long as the
// caller does. cause is the error of the last attempt, mayHaveRun whether it may have run.
func (h *Handler) mayRetry(ctx context.Context, rq *request, cause error, mayHaveRun bool) bool {
	if mayHaveRun {
		rq.lastMayHaveRun()
	}
	if ctx.Err() != nil || len(rq.mayHaveRun) >= rq.route.MaxAttempts {
		return false
	}
	if errors.Is(cause, sockets.ErrIsolated) && !rq.begun() {
		return false // no other upstream can be reached either
	}
	if rq.sends >= maxSends && (!rq.begun() || !sleep.For(ctx, resumeInterval)) {
		return false
	}
	if errors.Is(cause, errNotSent) {
		return true // the budget bounds what arrives at upstreams
	}
	for !h.budgets.spend(rq.service, time.Now()) {
		if !rq.begun() || !sleep.For(ctx, resumeInterval) {
			return false
		}
	}
	return true
}

// resumeInterval is the pause before retry budget is asked for again, and between further
// sends of a stream that was refused maxSends times.
const resumeInterval = 200 * time.Millisecond

// lastMayHaveRun records that the last attempt may have run.
func (rq *request) lastMayHaveRun() {
	rq.mayHaveRun = append(rq.mayHaveRun, rq.tried[len(rq.tried)-1])
}

// begun reports whether the caller has received a part of its answer.
func (rq *request) begun() bool { return rq.record.status != 0 }

// maxSends bounds the sends of one request, refused ones included. Those of a stream that
// has begun are bounded by the retry budget alone.
const maxSends = 4

// triedAll reports whether all upstreams of the service were tried.
func (rq *request) triedAll(v *deployment.View) bool {
	for _, up := range v.Upstreams(rq.service) {
		if !slices.Contains(rq.tried, up.ID) {
			return false
		}
	}
	return true
}

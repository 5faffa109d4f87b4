package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Limits for a stream that sends nothing or breaks on one upstream.
const (
	// maxBreaks bounds the broken connections in a row without progress.
	maxBreaks = 4
	// maxSilenceFactor bounds the growth of the silence timeout while the
	// upstream is alive and the answer makes no progress.
	maxSilenceFactor = 8
	// stallFactor times the silence timeout, plus stallTimePerToken for each
	// token of the prompt, is how long the answer of an upstream that is alive
	// may make no progress: the prefill of a long prompt takes minutes.
	stallFactor       = 20
	stallTimePerToken = 500 * time.Microsecond
)

// follower relays the answer of one upstream. It resumes the stream over a new
// connection when one breaks or delivers nothing for too long.
type follower struct {
	g    *generation
	conn *connection
	// silenceTimeout is the current value of the timer; it doubles with each
	// expiry without progress.
	silenceTimeout time.Duration
	timer          *time.Timer
	// breaks counts the broken connections since progressAt, the time of the
	// last progress.
	breaks     int
	progressAt time.Time
	// reconnects counts the connections after the first.
	reconnects int
	// accepted reports whether the upstream has accepted the request.
	accepted bool
}

// follow relays the answer of the granted upstream until the next event of the
// chart: when the upstream has accepted the request, and, in a second call, when
// the answer is complete or the upstream has refused, failed or been lost.
func (g *generation) follow(ctx context.Context) chart.Event {
	if g.follower == nil {
		g.follower = g.newFollower(ctx)
	}
	for {
		event := g.follower.step(ctx)
		if event == "" {
			continue
		}
		if event != eventStarted {
			g.follower.close()
			g.follower = nil
		}
		return event
	}
}

// newFollower sends the request to the granted upstream.
func (g *generation) newFollower(ctx context.Context) *follower {
	timeout := g.d.opts.SilenceTimeout
	f := &follower{g: g, silenceTimeout: timeout, timer: time.NewTimer(timeout), progressAt: time.Now()}
	g.grant.Sent()
	f.conn = connect(ctx, g.d.opts.Upstreams, g.call(false))
	return f
}

// close ends the current connection.
func (f *follower) close() {
	f.timer.Stop()
	f.conn.close()
}

// step waits for a message, the silence timeout or the end of the request's
// context, and handles it. It returns an empty event if the stream continues.
func (f *follower) step(ctx context.Context) chart.Event {
	select {
	case <-ctx.Done():
		return f.stop(ctx)
	case <-f.timer.C:
		return f.onSilence(ctx)
	case m := <-f.conn.messages:
		switch {
		case m.err != nil:
			return f.onError(ctx, m.err)
		case m.accepted:
			return f.onAccepted(m.load)
		default:
			return f.onEvent(ctx, m.event)
		}
	}
}

// onAccepted records that the upstream has accepted the request, and passes on its
// load report.
func (f *follower) onAccepted(load *upstream.LoadReport) chart.Event {
	if load != nil && f.g.d.opts.OnLoad != nil {
		f.g.d.opts.OnLoad(f.g.grant.Upstream().ID, *load)
	}
	if f.accepted {
		return ""
	}
	f.accepted = true
	f.g.ran = result.MayHaveRun
	return eventStarted
}

// stop ends the grant of a request whose caller left or whose deadline passed.
func (f *follower) stop(ctx context.Context) chart.Event {
	f.g.ran = combine(f.g.ran, result.MayHaveRun)
	f.g.grant.Done(admit.Cancelled)
	f.g.err = deadlineError()
	return contextEvent(ctx, eventDeadline)
}

// onEvent relays a chunk in order. A chunk that was delivered before is dropped;
// after a missing one the stream is resumed at that position.
func (f *follower) onEvent(ctx context.Context, event upstream.Event) chart.Event {
	g := f.g
	if event.End {
		return f.complete()
	}
	position := event.Position
	if position == 0 {
		position = g.delivered + 1
	}
	if position <= g.delivered {
		return ""
	}
	if position > g.delivered+1 {
		return f.afterBreak(ctx, errChunkMissing)
	}
	if g.delivered == 0 {
		g.grant.FirstToken()
	}
	if err := g.sink.Chunk(event.Data); err != nil {
		g.grant.Done(admit.Cancelled)
		return eventCallerLeft
	}
	g.delivered = position
	g.addChunk(event.Data)
	g.grant.Progress(1)
	f.breaks = 0
	f.progressAt = time.Now()
	f.silenceTimeout = g.d.opts.SilenceTimeout
	f.timer.Reset(f.silenceTimeout)
	return ""
}

// complete ends the grant and passes the end of the answer to the sink.
func (f *follower) complete() chart.Event {
	f.g.ran = result.Ran
	f.g.release(admit.Completed)
	if err := f.g.sink.End(); err != nil {
		return eventCallerLeft
	}
	return eventComplete
}

// onError handles the error that ended a connection.
func (f *follower) onError(ctx context.Context, err error) chart.Event {
	if ctx.Err() != nil {
		return f.stop(ctx)
	}
	var refused *refusal
	var failed *failure
	switch {
	case errors.As(err, &refused):
		f.g.err = result.Wrap(err, result.UpstreamRefused, "the upstream refused the request")
		f.g.release(admit.RefusedNotRun)
		return f.afterRefusal()
	case errors.As(err, &failed):
		f.g.err = result.Wrap(err, result.UpstreamFailed, "the upstream answered status %d: %s", failed.status, failed.message())
		f.g.grant.Done(admit.Failed)
		return eventAnswerFailed
	case errors.Is(err, errStreamUnknown):
		return f.lost(err, admit.Lost)
	case errors.Is(err, upstream.ErrNotSent) && f.reconnects == 0:
		return f.lost(err, admit.Unreached)
	case errors.Is(err, upstream.ErrNotSent) && !f.accepted:
		return f.lost(err, admit.Lost)
	}
	f.g.ran = combine(f.g.ran, result.MayHaveRun)
	return f.afterBreak(ctx, err)
}

// afterRefusal returns the event after a refusal: another upstream is tried. Once
// an attempt may have run, the refusal of a later one counts as a loss.
func (f *follower) afterRefusal() chart.Event {
	if f.g.ran == result.NotRun {
		return eventNotRun
	}
	return eventLost
}

// afterBreak resumes the stream on the same upstream if it still answers probes.
func (f *follower) afterBreak(ctx context.Context, err error) chart.Event {
	f.breaks++
	if f.breaks > maxBreaks {
		return f.stalled()
	}
	if !f.alive(ctx) {
		return f.lost(err, admit.Lost)
	}
	f.reconnect(ctx)
	return ""
}

// onSilence handles the silence timeout. A probe over a new connection
// distinguishes a broken connection from a lost upstream: if it succeeds, the
// stream is resumed, else the upstream is lost.
func (f *follower) onSilence(ctx context.Context) chart.Event {
	f.g.ran = combine(f.g.ran, result.MayHaveRun)
	if !f.alive(ctx) {
		f.g.cancelUpstream()
		return f.lost(upstream.ErrLost, admit.Lost)
	}
	if time.Since(f.progressAt) > f.stallTimeout() {
		return f.stalled()
	}
	f.silenceTimeout = min(2*f.silenceTimeout, maxSilenceFactor*f.g.d.opts.SilenceTimeout)
	f.reconnect(ctx)
	return ""
}

// stallTimeout returns how long the answer may make no progress while the upstream
// is alive.
func (f *follower) stallTimeout() time.Duration {
	return stallFactor*f.g.d.opts.SilenceTimeout + time.Duration(f.g.req.Request.PromptTokens)*stallTimePerToken
}

// stalled abandons an upstream that is alive but makes no progress.
func (f *follower) stalled() chart.Event {
	f.g.cancelUpstream()
	return f.lost(upstream.ErrLost, admit.Stalled)
}

// alive reports whether the upstream answers a probe over a new connection.
func (f *follower) alive(ctx context.Context) bool {
	up := f.g.grant.Upstream()
	latency, err := f.g.d.opts.Upstreams.Probe(ctx, up.URL)
	if ctx.Err() == nil {
		f.g.d.opts.Scheduler.ObserveProbe(up.ID, err == nil, latency)
	}
	return err == nil
}

// reconnect resumes the stream after the last delivered position over a new
// connection. The higher attempt number fences off the old connection.
func (f *follower) reconnect(ctx context.Context) {
	f.conn.close()
	f.reconnects++
	f.g.attempt++
	f.conn = connect(ctx, f.g.d.opts.Upstreams, f.g.call(true))
	f.timer.Reset(f.silenceTimeout)
}

// lost abandons the upstream. An answer that lacks only its end marker counts as
// complete.
func (f *follower) lost(err error, outcome admit.Outcome) chart.Event {
	if f.g.finished {
		return f.complete()
	}
	log.Infof("upstream %s lost for request %s: %v", f.g.grant.Upstream().ID, f.g.req.ID, err)
	code := result.UpstreamLost
	if outcome == admit.Stalled {
		code = result.Stalled
	}
	f.g.err = result.Wrap(err, code, "the upstream was lost")
	f.g.release(outcome)
	return eventLost
}

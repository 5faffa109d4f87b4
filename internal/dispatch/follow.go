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

// Limits of looking after a silent or broken stream at one upstream.
const (
	// maxBreaks bounds the connections that break without progress between.
	maxBreaks = 4
	// maxSilenceFactor bounds how far the silence timeout grows while the
	// upstream is alive and the answer makes no progress.
	maxSilenceFactor = 8
	// stallFactor times the silence timeout, and stallPerToken for each token
	// of the prompt, is how long an answer of a living upstream may make no
	// progress: a long prompt is computed for minutes before its first token.
	stallFactor   = 20
	stallPerToken = 500 * time.Microsecond
)

// follower relays the answer of one upstream, over as many connections as it
// takes.
type follower struct {
	g       *generation
	conn    *connection
	silence time.Duration
	timer   *time.Timer
	// breaks counts broken connections since the last progress, which was at
	// progressAt.
	breaks     int
	progressAt time.Time
	// accepted says that the upstream has taken the request.
	accepted bool
}

// follow relays the answer of the granted upstream. It returns once when the
// upstream has accepted the request, and once when the answer is complete or
// the upstream has refused, failed or been lost.
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
	silence := g.d.opts.SilenceTimeout
	f := &follower{g: g, silence: silence, timer: time.NewTimer(silence), progressAt: time.Now()}
	g.grant.Sent()
	f.conn = connect(ctx, g.d.opts.Upstreams, g.call(false))
	return f
}

// close ends the present connection.
func (f *follower) close() {
	f.timer.Stop()
	f.conn.close()
}

// step handles one message, silence, or the end of the request's context.
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

// onAccepted notes that the upstream has taken the request, and its load.
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

// stop ends the grant of a request whose caller left or whose time is over.
func (f *follower) stop(ctx context.Context) chart.Event {
	f.g.ran = worse(f.g.ran, result.MayHaveRun)
	f.g.grant.Done(admit.Cancelled)
	f.g.err = deadlineError()
	return contextEvent(ctx, eventDeadline)
}

// onEvent relays a chunk in order. A chunk that was delivered before is
// dropped; a gap is fetched again.
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
		return f.afterBreak(ctx, errGap)
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
	f.silence = g.d.opts.SilenceTimeout
	f.timer.Reset(f.silence)
	return ""
}

// complete hands the end to the sink.
func (f *follower) complete() chart.Event {
	f.g.ran = result.Ran
	f.g.release(admit.Completed)
	if err := f.g.sink.End(); err != nil {
		return eventCallerLeft
	}
	return eventComplete
}

// onError decides what the end of a connection means.
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
	case errors.Is(err, errNotHeld):
		return f.lost(err, admit.Lost)
	case errors.Is(err, upstream.ErrNotSent) && !f.accepted:
		return f.lost(err, admit.Lost)
	}
	f.g.ran = worse(f.g.ran, result.MayHaveRun)
	return f.afterBreak(ctx, err)
}

// afterRefusal tries elsewhere; once an attempt may have run, a refusal is a
// loss like any other.
func (f *follower) afterRefusal() chart.Event {
	if f.g.ran == result.NotRun {
		return eventNotRun
	}
	return eventLost
}

// afterBreak resumes at the same upstream if it still answers.
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

// onSilence tells a dead connection from a dead upstream: an upstream that
// answers a probe over a new connection gets a resumption, another is lost.
func (f *follower) onSilence(ctx context.Context) chart.Event {
	f.g.ran = worse(f.g.ran, result.MayHaveRun)
	if !f.alive(ctx) {
		f.g.cancelUpstream()
		return f.lost(upstream.ErrLost, admit.Lost)
	}
	if time.Since(f.progressAt) > f.stallLimit() {
		return f.stalled()
	}
	f.silence = min(2*f.silence, maxSilenceFactor*f.g.d.opts.SilenceTimeout)
	f.reconnect(ctx)
	return ""
}

// stallLimit is how long the answer may make no progress at a living upstream.
func (f *follower) stallLimit() time.Duration {
	return stallFactor*f.g.d.opts.SilenceTimeout + time.Duration(f.g.req.Route.PromptTokens)*stallPerToken
}

// stalled gives up an upstream that lives and makes no progress.
func (f *follower) stalled() chart.Event {
	f.g.cancelUpstream()
	return f.lost(upstream.ErrLost, admit.Stalled)
}

// alive probes the upstream over a new connection.
func (f *follower) alive(ctx context.Context) bool {
	up := f.g.grant.Upstream()
	latency, err := f.g.d.opts.Upstreams.Probe(ctx, up.URL)
	if ctx.Err() == nil {
		f.g.d.opts.Scheduler.ObserveProbe(up.ID, err == nil, latency)
	}
	return err == nil
}

// reconnect resumes the stream after the last delivered position over a new
// connection; a higher attempt number fences the old one off.
func (f *follower) reconnect(ctx context.Context) {
	f.conn.close()
	f.g.attempt++
	f.conn = connect(ctx, f.g.d.opts.Upstreams, f.g.call(true))
	f.timer.Reset(f.silence)
}

// lost gives the upstream up. An answer of which only the end marker is
// missing is complete all the same.
func (f *follower) lost(err error, outcome admit.Outcome) chart.Event {
	if f.g.finished {
		return f.complete()
	}
	f.g.d.log.Infof("lost upstream %s for request %s: %v", f.g.grant.Upstream().ID, f.g.req.ID, err)
	code := result.UpstreamLost
	if outcome == admit.Stalled {
		code = result.Stalled
	}
	f.g.err = result.Wrap(err, code, "the upstream was lost")
	f.g.release(outcome)
	return eventLost
}

package catalogue

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Backoff of the polls, and of the start, while the store is down.
const (
	pollBackoffFactor = 1.5
	pollBackoffJitter = 0.5
	// maxPollBackoffIntervals is the longest mean backoff in poll intervals.
	maxPollBackoffIntervals = 2
	// initialStartBackoff is the mean backoff after the first failed start.
	initialStartBackoff = 200 * time.Millisecond
)

// runPoll reads the first catalogue and then polls the head row.
func (r *Replica) runPoll(ctx context.Context) {
	if !r.start(ctx) {
		return
	}
	retryDelay := r.newBackoff()
	// The first pause is spread over a whole interval, so that instances that
	// start together do not poll together.
	wait := r.randomBelow(r.pollInterval())
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-r.wakePoll:
			timer.Stop()
		}
		if err := r.poll(ctx); err != nil {
			wait = retryDelay.NextBackOff()
			continue
		}
		retryDelay = r.newBackoff()
		wait = r.jitter(r.pollInterval())
	}
}

// pollInterval returns the mean time between two polls of this instance. It
// grows with the fleet, so that the fleet's rate of polls is the same at any
// size.
func (r *Replica) pollInterval() time.Duration {
	members := float64(len(r.bus.Members()))
	interval := time.Duration(members / r.opts.PollRate * float64(time.Second))
	return max(interval, r.opts.MinPoll)
}

// newBackoff returns the backoff of the polls while the store is down; it is
// never shorter than half the normal interval.
func (r *Replica) newBackoff() *backoff.ExponentialBackOff {
	interval := r.pollInterval()
	return &backoff.ExponentialBackOff{
		InitialInterval:     interval,
		RandomizationFactor: pollBackoffJitter,
		Multiplier:          pollBackoffFactor,
		MaxInterval:         maxPollBackoffIntervals * interval,
	}
}

// start reads the first catalogue from the neighbours and the store, and
// returns false if ctx ends first.
func (r *Replica) start(ctx context.Context) bool {
	retryDelay := &backoff.ExponentialBackOff{
		InitialInterval:     initialStartBackoff,
		RandomizationFactor: pollBackoffJitter,
		Multiplier:          pollBackoffFactor,
		MaxInterval:         r.opts.MinPoll,
	}
	for !r.startOnce(ctx) {
		if !sleep.For(ctx, retryDelay.NextBackOff()) {
			return false
		}
	}
	return true
}

// startOnce queries the neighbours first, which saves reads of the store, and
// then brings their catalogue up to the store's head. If the store is down, it
// installs the neighbours' catalogue with the highest revision.
func (r *Replica) startOnce(ctx context.Context) bool {
	fromPeers := r.readFromPeers(ctx)
	if fromPeers != nil {
		r.store.Offer(fromPeers)
	}
	snap, err := r.load(ctx)
	switch {
	case err == nil:
		r.install(snap, sourceStore)
		return true
	case fromPeers != nil:
		log.Warnf("store unavailable, started with revision %d from a peer", fromPeers.revision)
		r.install(fromPeers, sourceFetch)
		return true
	}
	log.Warnf("loading the first catalogue failed, retrying: %v", err)
	return false
}

// load reads the current catalogue from the store.
func (r *Replica) load(ctx context.Context) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeoutCalls*r.opts.CallTimeout)
	defer cancel()
	return r.store.Load(ctx)
}

// loadTimeoutCalls is the timeout for reading the catalogue, which takes
// several calls, as a multiple of the timeout of one call.
const loadTimeoutCalls = 10

// poll reads the head row, and loads the catalogue if the head is not the
// installed revision.
func (r *Replica) poll(ctx context.Context) error {
	metrics.GetOrCreateCounter("banyanroute_catalogue_polls_total").Inc()
	headCtx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	rev, digest, err := r.store.Head(headCtx)
	cancel()
	if err != nil {
		metrics.GetOrCreateCounter("banyanroute_catalogue_poll_failures_total").Inc()
		return err
	}
	snap := r.Snapshot()
	switch {
	case rev < snap.revision:
		log.Errorf("store has revision %d, lower than the installed revision %d", rev, snap.revision)
		return nil
	case rev == snap.revision && digest == snap.digest:
		return nil
	}
	next, err := r.load(ctx)
	if err != nil {
		return err
	}
	r.repair(next)
	if r.install(next, sourceStore) {
		r.announce(next)
	}
	return nil
}

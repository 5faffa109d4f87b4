package catalogue

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Backoff of the polls while the store is down.
const (
	pollBackoffFactor = 1.5
	pollBackoffJitter = 0.5
	// pollBackoffLimit is the longest mean pause, in poll intervals.
	pollBackoffLimit = 2
	// startFirstPause is the pause after the first failed start.
	startFirstPause = 200 * time.Millisecond
)

// runPoll reads the first catalogue and then polls the head row.
func (r *Replica) runPoll(ctx context.Context) {
	if !r.start(ctx) {
		return
	}
	failing := r.newBackoff()
	// The first pause is spread over a whole interval, so that instances that
	// start together do not poll together.
	wait := r.below(r.pollInterval())
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
			wait = failing.NextBackOff()
			continue
		}
		failing = r.newBackoff()
		wait = r.jitter(r.pollInterval())
	}
}

// pollInterval is the mean time between two polls of this instance: the fleet's
// rate of polls is the same at any size.
func (r *Replica) pollInterval() time.Duration {
	members := float64(len(r.bus.Members()))
	interval := time.Duration(members / r.opts.PollRate * float64(time.Second))
	return max(interval, r.opts.MinPoll)
}

// newBackoff returns the pauses between polls while the store is down: never
// shorter than half the normal interval.
func (r *Replica) newBackoff() *backoff.ExponentialBackOff {
	interval := r.pollInterval()
	return &backoff.ExponentialBackOff{
		InitialInterval:     interval,
		RandomizationFactor: pollBackoffJitter,
		Multiplier:          pollBackoffFactor,
		MaxInterval:         pollBackoffLimit * interval,
	}
}

// start reads the first catalogue, from the store and its neighbours, and
// returns false if ctx ends first.
func (r *Replica) start(ctx context.Context) bool {
	failing := &backoff.ExponentialBackOff{
		InitialInterval:     startFirstPause,
		RandomizationFactor: pollBackoffJitter,
		Multiplier:          pollBackoffFactor,
		MaxInterval:         r.opts.MinPoll,
	}
	for !r.startOnce(ctx) {
		if !sleep.For(ctx, failing.NextBackOff()) {
			return false
		}
	}
	return true
}

// startOnce tries neighbours first, which spares the store, and then brings
// their catalogue up to the store's head. While the store is down, the highest
// catalogue of the neighbours counts.
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
		log.Warnf("store is down; starting with revision %d of a peer", fromPeers.revision)
		r.install(fromPeers, sourceFetch)
		return true
	}
	log.Warnf("no catalogue yet: %v", err)
	return false
}

// load reads the present catalogue within the time of a few calls.
func (r *Replica) load(ctx context.Context) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, loadCalls*r.opts.CallTimeout)
	defer cancel()
	return r.store.Load(ctx)
}

// loadCalls bounds the time for reading the catalogue, in call timeouts.
const loadCalls = 10

// poll reads the head row and follows it if it is not the present revision.
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
		log.Errorf("store has revision %d, lower than the installed %d", rev, snap.revision)
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

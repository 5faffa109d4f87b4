package deployment

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// Calls to the store are priced, so only a few instances, the watchers, follow it. The others
// follow one of them, their relay, by calls like those to the store: a call is answered at once
// if there is news, and after some time if there is none. A relay answers only while the store
// answers it, so that the news is never older than relayMaxAge. An instance whose relay
// fails asks the next one, and then the store.

// topicFollow is the topic of calls that wait for news of a source.
const topicFollow = "follow the store"

// Timing of calls to relays.
const (
	// maxFollowWait bounds how long a call waits for news, followWaitShare does so as a
	// fraction of ApplyTimeout: within it an instance notices that its relay is gone.
	maxFollowWait   = 2 * time.Second
	followWaitShare = 0.2
	// followSlack is how much longer an answer may take.
	followSlack = 300 * time.Millisecond
	// relayMaxAge is the age of the store's last answer from which on a relay does not
	// answer: a relay calls the store at least that often.
	relayMaxAge = pollWait + pollSlack
	// relayAvoidTime is how long a relay that failed is not asked, relayRetryPause how long
	// one is not asked that the store does not answer.
	relayAvoidTime = 3 * time.Second
	// olderRelayAvoidTime is how long a relay is not asked that says nothing of evacuations:
	// only a restart with another build changes that.
	olderRelayAvoidTime = 15 * time.Second
	relayRetryPause     = time.Second
	// awayCallPause is the mean time between calls of an instance to a store that answers
	// neither it nor a relay. The store may be back for this instance alone.
	awayCallPause = 4 * time.Second
	// maxRelayTries bounds the relays that are asked before the store.
	maxRelayTries = 2
)

// followRequest waits for news of a source.
type followRequest struct {
	_ struct{} `cbor:",toarray"`
	// Source is the index of the source.
	Source int
	// Version is the relay's version that the caller knows; 0 if none.
	Version uint64
	Wait    time.Duration
	// AcceptsPacked reports whether the caller reads followAnswer.Packed.
	AcceptsPacked bool `wire:"added"`
}

// followAnswer is the answer of a relay.
type followAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Unfit reports whether the relay does not follow the store, StoreAway whether the reason
	// is that the store does not answer.
	Unfit, StoreAway bool
	Version          uint64
	// Revision is the store's version up to which the relay knows all changes.
	Revision Revision
	// News is a snapshot of the source; nil if the caller knows it.
	News *Update
	// Packed holds the snapshot in compressed form, in place of News, if the caller reads it.
	Packed []byte `wire:"added"`
}

// errNoEvacuations is returned if a relay says nothing of evacuations, because its build doesn't
// know them, and this instance must know them.
var errNoEvacuations = errors.New("the relay says nothing of evacuations")

// errKeysLifted is returned if what another instance passes on lifts the check of keys. 9cd15ac passes
// on an empty list of workspaces, with which no key is valid, like none, so the store is asked.
var errKeysLifted = errors.New("the other instance's configuration lifts the check of keys")

// liftsKeyCheck reports whether a newer configuration needs no keys although the active one does.
func (f *Follower) liftsKeyCheck(c *Configuration) bool {
	active := f.state.View().Config
	return c != nil && active != nil && active.Version < c.Version && active.Keys != nil && c.Keys == nil
}

// relayed is what a Follower knows of its relay. Only Run changes it.
type relayed struct {
	// id names the relay; empty if the last call was to the store. It is changed with mu held.
	id string
	// version is the relay's version that is known here.
	version uint64
	// statesEvacuations reports whether the last news of a relay said which data centres are
	// evacuated. The first answer of a relay always has news.
	statesEvacuations bool
	// avoided holds the relays that failed, and until when they are not asked.
	avoided map[string]time.Time
	// storeAwayAt is when a relay last said that the store does not answer it.
	storeAwayAt time.Time
	// olderUntil is until when a relay is avoided that says nothing of evacuations.
	olderUntil time.Time
	// ownCallAt is when this instance calls the store next if a relay says so.
	ownCallAt time.Time
}

// relayResult is the result of asking the relays.
type relayResult uint8

const (
	// relayNone: there is no relay, or none answered; the store must be called.
	relayNone relayResult = iota
	// relayAnswered: what is known is as new as what the relay knows.
	relayAnswered
	// relayInterrupted: the call was interrupted to read the store again.
	relayInterrupted
	// relayKnowsStoreAway: the store answers neither this instance nor a relay, and it is not
	// time yet to call it again.
	relayKnowsStoreAway
)

// publish records that what the follower knows may have changed, and wakes the calls that wait
// for news. The caller must hold mu.
func (f *Follower) publish() {
	f.version++
	f.wake()
}

// wake has the calls that wait for news check again whether there is any. The caller must hold mu.
func (f *Follower) wake() {
	close(f.news)
	f.news = make(chan struct{})
}

// waitForNews answers a call that waits for news.
func (f *Follower) waitForNews(ctx context.Context, r followRequest) followAnswer {
	deadline := time.Now().Add(r.Wait)
	for {
		now := time.Now()
		f.mu.Lock()
		a := followAnswer{Version: f.version, Revision: f.complete.load(), StoreAway: !f.outage.failingSince.IsZero()}
		answeredAt, news := f.answeredAt, f.news
		f.mu.Unlock()
		age := now.Sub(answeredAt)
		switch {
		case a.StoreAway || answeredAt.IsZero() || age > relayMaxAge:
			a.Unfit = true
			return a
		case a.Version != r.Version:
			return f.withNews(a, r.AcceptsPacked)
		case !now.Before(deadline):
			return a
		}
		select {
		case <-news:
		case <-time.After(min(deadline.Sub(now), relayMaxAge-age+time.Millisecond)):
		case <-ctx.Done():
			return a
		}
	}
}

// withNews returns the answer with a snapshot of the source.
func (f *Follower) withNews(a followAnswer, packed bool) followAnswer {
	if packed {
		data, err := f.packedSnapshot(a.Version)
		if err == nil {
			a.Packed = data
			return a
		}
		log.WithError(err).WithField("table", f.source.Name()).Error("snapshot for another instance not compressed")
	}
	snapshot := f.snapshot()
	a.News = &snapshot
	return a
}

// followRelay waits for news from a relay and applies it.
func (f *Follower) followRelay(ctx context.Context) relayResult {
	if f.exchange == nil || f.options.Relays == nil {
		return relayNone
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setInterrupt(cancel)
	tries := 0
	for _, id := range f.options.Relays() {
		if time.Now().Before(f.relay.avoided[id]) {
			continue
		}
		if tries++; tries > maxRelayTries {
			break
		}
		err := f.askRelay(ctx, id)
		if err == nil {
			return relayAnswered
		}
		if ctx.Err() != nil {
			return relayInterrupted
		}
		f.avoidRelay(id, err)
	}
	f.setRelay("")
	now := time.Now()
	if f.relay.isStoreAway(now) && !f.failingSince().IsZero() && now.Before(f.relay.ownCallAt) {
		f.recordCall(now, true)
		return relayKnowsStoreAway
	}
	jitter := 1 + idleRetryJitter*(2*rand.Float64()-1)
	f.relay.ownCallAt = now.Add(time.Duration(jitter * float64(awayCallPause)))
	return relayNone
}

// isStoreAway reports whether a relay said lately that the store does not answer it.
func (r *relayed) isStoreAway(now time.Time) bool { return now.Sub(r.storeAwayAt) <= 2*relayRetryPause }

// setRelay records the relay; empty for the store itself.
func (f *Follower) setRelay(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay.id = id
}

// askRelay waits for news from one relay and applies it.
func (f *Follower) askRelay(ctx context.Context, id string) error {
	began := time.Now()
	request := followRequest{Source: f.index, AcceptsPacked: true}
	known := id == f.relay.id
	if known {
		request.Version = f.relay.version
		request.Wait = min(maxFollowWait, time.Duration(followWaitShare*float64(f.options.ApplyTimeout())))
	}
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+followSlack)
	defer cancel()
	a, err := f.exchange.follow(callCtx, id, request)
	if err != nil {
		return err
	}
	if err := f.checkRelay(a); err != nil {
		return err
	}
	now := time.Now()
	f.recordRelayed(now)
	complete := f.complete.load()
	if a.News != nil && (known || !a.News.Revision.Before(complete)) {
		// The relay knows all changes that this instance knows, so what it knows is
		// complete up to the same version at least. It may know more at the same version: which
		// entries of an older copy are outdated.
		a.News.Revision, a.News.fetched = latest(a.News.Revision, complete), true
		if err := f.applyContained(*a.News, now); err != nil {
			return err
		}
	}
	if !known {
		metrics.GetOrCreateCounter(`banyanroute_store_relays_chosen_total`).Inc()
		log.WithField("table", f.source.Name()).WithField("instance", id).Info("following the platform store through another instance")
	}
	f.setRelay(id)
	f.relay.version = a.Version
	f.recordCall(began, false)
	if a.News != nil {
		f.waitForBatch(ctx)
	}
	return nil
}

// checkRelay reports why a relay's answer must not be used; nil if it may be.
func (f *Follower) checkRelay(a followAnswer) error {
	if a.Unfit {
		if a.StoreAway {
			f.relay.storeAwayAt = time.Now()
		}
		return trace.ConnectionProblem(nil, "the relay does not follow the store now")
	}
	if changed := f.changed.load(); a.Revision.Before(changed) {
		return trace.CompareFailed("the relay knows the store up to %s only, this instance a change of %s", a.Revision, changed)
	}
	if a.News != nil {
		f.relay.statesEvacuations = a.News.Evacuations != nil
	}
	if !f.relay.statesEvacuations && f.needsEvacuations() {
		return errNoEvacuations
	}
	if a.News != nil && f.liftsKeyCheck(a.News.Config) {
		return errKeysLifted
	}
	return nil
}

// avoidRelay has a relay that failed not be asked for some time.
func (f *Follower) avoidRelay(id string, err error) {
	if f.relay.avoided == nil {
		f.relay.avoided = map[string]time.Time{}
	}
	now, avoidTime := time.Now(), relayAvoidTime
	switch {
	case errors.Is(err, errNoEvacuations):
		avoidTime = olderRelayAvoidTime
		f.relay.olderUntil = now.Add(avoidTime)
	case f.relay.isStoreAway(now):
		avoidTime = relayRetryPause / 2
	}
	for other, until := range f.relay.avoided {
		if !now.Before(until) {
			delete(f.relay.avoided, other)
		}
	}
	f.relay.avoided[id] = now.Add(avoidTime)
	if id != f.relay.id {
		return
	}
	f.setRelay("")
	metrics.GetOrCreateCounter(`banyanroute_store_relays_failed_total`).Inc()
	log.WithError(err).WithField("table", f.source.Name()).WithField("instance", id).
		Info("instance through which the platform store was followed failed; asking another one or the store")
}

// recordRelayed records that a relay, and so the store, answered.
func (f *Follower) recordRelayed(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage.relayed(now)
}

// follow waits for news of a source from another instance.
func (e *Exchange) follow(ctx context.Context, id string, r followRequest) (followAnswer, error) {
	var a followAnswer
	bus := e.currentBus()
	if bus == nil {
		return a, errNoLinks
	}
	payload, err := cbor.Marshal(r)
	if err != nil {
		return a, trace.Wrap(err)
	}
	answer, err := bus.Call(ctx, id, topicFollow, payload)
	if err != nil {
		return a, trace.Wrap(err)
	}
	if err := wire.Unmarshal(answer, &a, id); err != nil {
		return a, trace.Wrap(err)
	}
	if len(a.Packed) > 0 {
		news, err := unpack(a.Packed, id)
		if err != nil {
			return a, err
		}
		a.News, a.Packed = &news, nil
	}
	return a, nil
}

// handleFollow answers a call that waits for news of a source.
func (e *Exchange) handleFollow(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var r followRequest
	if err := wire.Unmarshal(payload, &r, from); err != nil {
		return nil, trace.BadParameter("decoding the request: %v", err)
	}
	if r.Source < 0 || r.Source >= len(e.followers) {
		return nil, errNoSource
	}
	r.Wait = min(r.Wait, maxFollowWait)
	return cbor.Marshal(e.followers[r.Source].waitForNews(ctx, r))
}

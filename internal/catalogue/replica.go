package catalogue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
)

var log = logging.For("catalogue")

// source is the origin of an installed snapshot.
type source string

const (
	sourceEdit  source = "edit"
	sourceStore source = "store"
	sourcePush  source = "push"
	sourceFetch source = "fetch"
)

// Options configures a Replica; zero values take the defaults.
type Options struct {
	// Exchange is the mean time between two exchanges with a neighbour; the
	// default is 2 s.
	Exchange time.Duration
	// PollRate is the number of polls of the head row per second over the
	// whole fleet; the default is 40.
	PollRate float64
	// MinPoll is the shortest mean time between two polls of one instance;
	// the default is 2 s.
	MinPoll time.Duration
	// CallTimeout bounds one call to a peer or read of the store; the
	// default is 1 s.
	CallTimeout time.Duration
	// Seed makes the jitter reproducible; zero picks a random seed.
	Seed uint64
}

// Defaults of Options.
const (
	defaultExchange    = 2 * time.Second
	defaultPollRate    = 40
	defaultMinPoll     = 2 * time.Second
	defaultCallTimeout = time.Second
)

func (o Options) withDefaults() Options {
	if o.Exchange <= 0 {
		o.Exchange = defaultExchange
	}
	if o.PollRate <= 0 {
		o.PollRate = defaultPollRate
	}
	if o.MinPoll <= 0 {
		o.MinPoll = defaultMinPoll
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

// Replica keeps this instance's copy of the catalogue up to date. It receives
// broadcasts of new revisions, exchanges revisions with random neighbours, and
// polls the head row as a fallback. It is safe for concurrent use.
type Replica struct {
	store *Store
	bus   peer.Bus
	opts  Options

	current atomic.Pointer[Snapshot]

	// mu guards installation and the fields below it.
	mu          sync.Mutex
	subscribers []func(*Snapshot)
	// noticed is the highest revision that a peer announced, and noticedFrom
	// that peer.
	noticed     Revision
	noticedFrom string
	machine     *chart.Machine
	random      *rand.Rand

	// wakeFetch and wakePoll each hold at most one pending wake-up.
	wakeFetch chan struct{}
	wakePoll  chan struct{}
}

// NewReplica returns a replica and registers its handlers on the bus, which
// must not have been started yet.
func NewReplica(store *Store, bus peer.Bus, opts Options) *Replica {
	opts = opts.withDefaults()
	r := &Replica{
		store:     store,
		bus:       bus,
		opts:      opts,
		machine:   lifecycle.NewMachine(),
		random:    rand.New(rand.NewPCG(opts.Seed, 0)),
		wakeFetch: make(chan struct{}, 1),
		wakePoll:  make(chan struct{}, 1),
	}
	bus.HandleBroadcast(topicOffer, r.handleOffer)
	bus.HandleCall(topicFetch, r.handleFetch)
	bus.HandleCall(topicPage, r.handlePage)
	return r
}

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { panics.Restart(ctx, log, r.runExchange) })
	wg.Go(func() { panics.Restart(ctx, log, r.runPoll) })
	wg.Wait()
	return ctx.Err()
}

// Snapshot returns the current catalogue, or nil if there is none yet.
func (r *Replica) Snapshot() *Snapshot { return r.current.Load() }

// Ready reports whether the instance has a catalogue: the one that it read from
// the store or a peer when it started, or a later one.
func (r *Replica) Ready() bool { return r.Snapshot() != nil }

// Revision returns the revision of the current catalogue, or zero.
func (r *Replica) Revision() Revision {
	if snap := r.Snapshot(); snap != nil {
		return snap.revision
	}
	return 0
}

// replicaState is the replica's part of a state dump.
type replicaState struct {
	// State is the state in charts/catalogue.yaml.
	State    chart.State  `json:"state"`
	Revision Revision     `json:"revision"`
	Digest   string       `json:"digest"`
	Entries  map[Kind]int `json:"entries"`
	// KeptChanges is the number of recent changes that can be sent to peers.
	KeptChanges int `json:"kept_changes"`
	// Noticed is the highest revision that a peer announced, and NoticedFrom
	// that peer.
	Noticed     Revision `json:"noticed"`
	NoticedFrom string   `json:"noticed_from,omitempty"`
	// PollInterval is the current mean time between two polls.
	PollInterval Duration `json:"poll_interval"`
}

// Dump returns the replica's state; its type is replicaState.
func (r *Replica) Dump() any {
	state := replicaState{PollInterval: Duration(r.pollInterval()), Entries: map[Kind]int{}}
	r.mu.Lock()
	state.State = r.machine.State()
	state.Noticed, state.NoticedFrom = r.noticed, r.noticedFrom
	r.mu.Unlock()
	snap := r.Snapshot()
	if snap == nil {
		return state
	}
	state.Revision, state.Digest = snap.revision, snap.digest.String()
	state.KeptChanges = len(snap.recent)
	for kind, entries := range snap.entries {
		state.Entries[kind] = len(entries)
	}
	return state
}

// Subscribe calls f with each newly installed snapshot, in order. If there is a
// current snapshot, it calls f with it immediately. f must not block.
func (r *Replica) Subscribe(f func(*Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	if snap := r.Snapshot(); snap != nil {
		f(snap)
	}
}

// Apply commits an edit and installs the new revision on this instance immediately;
// see Store.Apply.
func (r *Replica) Apply(ctx context.Context, edit Edit) (Applied, error) {
	applied, err := r.store.Apply(ctx, edit)
	if err != nil {
		return applied, err
	}
	if snap := r.store.latest.Load(); snap != nil {
		r.Install(snap)
	}
	if applied.Revision > r.Revision() {
		wake(r.wakePoll)
	}
	return applied, nil
}

// Install installs a snapshot that was read from, or committed to, the store
// and broadcasts it. It returns false, and changes nothing, unless the
// snapshot's revision is higher than the current one.
func (r *Replica) Install(snap *Snapshot) bool {
	if !r.install(snap, sourceEdit) {
		return false
	}
	r.announce(snap)
	return true
}

// install makes snap the current snapshot if its revision is higher.
func (r *Replica) install(snap *Snapshot, from source) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.Snapshot(); old != nil && snap.revision <= old.revision {
		return false
	}
	r.replace(snap, from)
	return true
}

// repair replaces the current snapshot if it has the revision of snap, which
// was read from the store, but another digest.
func (r *Replica) repair(snap *Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.Snapshot()
	if old == nil || snap.revision != old.revision || snap.digest == old.digest {
		return
	}
	log.Errorf("content of revision %d replaced: it differed from the store", snap.revision)
	r.replace(snap, sourceStore)
}

// replace makes snap the current snapshot and calls the subscribers. The caller
// holds mu.
func (r *Replica) replace(snap *Snapshot, from source) {
	r.current.Store(snap)
	r.store.Offer(snap)
	metrics.GetOrCreateGauge("banyanroute_catalogue_revision", nil).Set(float64(snap.revision))
	metrics.GetOrCreateCounter(fmt.Sprintf("banyanroute_catalogue_installs_total{source=%q}", from)).Inc()
	log.Infof("installed revision %d with %d entries from %s", snap.revision, snap.Len(), from)
	r.fire(eventFirstInstalled)
	if r.noticed > snap.revision {
		r.fire(eventHigherNoticed)
	} else {
		r.fire(eventCaughtUp)
	}
	for _, f := range r.subscribers {
		f(snap)
	}
}

// announce broadcasts a revision, together with its change if that is short.
func (r *Replica) announce(snap *Snapshot) {
	o := offer{Revision: snap.revision, Digest: snap.digest}
	if n := len(snap.recent); n > 0 {
		change := snap.recent[n-1].forPeers()
		if changeSize(change) <= maxInlineBytes {
			o.Change = &change
		}
	}
	r.bus.Broadcast(topicOffer, encode(o))
}

// recordNotice records that a peer announced a revision, and wakes the fetch
// loop.
func (r *Replica) recordNotice(from string, rev Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rev <= r.noticed || rev <= r.Revision() {
		return
	}
	r.noticed, r.noticedFrom = rev, from
	r.fire(eventHigherNoticed)
	wake(r.wakeFetch)
}

// behind reports whether a peer announced a higher revision than the current
// one, and returns that peer.
func (r *Replica) behind() (from string, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noticedFrom, r.noticed > r.Revision()
}

// discardNotice discards an announced revision that could not be fetched.
// Otherwise the offer of a high revision that does not exist would hide later
// offers. A revision that does exist is found by the exchange with neighbours.
func (r *Replica) discardNotice() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noticed = min(r.noticed, r.Revision())
}

// reportDivergence logs and counts a peer that has different content under the
// same revision, and wakes the poll, since the store's content is
// authoritative.
func (r *Replica) reportDivergence(from string, rev Revision) {
	log.Errorf("content diverged: peer %s has different content for revision %d", from, rev)
	metrics.GetOrCreateCounter("banyanroute_catalogue_diverged_total").Inc()
	wake(r.wakePoll)
}

// reportRejected logs and counts invalid content from a peer.
func (r *Replica) reportRejected(content, from string, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("banyanroute_catalogue_refused_total{what=%q}", content)).Inc()
	log.Warnf("%s rejected from peer %s: %v", content, from, err)
}

// jitter returns a random duration from 3/4 to 5/4 of mean.
func (r *Replica) jitter(mean time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return mean*3/4 + time.Duration(r.random.Int64N(int64(mean)/2+1))
}

// wake wakes the loop that receives from c, unless a wake-up is already
// pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

package catalogue

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

const (
	// fetchSpread is the time per member over which the fetches of one
	// announced revision are spread.
	fetchSpread = 2 * time.Millisecond
	// fetchNeighbours is the number of neighbours that are queried before the
	// announcing instance, so that it does not serve the whole fleet.
	fetchNeighbours = 2
	// startNeighbours is the number of neighbours that a new instance queries;
	// it takes the highest revision among them.
	startNeighbours = 5
	// maxPages bounds the pages of one transfer.
	maxPages = 1024
)

// runExchange fetches announced revisions, and exchanges revisions with one
// neighbour per round (anti-entropy).
func (r *Replica) runExchange(ctx context.Context) {
	timer := time.NewTimer(r.jitter(r.opts.Exchange))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeFetch:
			r.fetchNoticed(ctx)
		case <-timer.C:
			r.exchangeRound(ctx)
			timer.Reset(r.jitter(r.opts.Exchange))
		}
	}
}

// exchangeRound fetches the changes that one random neighbour has and this
// instance lacks.
func (r *Replica) exchangeRound(ctx context.Context) {
	if r.Snapshot() == nil {
		return
	}
	for _, id := range r.someNeighbours(1) {
		r.fetchFrom(ctx, id)
	}
}

// fetchNoticed fetches an announced revision, from neighbours if they have it
// by now and else from the instance that announced it.
func (r *Replica) fetchNoticed(ctx context.Context) {
	if r.Snapshot() == nil {
		r.dropNotice()
		return
	}
	spread := time.Duration(len(r.bus.Members())) * fetchSpread
	if !sleep.For(ctx, r.below(spread)) {
		return
	}
	for _, id := range r.someNeighbours(fetchNeighbours) {
		if _, behind := r.behind(); !behind {
			return
		}
		r.fetchFrom(ctx, id)
	}
	if from, behind := r.behind(); behind {
		r.fetchFrom(ctx, from)
		r.dropNotice()
	}
}

// fetchFrom fetches a peer's changes after the present revision until there are
// no more.
func (r *Replica) fetchFrom(ctx context.Context, id string) {
	for {
		before := r.Revision()
		err := r.fetchOnce(ctx, id)
		if err != nil && !errors.Is(err, peer.ErrUnreachable) && ctx.Err() == nil {
			r.refused("fetch", id, err)
		}
		if err != nil || r.Revision() == before {
			return
		}
	}
}

// fetchOnce makes one call for changes and installs them.
func (r *Replica) fetchOnce(ctx context.Context, id string) error {
	snap := r.Snapshot()
	answer, err := r.callFetch(ctx, id, snap)
	if err != nil {
		return err
	}
	switch {
	case answer.Revision < snap.revision:
		return nil
	case answer.Revision == snap.revision:
		if answer.Digest != snap.digest {
			r.diverged(id, snap.revision)
		}
		return nil
	case len(answer.Changes) == 0:
		return r.fetchWhole(ctx, id)
	}
	next, err := snap.withChanges(answer.Changes)
	if err != nil {
		return err
	}
	r.install(next, sourceFetch)
	return nil
}

func (r *Replica) callFetch(ctx context.Context, id string, snap *Snapshot) (fetchAnswer, error) {
	req := fetchRequest{Revision: snap.revision, Digest: snap.digest}
	data, err := r.call(ctx, id, topicFetch, encode(req))
	if err != nil {
		return fetchAnswer{}, err
	}
	return decodeFetchAnswer(data)
}

// fetchWhole installs a peer's whole catalogue.
func (r *Replica) fetchWhole(ctx context.Context, id string) error {
	snap, err := r.readWhole(ctx, id)
	if err != nil {
		return err
	}
	r.install(snap, sourceFetch)
	return nil
}

// readWhole reads a peer's catalogue page by page, and then the changes that
// came meanwhile.
func (r *Replica) readWhole(ctx context.Context, id string) (*Snapshot, error) {
	records := map[Key]*Record{}
	first, err := r.readPages(ctx, id, records)
	if err != nil {
		return nil, err
	}
	rev, digest := first.Revision, first.Digest
	if digestOf(records) == digest {
		return newSnapshot(rev, digest, records, nil), nil
	}
	answer, err := r.callFetch(ctx, id, &Snapshot{revision: rev, digest: digest})
	if err != nil {
		return nil, err
	}
	for _, change := range answer.Changes {
		if change.Revision != rev+1 {
			return nil, fmt.Errorf("change %d does not follow revision %d", change.Revision, rev)
		}
		applyUpdates(records, change.Updates)
		rev, digest = change.Revision, change.Digest
	}
	if got := digestOf(records); got != digest {
		return nil, fmt.Errorf("content of revision %d has digest %s; stated is %s", rev, got, digest)
	}
	return newSnapshot(rev, digest, records, nil), nil
}

// readPages collects all pages and returns the first.
func (r *Replica) readPages(ctx context.Context, id string, records map[Key]*Record) (pageAnswer, error) {
	var first pageAnswer
	after := ""
	for n := range maxPages {
		data, err := r.call(ctx, id, topicPage, encode(pageRequest{After: after}))
		if err != nil {
			return first, err
		}
		page, err := decodePageAnswer(data)
		if err != nil {
			return first, err
		}
		if n == 0 {
			first = page
		}
		for i := range page.Records {
			records[page.Records[i].Entry.Key()] = &page.Records[i]
		}
		if page.Next == "" {
			return first, nil
		}
		after = page.Next
	}
	return first, fmt.Errorf("catalogue has over %d pages", maxPages)
}

// readFromPeers returns the highest catalogue of a few neighbours, or nil.
func (r *Replica) readFromPeers(ctx context.Context) *Snapshot {
	for _, offered := range r.queryPeers(ctx) {
		snap, err := offered.snapshot()
		if err != nil {
			snap, err = r.readWhole(ctx, offered.id)
		}
		if err == nil {
			return snap
		}
		r.refused("catalogue", offered.id, err)
	}
	return nil
}

// peerAnswer is a neighbour's answer to a fetch from an empty catalogue.
type peerAnswer struct {
	id string
	fetchAnswer
}

// snapshot returns the neighbour's catalogue if the answer holds all of it.
func (a peerAnswer) snapshot() (*Snapshot, error) {
	snap, err := emptySnapshot().withChanges(a.Changes)
	if err == nil && snap.revision != a.Revision {
		err = fmt.Errorf("answer ends at revision %d of %d", snap.revision, a.Revision)
	}
	return snap, err
}

// queryPeers queries a few neighbours, and returns their answers by descending
// revision.
func (r *Replica) queryPeers(ctx context.Context) []peerAnswer {
	var answers []peerAnswer
	for _, id := range r.someNeighbours(startNeighbours) {
		if answer, err := r.callFetch(ctx, id, emptySnapshot()); err == nil {
			answers = append(answers, peerAnswer{id, answer})
		}
	}
	slices.SortStableFunc(answers, func(a, b peerAnswer) int { return cmp.Compare(b.Revision, a.Revision) })
	return answers
}

// call calls a peer with the replica's timeout.
func (r *Replica) call(ctx context.Context, id string, topic peer.Topic, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	data, err := r.bus.Call(ctx, id, topic, payload)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, peer.ErrUnreachable
	}
	return data, err
}

// someNeighbours returns up to n random neighbours.
func (r *Replica) someNeighbours(n int) []string {
	ids := r.bus.Neighbours()
	picked := make([]string, 0, n)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.random.Perm(len(ids)) {
		if len(picked) == n {
			break
		}
		picked = append(picked, ids[i])
	}
	return picked
}

// below returns a random time under limit.
func (r *Replica) below(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.Int64N(int64(limit) + 1))
}

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
	// fetchSpreadPerMember is the time, per member of the fleet, over which
	// the fetches of one announced revision are spread.
	fetchSpreadPerMember = 2 * time.Millisecond
	// fetchNeighbours is the number of neighbours that are queried before the
	// announcing instance, so that it does not serve the whole fleet.
	fetchNeighbours = 2
	// startNeighbours is the number of neighbours that a new instance queries;
	// it installs the highest revision among their answers.
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
			r.fetchAnnounced(ctx)
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
	for _, id := range r.randomNeighbours(1) {
		r.fetchFrom(ctx, id)
	}
}

// fetchAnnounced fetches an announced revision, from neighbours if they have it
// by now, else from the instance that announced it.
func (r *Replica) fetchAnnounced(ctx context.Context) {
	if r.Snapshot() == nil {
		r.discardNotice()
		return
	}
	spread := time.Duration(len(r.bus.Members())) * fetchSpreadPerMember
	if !sleep.For(ctx, r.randomBelow(spread)) {
		return
	}
	for _, id := range r.randomNeighbours(fetchNeighbours) {
		if _, behind := r.behind(); !behind {
			return
		}
		r.fetchFrom(ctx, id)
	}
	if from, behind := r.behind(); behind {
		r.fetchFrom(ctx, from)
		r.discardNotice()
	}
}

// fetchFrom fetches a peer's changes after the current revision until there are
// no more or a fetch fails.
func (r *Replica) fetchFrom(ctx context.Context, id string) {
	for {
		before := r.Revision()
		err := r.fetchOnce(ctx, id)
		if err != nil && !errors.Is(err, peer.ErrUnreachable) && ctx.Err() == nil {
			r.reportRejected("fetch", id, err)
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
			r.reportDivergence(id, snap.revision)
		}
		return nil
	case len(answer.Changes) == 0:
		return r.fetchCatalogue(ctx, id)
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
	return decodeFetchAnswer(id, data)
}

// fetchCatalogue installs a peer's whole catalogue.
func (r *Replica) fetchCatalogue(ctx context.Context, id string) error {
	snap, err := r.readCatalogue(ctx, id)
	if err != nil {
		return err
	}
	r.install(snap, sourceFetch)
	return nil
}

// readCatalogue reads a peer's catalogue page by page, and then the changes
// that the peer installed meanwhile.
func (r *Replica) readCatalogue(ctx context.Context, id string) (*Snapshot, error) {
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
		return nil, fmt.Errorf("content of revision %d has digest %s, but its change states %s", rev, got, digest)
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
		page, err := decodePageAnswer(id, data)
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
	return first, fmt.Errorf("catalogue has more than %d pages", maxPages)
}

// readFromPeers returns the catalogue with the highest revision among a few
// neighbours, or nil if none has one.
func (r *Replica) readFromPeers(ctx context.Context) *Snapshot {
	for _, offered := range r.queryPeers(ctx) {
		snap, err := offered.snapshot()
		if err != nil {
			snap, err = r.readCatalogue(ctx, offered.id)
		}
		if err == nil {
			return snap
		}
		r.reportRejected("catalogue", offered.id, err)
	}
	return nil
}

// peerAnswer is a neighbour's answer to a fetch from revision zero.
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

// queryPeers queries a few neighbours and returns their answers in descending
// order of revisions.
func (r *Replica) queryPeers(ctx context.Context) []peerAnswer {
	var answers []peerAnswer
	for _, id := range r.randomNeighbours(startNeighbours) {
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

// randomNeighbours returns up to n random neighbours.
func (r *Replica) randomNeighbours(n int) []string {
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

// randomBelow returns a random duration from zero to limit.
func (r *Replica) randomBelow(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.Int64N(int64(limit) + 1))
}

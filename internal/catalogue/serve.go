package catalogue

import (
	"context"
	"errors"
	"slices"
	"strings"
)

// errNoCatalogue means that an instance has no catalogue to give yet.
var errNoCatalogue = errors.New("no catalogue yet")

// handleOffer takes a broadcast of a new revision.
func (r *Replica) handleOffer(from string, payload []byte) {
	o, err := decodeOffer(payload)
	if err != nil {
		r.refused("offer", from, err)
		return
	}
	if o.Change != nil && r.installChange(from, *o.Change) {
		return
	}
	r.notice(from, o.Revision)
}

// installChange installs a change that follows the present revision.
func (r *Replica) installChange(from string, change Change) bool {
	snap := r.Snapshot()
	if snap == nil || change.Revision != snap.revision+1 {
		return false
	}
	next, err := snap.withChanges([]Change{change})
	if err != nil {
		r.refused("change", from, err)
		return false
	}
	return r.install(next, sourcePush)
}

// handleFetch answers a peer with the changes that it lacks. If the peer has a
// higher revision, this instance fetches it in turn.
func (r *Replica) handleFetch(_ context.Context, from string, payload []byte) ([]byte, error) {
	var req fetchRequest
	if err := decoder.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	snap := r.Snapshot()
	if snap == nil {
		return nil, errNoCatalogue
	}
	if req.Revision > snap.revision {
		r.notice(from, req.Revision)
	}
	if req.Revision == snap.revision && req.Digest != snap.digest {
		r.diverged(from, req.Revision)
	}
	changes, _ := snap.after(req.Revision)
	answer := fetchAnswer{Revision: snap.revision, Digest: snap.digest, Changes: boundChanges(changes)}
	return encode(answer), nil
}

// boundChanges returns the first changes up to maxFetchBytes, and at least one.
func boundChanges(changes []Change) []Change {
	var bounded []Change
	size := 0
	for _, c := range changes {
		c = c.forPeers()
		size += changeSize(c)
		if len(bounded) > 0 && size > maxFetchBytes {
			break
		}
		bounded = append(bounded, c)
	}
	return bounded
}

// changeOverheadBytes is the size of a change or record without its entries.
const changeOverheadBytes = 200

// changeSize estimates the encoded size of a change in bytes.
func changeSize(c Change) int {
	size := changeOverheadBytes + len(c.Message)
	for _, u := range c.Updates {
		size += changeOverheadBytes
		if u.After != nil {
			size += len(u.After.JSON)
		}
	}
	return size
}

// handlePage answers with one page of the whole catalogue.
func (r *Replica) handlePage(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var req pageRequest
	if err := decoder.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	snap := r.Snapshot()
	if snap == nil {
		return nil, errNoCatalogue
	}
	return encode(snap.page(req.After)), nil
}

// page returns the records after a key.
func (s *Snapshot) page(after string) pageAnswer {
	keys := make([]string, 0, len(s.records))
	byName := make(map[string]*Record, len(s.records))
	for key, record := range s.records {
		if name := key.String(); name > after {
			keys = append(keys, name)
			byName[name] = record
		}
	}
	slices.SortFunc(keys, strings.Compare)
	answer := pageAnswer{Revision: s.revision, Digest: s.digest}
	size := 0
	for i, name := range keys {
		size += changeOverheadBytes + len(byName[name].JSON)
		if i > 0 && size > maxPageBytes {
			answer.Next = keys[i-1]
			return answer
		}
		answer.Records = append(answer.Records, Record{Revision: byName[name].Revision, JSON: byName[name].JSON})
	}
	return answer
}

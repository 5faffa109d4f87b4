package catalogue

import (
	"context"
	"errors"
	"slices"
	"strings"
)

// errNoCatalogue is the answer of an instance that has no catalogue yet.
var errNoCatalogue = errors.New("no catalogue yet")

// handleOffer handles the broadcast of a new revision: it installs the change
// if the offer holds the next one, else it records the revision for the fetch
// loop.
func (r *Replica) handleOffer(from string, payload []byte) {
	o, err := decodeOffer(from, payload)
	if err != nil {
		r.reportRejected("offer", from, err)
		return
	}
	if o.Change != nil && r.installChange(from, *o.Change) {
		return
	}
	r.recordNotice(from, o.Revision)
}

// installChange installs a change if it directly follows the current revision.
func (r *Replica) installChange(from string, change Change) bool {
	snap := r.Snapshot()
	if snap == nil || change.Revision != snap.revision+1 {
		return false
	}
	next, err := snap.withChanges([]Change{change})
	if err != nil {
		r.reportRejected("change", from, err)
		return false
	}
	return r.install(next, sourcePush)
}

// handleFetch answers with the changes after the peer's revision. If the peer
// has a higher revision, this instance fetches it in turn.
func (r *Replica) handleFetch(_ context.Context, from string, payload []byte) ([]byte, error) {
	var req fetchRequest
	if err := decoder.Unmarshal(payload, &req, from); err != nil {
		return nil, err
	}
	snap := r.Snapshot()
	if snap == nil {
		return nil, errNoCatalogue
	}
	if req.Revision > snap.revision {
		r.recordNotice(from, req.Revision)
	}
	if req.Revision == snap.revision && req.Digest != snap.digest {
		r.reportDivergence(from, req.Revision)
	}
	changes, _ := snap.changesAfter(req.Revision)
	answer := fetchAnswer{Revision: snap.revision, Digest: snap.digest, Changes: firstChanges(changes)}
	return encode(answer), nil
}

// firstChanges returns the first changes up to maxFetchBytes in total, but at
// least one.
func firstChanges(changes []Change) []Change {
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

// changeOverheadBytes is the estimated encoded size of a change, update or
// record without its entry.
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
func (r *Replica) handlePage(_ context.Context, from string, payload []byte) ([]byte, error) {
	var req pageRequest
	if err := decoder.Unmarshal(payload, &req, from); err != nil {
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

package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Snapshot is the whole catalogue at one revision. It is immutable and safe for
// concurrent use; requests read its maps without locks.
type Snapshot struct {
	revision Revision
	digest   Digest
	records  map[Key]*Record
	// recent holds the last changes, at most maxRecentChanges, in ascending
	// order.
	recent []Change

	entries             map[Kind][]*Entry
	workspaceByKeyHash  map[string]*Entry
	operatorByTokenHash map[string]*Entry
	upstreamsByModel    map[string][]*Entry
	policy              PolicySpec
}

// maxRecentChanges is the number of changes that a snapshot keeps, so that
// peers can fetch changes instead of the whole catalogue.
const maxRecentChanges = 256

// defaultPolicy applies while the catalogue has no policy entry.
var defaultPolicy = PolicySpec{ShortWeight: 0.5, ShortTokens: 4096, Algorithm: algorithmBanyan}

// withDefaults fills in the fields that a policy entry omits.
func (p PolicySpec) withDefaults() PolicySpec {
	if p.ShortTokens == 0 {
		p.ShortTokens = defaultPolicy.ShortTokens
	}
	if p.Algorithm == "" {
		p.Algorithm = defaultPolicy.Algorithm
	}
	return p
}

// emptySnapshot is the catalogue before the first edit.
func emptySnapshot() *Snapshot { return newSnapshot(0, 0, map[Key]*Record{}, nil) }

// newSnapshot builds the lookup maps. The caller must not modify records or
// recent afterwards.
func newSnapshot(rev Revision, digest Digest, records map[Key]*Record, recent []Change) *Snapshot {
	s := &Snapshot{
		revision:            rev,
		digest:              digest,
		records:             records,
		recent:              recent,
		entries:             map[Kind][]*Entry{},
		workspaceByKeyHash:  map[string]*Entry{},
		operatorByTokenHash: map[string]*Entry{},
		upstreamsByModel:    map[string][]*Entry{},
		policy:              defaultPolicy,
	}
	for _, r := range records {
		s.entries[r.Entry.Kind] = append(s.entries[r.Entry.Kind], r.Entry)
	}
	for _, list := range s.entries {
		slices.SortFunc(list, func(a, b *Entry) int { return strings.Compare(a.Name, b.Name) })
	}
	s.index()
	return s
}

// index fills the lookup maps from the sorted entries.
func (s *Snapshot) index() {
	for _, e := range s.entries[KindWorkspace] {
		for _, hash := range e.Workspace.KeySHA256 {
			s.workspaceByKeyHash[hash] = e
		}
	}
	for _, e := range s.entries[KindOperator] {
		s.operatorByTokenHash[e.Operator.TokenSHA256] = e
	}
	for _, e := range s.entries[KindUpstream] {
		for _, model := range e.Upstream.Models {
			s.upstreamsByModel[model] = append(s.upstreamsByModel[model], e)
		}
	}
	if e := s.Entry(Key{KindPolicy, policyName}); e != nil {
		s.policy = e.Policy.withDefaults()
	}
}

// Revision returns the revision of the snapshot.
func (s *Snapshot) Revision() Revision { return s.revision }

// Digest returns the digest of the snapshot's content.
func (s *Snapshot) Digest() Digest { return s.digest }

// Len returns the number of entries.
func (s *Snapshot) Len() int { return len(s.records) }

// Entry returns an entry, or nil.
func (s *Snapshot) Entry(key Key) *Entry {
	if r := s.records[key]; r != nil {
		return r.Entry
	}
	return nil
}

// EntryRevision returns the revision that last changed an entry, or zero.
func (s *Snapshot) EntryRevision(key Key) Revision {
	if r := s.records[key]; r != nil {
		return r.Revision
	}
	return 0
}

// Entries returns the entries of a kind in ascending order of names. The slice
// must not be modified.
func (s *Snapshot) Entries(kind Kind) []*Entry { return s.entries[kind] }

// Workspace returns a workspace entry, or nil.
func (s *Snapshot) Workspace(name string) *Entry { return s.Entry(Key{KindWorkspace, name}) }

// Model returns a model entry, or nil.
func (s *Snapshot) Model(name string) *Entry { return s.Entry(Key{KindModel, name}) }

// Service returns a service entry, or nil.
func (s *Snapshot) Service(name string) *Entry { return s.Entry(Key{KindService, name}) }

// Upstream returns an upstream entry, or nil.
func (s *Snapshot) Upstream(name string) *Entry { return s.Entry(Key{KindUpstream, name}) }

// WorkspaceByKeyHash returns the workspace with the hex SHA-256 of a caller's
// key, or nil.
func (s *Snapshot) WorkspaceByKeyHash(hash string) *Entry { return s.workspaceByKeyHash[hash] }

// OperatorByTokenHash returns the operator with the hex SHA-256 of a token, or
// nil.
func (s *Snapshot) OperatorByTokenHash(hash string) *Entry { return s.operatorByTokenHash[hash] }

// UpstreamsOfModel returns the engines that may serve a model, in ascending
// order of names. The slice must not be modified.
func (s *Snapshot) UpstreamsOfModel(model string) []*Entry { return s.upstreamsByModel[model] }

// Policy returns the policy entry's specification, or the default.
func (s *Snapshot) Policy() PolicySpec { return s.policy }

// Allows reports whether a workspace's list of models or services contains name
// or "*".
func Allows(names []string, name string) bool {
	return slices.Contains(names, All) || slices.Contains(names, name)
}

// changesAfter returns the recent changes after a revision, and false if the
// snapshot does not hold all of them.
func (s *Snapshot) changesAfter(rev Revision) ([]Change, bool) {
	if rev >= s.revision {
		return nil, rev == s.revision
	}
	missing := uint64(s.revision - rev)
	if missing > uint64(len(s.recent)) {
		return nil, false
	}
	return s.recent[uint64(len(s.recent))-missing:], true
}

// withChanges returns the snapshot after consecutive changes. It fails if the
// content after a change does not have the digest that the change states.
func (s *Snapshot) withChanges(changes []Change) (*Snapshot, error) {
	if len(changes) == 0 {
		return s, nil
	}
	records := maps.Clone(s.records)
	digest, rev := s.digest, s.revision
	for i := range changes {
		c := &changes[i]
		if c.Revision != rev+1 {
			return nil, fmt.Errorf("change %d does not follow revision %d", c.Revision, rev)
		}
		digest ^= applyUpdates(records, c.Updates)
		if digest != c.Digest {
			return nil, fmt.Errorf("content of revision %d has digest %s, but its change states %s", c.Revision, digest, c.Digest)
		}
		rev = c.Revision
	}
	return newSnapshot(rev, digest, records, appendRecent(s.recent, changes)), nil
}

// applyUpdates applies updates to records and returns the XOR difference of the
// digest.
func applyUpdates(records map[Key]*Record, updates []Update) Digest {
	var diff Digest
	for _, u := range updates {
		if old := records[u.Key]; old != nil {
			diff ^= old.checksum()
			delete(records, u.Key)
		}
		if u.After != nil {
			diff ^= u.After.checksum()
			records[u.Key] = u.After
		}
	}
	return diff
}

// appendRecent appends changes and drops the oldest beyond maxRecentChanges.
func appendRecent(recent, changes []Change) []Change {
	all := append(slices.Clone(recent), changes...)
	return all[max(0, len(all)-maxRecentChanges):]
}

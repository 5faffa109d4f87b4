package catalogue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// naive is a reference implementation of the catalogue: a list of entries, in
// which lookups compare every entry.
type naive []Entry

func (n naive) find(match func(*Entry) bool) []string {
	var names []string
	for i := range n {
		if match(&n[i]) {
			names = append(names, n[i].Key().String())
		}
	}
	slices.Sort(names)
	return names
}

func namesOf(entries ...*Entry) []string {
	var names []string
	for _, e := range entries {
		if e != nil {
			names = append(names, e.Key().String())
		}
	}
	return names
}

// apply puts and deletes entries.
func (n naive) apply(edit Edit) naive {
	keys := edit.keys()
	kept := slices.DeleteFunc(slices.Clone(n), func(e Entry) bool { return keys[e.Key()] })
	return append(kept, edit.Puts...)
}

var drawNaiveEdit = rapid.Custom(func(rt *rapid.T) Edit {
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	var edit Edit
	for range rapid.IntRange(1, 3).Draw(rt, "entries") {
		e := model(names.Draw(rt, "name"), names.Draw(rt, "version"))
		switch rapid.IntRange(0, 2).Draw(rt, "kind") {
		case 0:
			e = workspace(e.Name, "o", rapid.IntRange(0, 9).Draw(rt, "limit"))
		case 1:
			e = Entry{Kind: KindUpstream, Name: e.Name, Owner: "o", Upstream: &UpstreamSpec{URL: "http://" + e.Name, DataCentre: "d",
				Models: rapid.SliceOfNDistinct(names, 1, 3, rapid.ID).Draw(rt, "models")}}
		}
		switch {
		case edit.keys()[e.Key()]:
		case rapid.Bool().Draw(rt, "delete"):
			edit.Deletes = append(edit.Deletes, e.Key())
		default:
			edit.Puts = append(edit.Puts, e)
		}
	}
	return edit
})

// TestSnapshotAgreesWithNaive checks that lookups give the same entries in a
// snapshot that was edited, in one that received the changes only, and in the
// reference implementation.
func TestSnapshotAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		snap, follower, list := emptySnapshot(), emptySnapshot(), naive{}
		for _, edit := range rapid.SliceOfN(drawNaiveEdit, 1, 20).Draw(rt, "edits") {
			edit.By = admin
			next, change, err := prepare(&edit, snap, testTime)
			if err != nil {
				continue // breaks a reference, or deletes an entry that does not exist
			}
			snap, list = next, list.apply(edit)
			if follower, err = follower.withChanges([]Change{change.forPeers()}); err != nil {
				rt.Fatal(err)
			}
		}
		for _, s := range []*Snapshot{snap, follower} {
			checkNaive(rt, s, list)
		}
	})
}

func checkNaive(rt *rapid.T, s *Snapshot, list naive) {
	same := func(what string, got, want []string) {
		if !slices.Equal(got, want) {
			rt.Fatalf("%s: got %v, want %v", what, got, want)
		}
	}
	if s.digest != digestOf(s.records) || s.Len() != len(list) {
		rt.Fatalf("%d entries with digest %s; want %d with %s", s.Len(), s.digest, len(list), digestOf(s.records))
	}
	for _, name := range []string{"a", "b", "c"} {
		same("model", namesOf(s.Model(name)), list.find(func(e *Entry) bool { return e.Model != nil && e.Name == name }))
		same("key", namesOf(s.WorkspaceByKeyHash(hashOf(name))), list.find(func(e *Entry) bool { return e.Workspace != nil && e.Workspace.KeySHA256[0] == hashOf(name) }))
		same("upstreams", namesOf(s.UpstreamsOfModel(name)...), list.find(func(e *Entry) bool { return e.Upstream != nil && slices.Contains(e.Upstream.Models, name) }))
	}
}

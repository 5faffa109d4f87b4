package catalogue

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
)

const fuzzEntries = `kind: workspace
name: alpha
owner: a
class: batch
limits: {concurrent: 5, timeout: 30s}
workspace: {key_sha256: ["00"], models: [m]}
---
- kind: service
  name: s
  owner: a
  service: {routes: [{method: POST, prefix: /x, idempotent: false}]}
- {"kind": "upstream", "name": "u", "owner": "a", "upstream": {"url": "http://127.0.0.1:1", "data_centre": "d", "service": "s"}}
`

// FuzzDecode checks that accepted entries are the same after they have been
// stored and read, and that each error names a field.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(fuzzEntries))
	f.Add([]byte("kind: policy\nname: default\nowner: o\npolicy: {short_weight: .nan}\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("- &x {kind: model}\n- *x\n- {<<: *x}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		src, err := Decode("x.yaml", data)
		if err != nil {
			var fields FieldErrors
			if !errors.As(err, &fields) || len(fields) == 0 || fields[0].Field == "" {
				t.Fatalf("error without a field: %v", err)
			}
			return
		}
		for i := range src.Entries {
			record, err := newRecord(1, src.Entries[i])
			if err != nil {
				t.Fatal(err)
			}
			again := Record{Revision: 1, JSON: record.JSON}
			if err := again.decode(); err != nil {
				t.Fatal(err)
			}
			text, err := json.Marshal(again.Entry)
			if err != nil || string(text) != string(record.JSON) {
				t.Fatalf("stored as %s, read as %s, %v", record.JSON, text, err)
			}
		}
	})
}

// FuzzMessages checks that no message from a peer makes an instance panic,
// install a lower revision, or hold content without the stated digest.
func FuzzMessages(f *testing.F) {
	first := mustChange(f, emptySnapshot(), Edit{ID: "1", Puts: []Entry{model("m", "v1")}})
	base, err := emptySnapshot().withChanges([]Change{first})
	if err != nil {
		f.Fatal(err)
	}
	second := mustChange(f, base, Edit{ID: "2", Puts: []Entry{model("m", "v2"), model("n", "v1")}})
	f.Add(encode(offer{Revision: 2, Digest: second.Digest, Change: &second}))
	f.Add(encode(fetchAnswer{Revision: 2, Digest: second.Digest, Changes: []Change{first.forPeers(), second.forPeers()}}))
	f.Add(encode(base.page("")))
	f.Add(encode(fetchRequest{Revision: 1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReplica(NewStore(nil), peertest.NewNet(0).Join(peer.Member{ID: "i"}), Options{Seed: 1})
		r.current.Store(base)
		r.handleOffer("p", data)
		if answer, err := decodeFetchAnswer("peer", data); err == nil {
			if next, err := r.Snapshot().withChanges(answer.Changes); err == nil {
				r.install(next, sourceFetch)
			}
		}
		decodePageAnswer("peer", data)
		r.handleFetch(t.Context(), "p", data)
		r.handlePage(t.Context(), "p", data)
		snap := r.Snapshot()
		if snap.revision < base.revision || snap.digest != digestOf(snap.records) {
			t.Fatalf("revision %d with digest %s, content %s", snap.revision, snap.digest, digestOf(snap.records))
		}
	})
}

// mustChange returns the change that an edit of a snapshot becomes.
func mustChange(tb testing.TB, snap *Snapshot, edit Edit) Change {
	tb.Helper()
	edit.By = admin
	_, change, err := prepare(&edit, snap, testTime)
	if err != nil {
		tb.Fatal(err)
	}
	return change
}

package catalogue

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// targetEntries returns n entries in the proportions of the target fleet: 29
// models, and then 11 workspaces to 8 upstreams.
func targetEntries(n int) []Entry {
	const models = 29
	var entries []Entry
	for i := range min(n, models) {
		entries = append(entries, model(fmt.Sprintf("model-%d", i), "v1"))
	}
	for i := len(entries); i < n; i++ {
		if i%19 < 11 {
			entries = append(entries, workspace(fmt.Sprintf("workspace-%d", i), "owner", 10))
			continue
		}
		entries = append(entries, Entry{Kind: KindUpstream, Name: fmt.Sprintf("engine-%d", i), Owner: "owner", Upstream: &UpstreamSpec{
			URL: fmt.Sprintf("http://10.0.0.1:%d", i), DataCentre: "palermo", Models: []string{fmt.Sprintf("model-%d", i%models)}, MemoryTokens: 500_000,
		}})
	}
	return entries
}

func targetSnapshot(tb testing.TB, n int) *Snapshot {
	records := map[Key]*Record{}
	for _, e := range targetEntries(n) {
		record, err := newRecord(1, e)
		if err != nil {
			tb.Fatal(err)
		}
		records[e.Key()] = record
	}
	return newSnapshot(1, digestOf(records), records, nil)
}

// sizes are the numbers of entries at which the benchmarks run, to show how
// costs grow.
var sizes = []int{500, 1000, 2000, 4000}

func perSize(b *testing.B, run func(b *testing.B, snap *Snapshot)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			snap := targetSnapshot(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, snap)
		})
	}
}

func BenchmarkEditValidation(b *testing.B) {
	perSize(b, func(b *testing.B, snap *Snapshot) {
		edit := Edit{ID: "x", By: admin, Puts: []Entry{workspace("workspace-40", "owner", 11)}}
		for b.Loop() {
			if _, _, err := prepare(&edit, snap, testTime); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkInstall(b *testing.B) {
	perSize(b, func(b *testing.B, snap *Snapshot) {
		change := mustChange(b, snap, Edit{ID: "x", Puts: []Entry{workspace("workspace-40", "owner", 11)}})
		for b.Loop() {
			if _, err := snap.withChanges([]Change{change}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkSnapshotMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var snap *Snapshot
			for b.Loop() {
				snap = targetSnapshot(b, n)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "KiB")
			runtime.KeepAlive(snap)
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	perSize(b, func(b *testing.B, snap *Snapshot) {
		hash := hashOf("workspace-40")
		for b.Loop() {
			if snap.WorkspaceByKeyHash(hash) == nil {
				b.Fatal("no workspace")
			}
		}
	})
}

// merkle is a tree of checksums over buckets of records, as an alternative to
// the XOR digest.
type merkle struct {
	nodes []Digest
}

const merkleLeaves = 256

func newMerkle(records map[Key]*Record) *merkle {
	m := &merkle{nodes: make([]Digest, 2*merkleLeaves)}
	for key, r := range records {
		m.nodes[m.leaf(key)] ^= r.checksum()
	}
	for i := merkleLeaves - 1; i > 0; i-- {
		m.rehash(i)
	}
	return m
}

func (m *merkle) leaf(key Key) int {
	return merkleLeaves + int(xxhash.Sum64String(key.String())%merkleLeaves)
}

func (m *merkle) rehash(i int) {
	m.nodes[i] = Digest(xxhash.Sum64String(m.nodes[2*i].String() + m.nodes[2*i+1].String()))
}

func (m *merkle) update(key Key, diff Digest) {
	i := m.leaf(key)
	m.nodes[i] ^= diff
	for i /= 2; i > 0; i /= 2 {
		m.rehash(i)
	}
}

// wholeBytes returns the encoded size of all pages of a snapshot in bytes.
func wholeBytes(snap *Snapshot) int {
	whole := 0
	for at := ""; ; {
		page := snap.page(at)
		whole += len(encode(page))
		if at = page.Next; at == "" {
			return whole
		}
	}
}

// BenchmarkDigest compares ways to find out whether two instances have the same
// content: the time to update the digest after one change, and the payload of
// an exchange with a peer that has the same content ("B/equal"), is one change
// behind ("B/one-behind"), or is more changes behind than a snapshot keeps
// ("B/far-behind").
func BenchmarkDigest(b *testing.B) {
	const entries = 2000
	const digestBytes, revisionBytes = 8, 8
	snap := targetSnapshot(b, entries)
	key := Key{KindWorkspace, "workspace-40"}
	change := mustChange(b, snap, Edit{ID: "x", Puts: []Entry{workspace(key.Name, "owner", 11)}})
	before, after := change.Updates[0].Before, change.Updates[0].After
	delta := len(encode(change.forPeers()))
	whole := wholeBytes(snap)
	report := func(b *testing.B, equal, one, far int) {
		b.ReportMetric(float64(equal), "B/equal")
		b.ReportMetric(float64(one), "B/one-behind")
		b.ReportMetric(float64(far), "B/far-behind")
	}
	b.Run("revision", func(b *testing.B) {
		rev := Revision(0)
		for b.Loop() {
			rev++
		}
		report(b, revisionBytes, revisionBytes+delta, revisionBytes+whole)
	})
	b.Run("full-send", func(b *testing.B) {
		for b.Loop() {
			encode(snap.page(""))
		}
		report(b, whole, whole, whole)
	})
	b.Run("xor", func(b *testing.B) {
		d := snap.digest
		for b.Loop() {
			d ^= before.checksum() ^ after.checksum()
		}
		report(b, revisionBytes+digestBytes, revisionBytes+digestBytes+delta, revisionBytes+digestBytes+whole)
	})
	b.Run("xor-from-scratch", func(b *testing.B) {
		for b.Loop() {
			digestOf(snap.records)
		}
		report(b, digestBytes, digestBytes+delta, digestBytes+whole)
	})
	b.Run("merkle", func(b *testing.B) {
		m := newMerkle(snap.records)
		for b.Loop() {
			m.update(key, before.checksum()^after.checksum())
		}
		const levels, children = 8, 2
		perLeaf := whole / merkleLeaves
		// 257 changes of random entries touch 63% of the leaves.
		const touched = 0.634
		report(b, digestBytes, levels*children*digestBytes+perLeaf, 2*merkleLeaves*digestBytes+int(touched*float64(whole)))
	})
}

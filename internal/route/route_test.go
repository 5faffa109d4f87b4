package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func fleet(n int) View {
	v := make(View, n)
	for i := range v {
		v[i] = &Candidate{ID: fmt.Sprintf("e%d", i), DataCentre: "d", FreeTokens: 400_000, MemoryTokens: 400_000, Rate: 20_000, Share: 1}
	}
	return v
}

func short() *Demand {
	return &Demand{PromptTokens: 2000, OutputTokens: 200, DataCentre: "d", MaxQueuedSeconds: 1}
}

// TestAffinityIsBoundedByLoad checks that an upstream which caches a prefix is
// picked only while its queue costs less than the cache saves.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	v := fleet(2)
	d := short()
	d.Holders = []Holder{{Candidate: v[0], Tokens: 1536}}
	random := rand.New(rand.NewPCG(1, 1))
	v[0].Work[0] = 1000
	if got := (Sample{Choices: 2}).Pick(v, d, DefaultFilter, LeastWork, random); got != v[0] {
		t.Errorf("a cached prefix that saves more than the queue costs must win, got %s", got.ID)
	}
	v[0].Work[0] = 4000
	if got := (Sample{Choices: 2}).Pick(v, d, DefaultFilter, LeastWork, random); got != v[1] {
		t.Errorf("a queue longer than the saving must lose, got %s", got.ID)
	}
}

// TestLongRequestsLeaveShortCapacity checks that a long request uses neither
// short-only upstreams nor the memory reserved for short requests until it is
// aged.
func TestLongRequestsLeaveShortCapacity(t *testing.T) {
	v := fleet(2)
	v[0].ShortOnly = true
	v[1].Streams, v[1].FreeTokens = 1, 150_000
	d := &Demand{PromptTokens: 100_000, Size: SizeLong, MaxQueuedSeconds: 1, ShortReserve: 0.2}
	random := rand.New(rand.NewPCG(1, 1))
	if got := (Best{}).Pick(v, d, DefaultFilter, LeastWork, random); got != nil {
		t.Errorf("got %s, want none: only 50k of 400k tokens would stay free, the reserve is 80k", got.ID)
	}
	d.Aged = true
	if got := (Best{}).Pick(v, d, DefaultFilter, LeastWork, random); got != v[0] {
		t.Errorf("an aged long request must get the short-only upstream, which has enough memory")
	}
}

// TestPickersReturnPassingCandidate checks on random views that each picker returns
// a candidate that passes the filter whenever there is one, and nil otherwise.
func TestPickersReturnPassingCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(rapid.IntRange(1, 40).Draw(t, "n"))
		any := false
		d := short()
		for _, c := range v {
			c.Share = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "share")
			c.Work[0] = rapid.Float64Range(0, 40_000).Draw(t, "work")
			c.FreeTokens = rapid.IntRange(0, 8000).Draw(t, "free")
			c.Exclusive = rapid.Bool().Draw(t, "exclusive")
			any = any || DefaultFilter(c, d)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for _, p := range []Picker{Best{}, Sample{Choices: 2}, RoundRobin{Turn: 3}} {
			got := p.Pick(v, d, DefaultFilter, LeastWork, random)
			if (got != nil) != any || (got != nil && !DefaultFilter(got, d)) {
				t.Fatalf("%T: got %+v, whether any candidate passes the filter: %v", p, got, any)
			}
		}
	})
}

func benchmarkPick(b *testing.B, n int, p Picker) {
	v := fleet(n)
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range v {
		c.Work[0] = float64(random.IntN(10_000))
	}
	d := short()
	d.Holders = []Holder{{Candidate: v[0], Tokens: 1024}, {Candidate: v[n/2], Tokens: 512}}
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(v, d, DefaultFilter, LeastWork, random)
	}
}

func BenchmarkBest25(b *testing.B)    { benchmarkPick(b, 25, Best{}) }
func BenchmarkBest800(b *testing.B)   { benchmarkPick(b, 800, Best{}) }
func BenchmarkSample25(b *testing.B)  { benchmarkPick(b, 25, Sample{Choices: 16}) }
func BenchmarkSample800(b *testing.B) { benchmarkPick(b, 800, Sample{Choices: 16}) }

// BenchmarkBlocked800 measures a decision that finds no upstream, because all are
// full.
func BenchmarkBlocked800(b *testing.B) {
	v := fleet(800)
	for _, c := range v {
		c.Work[SizeShort] = 1e6
	}
	random := rand.New(rand.NewPCG(1, 1))
	d := short()
	b.ReportAllocs()
	for b.Loop() {
		Sample{Choices: 16}.Pick(v, d, DefaultFilter, LeastWork, random)
	}
}

package member

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

const (
	// windowBits is the number of recent broadcasts of one origin that are
	// told apart; older ones count as duplicates.
	windowBits = 1024
	// maxOrigins bounds the number of windows.
	maxOrigins = 4096
	// originRate and originBurst bound the broadcasts per second of one
	// origin that an instance handles and forwards.
	originRate  = 50
	originBurst = 500
)

// window remembers which recent sequence numbers of an origin were seen.
type window struct {
	incarnation uint64
	highest     uint64
	bits        [windowBits / 64]uint64
	limit       *rate.Limiter
}

// add notes seq and states whether it is new.
func (w *window) add(seq uint64) bool {
	if seq+windowBits <= w.highest {
		return false
	}
	if seq > w.highest {
		w.advance(seq)
	}
	slot, bit := (seq/64)%uint64(len(w.bits)), uint64(1)<<(seq%64)
	if w.bits[slot]&bit != 0 {
		return false
	}
	w.bits[slot] |= bit
	return true
}

// advance moves the window's end to seq and clears the numbers in between.
func (w *window) advance(seq uint64) {
	if seq-w.highest >= windowBits {
		w.bits = [windowBits / 64]uint64{}
		w.highest = seq
		return
	}
	for n := w.highest + 1; n <= seq; n++ {
		w.bits[(n/64)%uint64(len(w.bits))] &^= 1 << (n % 64)
	}
	w.highest = seq
}

// filter suppresses duplicate broadcasts in bounded memory.
type filter struct {
	mu      sync.Mutex
	windows *lru.Cache[string, *window]
}

func newFilter() *filter {
	windows, err := lru.New[string, *window](maxOrigins)
	if err != nil {
		panic(err) // the size is a constant
	}
	return &filter{windows: windows}
}

// verdict is what the filter says about a broadcast.
type verdict int

const (
	fresh verdict = iota
	duplicate
	overRate
)

func (f *filter) check(b *broadcast) verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.windows.Get(b.Origin)
	if !ok || b.Incarnation > w.incarnation {
		w = &window{incarnation: b.Incarnation, limit: rate.NewLimiter(originRate, originBurst)}
		f.windows.Add(b.Origin, w)
	}
	if b.Incarnation < w.incarnation || !w.add(b.Seq) {
		return duplicate
	}
	if !w.limit.Allow() {
		return overRate
	}
	return fresh
}

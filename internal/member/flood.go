package member

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
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
	// recentFrames is the number of broadcasts kept for instances that missed
	// them, recentFrameBytes the size above which one is not kept.
	recentFrames     = 512
	recentFrameBytes = 4 << 10
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

// filter suppresses duplicate broadcasts in bounded memory, and keeps recent
// ones for those that missed them.
type filter struct {
	mu      sync.Mutex
	windows *lru.Cache[string, *window]
	// recent maps to the frame, or to nil if it was too large to keep.
	recent *lru.Cache[broadcastKey, []byte]
}

func newFilter() *filter {
	windows, err := lru.New[string, *window](maxOrigins)
	if err != nil {
		panic(err) // the size is a constant
	}
	recent, err := lru.New[broadcastKey, []byte](recentFrames)
	if err != nil {
		panic(err)
	}
	return &filter{windows: windows, recent: recent}
}

// key returns a hash that identifies the broadcast.
func (b *broadcast) key() broadcastKey {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[0:], b.Incarnation)
	binary.LittleEndian.PutUint64(numbers[8:], b.Seq)
	d := xxhash.New()
	_, _ = d.WriteString(b.Origin)
	_, _ = d.Write(numbers[:])
	return broadcastKey(d.Sum64())
}

// verdict is what the filter says about a broadcast.
type verdict int

const (
	fresh verdict = iota
	duplicate
	overRate
)

// check classifies a broadcast and keeps a fresh one.
func (f *filter) check(b *broadcast, frame []byte) verdict {
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
	if len(frame) > recentFrameBytes {
		frame = nil
	}
	f.recent.Add(b.key(), frame)
	return fresh
}

// missing returns the announced broadcasts that were not received.
func (f *filter) missing(announced []broadcastKey) []broadcastKey {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []broadcastKey
	for _, key := range announced {
		if !f.recent.Contains(key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// frames returns the kept frames of keys.
func (f *filter) frames(keys []broadcastKey) [][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var frames [][]byte
	for _, key := range keys {
		if frame, ok := f.recent.Get(key); ok && frame != nil {
			frames = append(frames, frame)
		}
	}
	return frames
}

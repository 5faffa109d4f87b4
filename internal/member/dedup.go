package member

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

const (
	// windowBits is the number of recent sequence numbers of one origin that
	// are tracked; a broadcast with an older one counts as a duplicate.
	windowBits = 1024
	// maxOrigins bounds the number of origins that are tracked.
	maxOrigins = 4096
	// maxBroadcastsPerSecond and maxBroadcastBurst limit the broadcasts of one
	// origin that an instance handles and forwards.
	maxBroadcastsPerSecond = 50
	maxBroadcastBurst      = 500
	// maxRecentFrames bounds the broadcasts that are kept for instances that
	// missed them; a frame above maxRecentFrameBytes is not kept.
	maxRecentFrames     = 512
	maxRecentFrameBytes = 4 << 10
)

// window tracks which recent sequence numbers of an origin were seen.
type window struct {
	incarnation uint64
	highest     uint64
	bits        [windowBits / 64]uint64
	limiter     *rate.Limiter
}

// add marks seq as seen and reports whether it is new.
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
// ones for peers that missed them.
type filter struct {
	mu      sync.Mutex
	windows *lru.Cache[string, *window]
	// recent holds the frames of recent broadcasts; nil for a frame that was
	// too large to keep.
	recent *lru.Cache[broadcastKey, []byte]
}

func newFilter() *filter {
	windows, err := lru.New[string, *window](maxOrigins)
	if err != nil {
		panic(err) // the size is a constant
	}
	recent, err := lru.New[broadcastKey, []byte](maxRecentFrames)
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

// broadcastClass is the filter's classification of a broadcast.
type broadcastClass int

const (
	classNew broadcastClass = iota
	classDuplicate
	classOverRate
)

// check classifies a broadcast and keeps the frame of a new one.
func (f *filter) check(b *broadcast, frame []byte) broadcastClass {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.windows.Get(b.Origin)
	if !ok || b.Incarnation > w.incarnation {
		w = &window{incarnation: b.Incarnation, limiter: rate.NewLimiter(maxBroadcastsPerSecond, maxBroadcastBurst)}
		f.windows.Add(b.Origin, w)
	}
	if b.Incarnation < w.incarnation || !w.add(b.Seq) {
		return classDuplicate
	}
	if !w.limiter.Allow() {
		return classOverRate
	}
	if len(frame) > maxRecentFrameBytes {
		frame = nil
	}
	f.recent.Add(b.key(), frame)
	return classNew
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

// frames returns the frames of keys that are still kept.
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

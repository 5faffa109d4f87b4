package platformd

import "time"

// weightStore grants downloads one after another at a fixed rate.
type weightStore struct {
	// sizes holds the size in bytes by "MODEL/VERSION".
	sizes map[string]int64
	// defaultSize is the size of a version that sizes lacks; 0 means that
	// such a version does not exist.
	defaultSize int64
	// rate is in bytes per second.
	rate int64
	// busyUntil is when the downloads granted so far are over.
	busyUntil time.Time
}

// grant starts a download. It returns the size, or how long to wait before
// asking again. A size of zero means that there is no such version.
func (s *weightStore) grant(now time.Time, name string) (size int64, wait time.Duration) {
	size, ok := s.sizes[name]
	if !ok {
		size = s.defaultSize
	}
	if size == 0 {
		return 0, 0
	}
	if wait := s.busyUntil.Sub(now); wait > 0 {
		return size, wait
	}
	if s.rate > 0 {
		s.busyUntil = now.Add(time.Duration(float64(size) / float64(s.rate) * float64(time.Second)))
	}
	return size, 0
}

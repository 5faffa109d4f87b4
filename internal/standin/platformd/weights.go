package platformd

import "time"

// weightStore grants one download of model weights at a time, at a limited rate.
type weightStore struct {
	// sizes holds the sizes in bytes by "MODEL/VERSION".
	sizes map[string]int64
	// defaultSize is the size of versions that are not in sizes; 0 means that
	// such a version does not exist.
	defaultSize int64
	// rate is in bytes per second; 0 means no limit.
	rate int64
	// busyUntil is when the download in progress ends.
	busyUntil time.Time
}

// grant starts a download and returns its size. If another download is in
// progress, it returns how long to wait before a retry. A size of zero means that
// the version does not exist.
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

package bodies

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Rules for bodies that lose their memory when there is none for others.
const (
	// slowBytesPerSecond is the pace below which a body counts as slow; an ordinary body of the configured
	// 4 MiB arrives at more than that within any request's time.
	slowBytesPerSecond = 16 << 10
	// stalledAfter is the time without a byte after which a body counts as slow. It is longer than a
	// retransmission on an ordinary path.
	stalledAfter = 300 * time.Millisecond
	// reclaimTimeout is how long a body waits for memory that slow ones are about to return, and
	// reclaimInterval the time between two looks.
	reclaimTimeout  = 250 * time.Millisecond
	reclaimInterval = 2 * time.Millisecond
	// spareDivisor is the part of a budget, as a divisor, that the largest bodies leave free, and those that
	// grow piece by piece. Without it they leave no room for a small one.
	spareDivisor = 8
)

var slowBodiesStopped = metrics.GetOrCreateCounter(`banyanroute_slow_bodies_stopped_total`)

// Receipt is a body that is being received. If memory is needed for others, and it arrives slowly, it is
// stopped.
type Receipt struct {
	budget *Budget
	stop   func()

	mu        sync.Mutex
	began     time.Time
	last      time.Time
	bytes     int64
	held      int64
	isEnded   bool
	isStopped bool
}

// Receive returns a Receipt; its owner calls End when the body has arrived or not. stop makes the next
// read of the body fail; it must not block.
func (b *Budget) Receive(stop func()) *Receipt {
	now := time.Now()
	r := &Receipt{budget: b, stop: stop, began: now, last: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.receiving == nil {
		b.receiving = map[*Receipt]bool{}
	}
	b.receiving[r] = true
	return r
}

// Reserve reserves n bytes for a body whose size is known. If fewer are free it stops slow bodies and waits
// shortly for their memory. The more a body takes the more it leaves free for others.
func (r *Receipt) Reserve(n int64) bool { return r.reserve(n, min(n, r.budget.limit/spareDivisor)) }

// grow is Reserve for a body of unknown size, which may become large.
func (r *Receipt) grow(n int64) bool { return r.reserve(n, r.budget.limit/spareDivisor) }

func (r *Receipt) reserve(n, spare int64) bool {
	if !r.budget.reserveLeaving(n, spare) && !r.budget.reserveReclaimed(n, spare) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += n
	return true
}

// Reader returns a reader of the body from which the Receipt learns of its progress.
func (r *Receipt) Reader(body io.Reader) io.Reader { return receiptReader{body, r} }

// End ends the receipt and reports whether the body was stopped.
func (r *Receipt) End() (stopped bool) {
	r.budget.mu.Lock()
	delete(r.budget.receiving, r)
	r.budget.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnded = true
	return r.isStopped
}

// reclaimable returns the bytes that the body holds if it may be stopped.
func (r *Receipt) reclaimable(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := now.Sub(r.began)
	isSlow := now.Sub(r.last) >= stalledAfter || age >= stalledAfter && float64(r.bytes) < slowBytesPerSecond*age.Seconds()
	if r.isEnded || !isSlow {
		return 0
	}
	return r.held
}

// stopOnce stops the body unless it has ended.
func (r *Receipt) stopOnce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded || r.isStopped {
		return
	}
	r.isStopped = true
	r.stop()
	slowBodiesStopped.Inc()
}

// receiptReader reads a body for a Receipt.
type receiptReader struct {
	body io.Reader
	r    *Receipt
}

// Read implements io.Reader.
func (b receiptReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.r.mu.Lock()
		defer b.r.mu.Unlock()
		b.r.bytes += int64(n)
		b.r.last = time.Now()
	}
	return n, err
}

// reserveReclaimed stops slow bodies that hold n bytes and reserves n bytes when they are free. It returns
// false at once if no slow bodies hold that much.
func (b *Budget) reserveReclaimed(n, spare int64) bool {
	if !b.reclaim(n + spare) {
		return false
	}
	for range reclaimTimeout / reclaimInterval {
		time.Sleep(reclaimInterval)
		if b.reserveLeaving(n, spare) {
			return true
		}
	}
	return false
}

// reclaim stops slow bodies, those that hold most first, until n bytes will be free.
func (b *Budget) reclaim(n int64) bool {
	type slowBody struct {
		r    *Receipt
		held int64
	}
	now, need := time.Now(), n-max(b.limit-b.Used(), 0)
	b.mu.Lock()
	var slow []slowBody
	for r := range b.receiving {
		if held := r.reclaimable(now); held > 0 {
			slow = append(slow, slowBody{r, held})
		}
	}
	b.mu.Unlock()
	slices.SortFunc(slow, func(x, y slowBody) int { return cmp.Compare(y.held, x.held) })
	for i, s := range slow {
		if need -= s.held; need > 0 {
			continue
		}
		for _, stopped := range slow[:i+1] {
			stopped.r.stopOnce()
		}
		return true
	}
	return false
}

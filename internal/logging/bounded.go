package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// Bounds of a Bounded writer.
const (
	// maxPendingBytes bounds the lines that wait for a slow reader of the output.
	maxPendingBytes = 256 << 10
)

// Bounded writes lines to out from a goroutine of its own. Write never blocks:
// lines that do not fit are left out and counted, and the count is written as soon
// as there is room.
type Bounded struct {
	out io.Writer

	mu      sync.Mutex
	ready   *sync.Cond
	pending bytes.Buffer
	leftOut int
	closed  bool
	done    chan struct{}
}

// NewBounded starts a writer; Close ends it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, done: make(chan struct{})}
	b.ready = sync.NewCond(&b.mu)
	go b.run()
	return b
}

// Write takes whole lines. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.pending.Len()+len(line) > maxPendingBytes {
		b.leftOut++
		return len(line), nil
	}
	if b.leftOut > 0 {
		fmt.Fprintf(&b.pending, `{"level":"warning","msg":"Log lines were left out.","part":"logging","lines":%d}`+"\n", b.leftOut)
		b.leftOut = 0
	}
	b.pending.Write(line)
	b.ready.Signal()
	return len(line), nil
}

// Close writes what is pending and ends the writer.
func (b *Bounded) Close() {
	b.mu.Lock()
	b.closed = true
	b.ready.Signal()
	b.mu.Unlock()
	<-b.done
}

// run writes what is pending, as much as there is in one call.
func (b *Bounded) run() {
	defer close(b.done)
	var batch []byte
	for {
		b.mu.Lock()
		for b.pending.Len() == 0 && !b.closed {
			b.ready.Wait()
		}
		batch = append(batch[:0], b.pending.Bytes()...)
		b.pending.Reset()
		closed := b.closed
		b.mu.Unlock()
		if len(batch) > 0 {
			_, _ = b.out.Write(batch) // there is nowhere else to tell
		}
		if closed && len(batch) == 0 {
			return
		}
	}
}

package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a BoundedWriter.
const (
	// maxPendingBytes bounds the buffered lines while the output is slow.
	maxPendingBytes = 256 << 10
	// closeTimeout bounds the wait of Close for an output that accepts nothing.
	closeTimeout = time.Second
)

// BoundedWriter writes lines to out from a separate goroutine. Write never blocks:
// lines that do not fit into the buffer are dropped and counted, and the count is
// written before the next line that fits.
type BoundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	ready   *sync.Cond
	pending bytes.Buffer
	dropped int
	closed  bool
	done    chan struct{}
}

// NewBoundedWriter starts a writer; Close stops it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, done: make(chan struct{})}
	b.ready = sync.NewCond(&b.mu)
	go b.run()
	return b
}

// Write buffers line, which must be one or more whole lines. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.pending.Len()+len(line) > maxPendingBytes {
		b.dropped++
		return len(line), nil
	}
	if b.dropped > 0 {
		fmt.Fprintf(&b.pending, `{"level":"warning","msg":"log lines dropped","part":"logging","lines":%d}`+"\n", b.dropped)
		b.dropped = 0
	}
	b.pending.Write(line)
	b.ready.Signal()
	return len(line), nil
}

// Close writes the buffered lines and stops the writer. Lines that out does not accept within
// closeTimeout are lost.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	b.closed = true
	b.ready.Signal()
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// run writes all buffered lines in one call whenever there are any, until Close.
func (b *BoundedWriter) run() {
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
			_, _ = b.out.Write(batch) // a failed write of the log cannot be reported
		}
		if closed && len(batch) == 0 {
			return
		}
	}
}

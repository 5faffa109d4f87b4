package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowWriter blocks until it is opened.
type slowWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *slowWriter) Write(data []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(data)
}

// TestBoundedNeverBlocks: a reader that stands still costs lines, not time, and
// the lines that were left out are counted.
func TestBoundedNeverBlocks(t *testing.T) {
	out := &slowWriter{open: make(chan struct{})}
	b := NewBounded(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 1000 {
		if n, err := b.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d, %v", n, err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("1000 lines took %s while the reader stood still", took)
	}
	close(out.open)
	for {
		b.mu.Lock()
		empty := b.pending.Len() == 0
		b.mu.Unlock()
		if empty {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, _ = fmt.Fprintln(b, "last")
	b.Close()
	text := out.text.String()
	if !strings.Contains(text, "Log lines were left out") || !strings.HasSuffix(text, "last\n") {
		t.Errorf("the output ends with %q", text[max(0, len(text)-200):])
	}
	if kept := strings.Count(text, "x\n"); kept < 200 || kept > 600 {
		t.Errorf("%d lines were kept", kept)
	}
}

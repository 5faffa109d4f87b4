package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *blockedWriter) Write(data []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(data)
}

// TestBoundedWriterNeverBlocks checks that Write does not wait while the output is
// blocked, and that the lines dropped meanwhile are counted and reported.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	b := NewBoundedWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 1000 {
		if n, err := b.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d, %v", n, err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing 1000 lines took %s while the output was blocked", took)
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
	if !strings.Contains(text, "log lines dropped") || !strings.HasSuffix(text, "last\n") {
		t.Errorf("the output ends with %q", text[max(0, len(text)-200):])
	}
	if kept := strings.Count(text, "x\n"); kept < 200 || kept > 600 {
		t.Errorf("%d lines were kept, want 200 to 600", kept)
	}
}

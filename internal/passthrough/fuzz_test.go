package passthrough

import (
	"bytes"
	"testing"
	"testing/iotest"
)

// FuzzEvents checks that the events of any stream are its bytes in order, none of them
// longer than the bound, and that the reader ends.
func FuzzEvents(f *testing.F) {
	for _, text := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ": comment\n\n\n", "data", "id:\r\ndata:\r\n\r\n", "event: x\n\ndata: y\n"} {
		f.Add([]byte(text))
	}
	f.Add(bytes.Repeat([]byte("data: "), 1<<18))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := newEventReader(iotest.HalfReader(bytes.NewReader(stream)))
		read := 0
		for {
			e, err := reader.next()
			if err != nil {
				return
			}
			if len(e.raw) == 0 || len(e.raw) > maxEventBytes || !bytes.HasPrefix(stream[read:], e.raw) {
				t.Fatalf("event of %d bytes after %d of %d bytes", len(e.raw), read, len(stream))
			}
			read += len(e.raw)
		}
	})
}

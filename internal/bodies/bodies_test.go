package bodies

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestBufferHoldsBodiesUnchanged checks that a body of any size, read in any pieces, is held byte
// for byte within the budget, and that Free returns all of it.
func TestBufferHoldsBodiesUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 3*pieceBytes).Draw(t, "size")
		most := int64(rapid.IntRange(0, 4*pieceBytes).Draw(t, "most"))
		text := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		budget := NewBudget(8 * pieceBytes)
		b := NewBuffer(budget)
		err := b.Fill(context.Background(), iotest.HalfReader(bytes.NewReader(text)), most)
		if tooLong := int64(size) > most; tooLong != errors.Is(err, ErrTooLong) || !tooLong && err != nil {
			t.Fatalf("%d of at most %d bytes: error %v", size, most, err)
		}
		var written bytes.Buffer
		if _, werr := b.WriteTo(&written); err == nil && (werr != nil || !bytes.Equal(written.Bytes(), text) || !bytes.Equal(b.Bytes(), text) || b.Len() != size) {
			t.Fatalf("%d bytes came back as %d", size, written.Len())
		}
		if b.Free(); budget.Used() != 0 {
			t.Fatalf("%d bytes are reserved after Free", budget.Used())
		}
	})
}

// TestBodiesWaitForRoom checks that of bodies that together exceed the budget one goes on and the
// others wait for it, until they have room or their context ends, and that one that doesn't wait
// gets an error.
func TestBodiesWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 16 * pieceBytes
		budget := NewBudget(limit)
		var total atomic.Int64
		slow := func(size int) io.Reader {
			return readerFunc(func(p []byte) (int, error) {
				time.Sleep(time.Millisecond)
				if size <= 0 {
					return 0, io.EOF
				}
				n := min(len(p), size, 16<<10)
				size -= n
				total.Add(int64(n))
				return n, nil
			})
		}
		var work sync.WaitGroup
		for range 20 {
			work.Go(func() {
				b := NewBuffer(budget)
				defer b.Free()
				if err := b.Fill(t.Context(), slow(limit/2), limit); err != nil {
					t.Errorf("a body that waits got %v", err)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		if used := budget.Used(); used > limit+limit/2 {
			t.Errorf("%d bytes are reserved, the bound is %d and one body", used, limit)
		}
		small, late := NewBuffer(budget), NewBuffer(budget)
		if err := small.Fill(t.Context(), slow(FreeBytes-1), limit); err != nil {
			t.Errorf("a small body got %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		if err := late.Fill(ctx, slow(pieceBytes), limit); err != nil && (!errors.Is(err, ErrNoRoom) || ctx.Err() == nil) {
			t.Errorf("a body without room got %v before its context ended", err)
		}
		late.Free()
		work.Wait()
		full := NewBudget(limit)
		full.Reserve(limit)
		if err := NewBuffer(full).FillAtOnce(slow(pieceBytes), limit, full.Receive(func() {})); !errors.Is(err, ErrNoRoom) {
			t.Errorf("a body that doesn't wait got %v", err)
		}
		if budget.Used() != 0 || total.Load() < 20*limit/2 {
			t.Errorf("%d bytes are reserved at the end, %d were read", budget.Used(), total.Load())
		}
	})
}

// readerFunc is an io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestSlowBodiesLoseTheirMemory guards against bodies that stop before their end and keep all others from
// being read. One that arrives at an ordinary pace keeps its memory, and so does one that has arrived.
func TestSlowBodiesLoseTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(5 * pieceBytes)
		receive := func(stopped *bool) *Receipt {
			r := budget.Receive(func() { *stopped = true })
			if !r.Reserve(pieceBytes) {
				t.Fatal("no room at the beginning")
			}
			return r
		}
		var slow, trickling, fast, ended bool
		stopping := receive(&slow)
		trickle, steady, whole := receive(&trickling), receive(&fast), receive(&ended)
		if whole.End() {
			t.Error("stopped before its end")
		}
		late := budget.Receive(func() {})
		if late.Reserve(pieceBytes) || slow || trickling {
			t.Error("bodies lost their memory at once")
		}
		for range 10 {
			time.Sleep(stalledAfter / 3)
			_, _ = trickle.Reader(bytes.NewReader(make([]byte, 1))).Read(make([]byte, 1))
			_, _ = steady.Reader(bytes.NewReader(make([]byte, 8<<10))).Read(make([]byte, 8<<10))
		}
		go func() {
			time.Sleep(reclaimTimeout / 2) // the handlers of stopped bodies return
			for _, r := range []*Receipt{stopping, trickle} {
				if r.End() {
					budget.Release(pieceBytes)
				}
			}
		}()
		if !late.Reserve(2*pieceBytes) || !slow || !trickling {
			t.Errorf("no room; the body that stalls was stopped: %t, the one that trickles: %t", slow, trickling)
		}
		if fast || ended {
			t.Error("a body that arrives, or has arrived, was stopped")
		}
		if late.Reserve(pieceBytes) {
			t.Error("got memory that no slow body holds")
		}
	})
}

// TestLargeBodiesLeaveRoomForSmallOnes guards against a few large bodies, announced or growing, that leave
// no room for any other.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	budget := NewBudget(32 * pieceBytes)
	large, small := budget.Receive(func() {}), budget.Receive(func() {})
	for what, take := range map[string]func() bool{
		"one that is announced": func() bool { return large.Reserve(16 * pieceBytes) },
		"one that grows":        func() bool { return large.grow(pieceBytes) },
		"many that grow":        func() bool { return budget.Receive(func() {}).grow(pieceBytes) },
	} {
		for take() {
		}
		if !small.Reserve(pieceBytes) {
			t.Errorf("no room for a small body beside %s", what)
		}
		budget.Release(budget.Used())
	}
}

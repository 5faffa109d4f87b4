// Package bodies bounds the memory that the bodies of requests and answers take in one process.
package bodies

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Budget bounds the bytes of all bodies that a process holds at once.
type Budget struct {
	limit int64
	used  atomic.Int64
	// overdraft is the body that may grow although there is no room, so that bodies that wait
	// for one another don't wait for ever. It is bounded by the longest body.
	overdraft atomic.Pointer[Buffer]

	mu sync.Mutex
	// receiving are the bodies that lose their memory if they are slow.
	receiving map[*Receipt]bool
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves n bytes. It returns false, and reserves nothing, if fewer are free.
func (b *Budget) Reserve(n int64) bool { return b.reserveLeaving(n, 0) }

// reserveLeaving is Reserve that leaves some bytes free.
func (b *Budget) reserveLeaving(n, spare int64) bool {
	if b.used.Add(n) > b.limit-spare {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

const (
	// FreeBytes is the size up to which a body is held outside the budget, so that small ones
	// never wait for large ones.
	FreeBytes = 32 << 10
	// firstBytes is the first size of the piece that is held outside the budget; it doubles up to
	// FreeBytes, so that small bodies take little.
	firstBytes = 2 << 10
	// pieceBytes is the size of the further pieces of a Buffer.
	pieceBytes = 128 << 10
	// roomInterval is the time between two looks for room.
	roomInterval = 10 * time.Millisecond
)

// Errors of Buffer.Fill.
var (
	ErrTooLong = errors.New("the body is too long")
	ErrNoRoom  = errors.New("no memory is free for the body")
)

// Buffer holds one body in pieces, each of them once.
type Buffer struct {
	budget *Budget
	pieces [][]byte
	size   int64
	held   int64
}

// NewBuffer returns an empty Buffer. Its owner calls Free at the end.
func NewBuffer(b *Budget) *Buffer { return &Buffer{budget: b} }

// Fill reads r up to its end, most bytes at most. While the budget has no room only one body is
// read on; the others wait until ctx ends.
func (b *Buffer) Fill(ctx context.Context, r io.Reader, most int64) error {
	return b.fill(r, most, func() bool { return b.waitForRoom(ctx) })
}

// FillAtOnce is Fill for a body with a Receipt that doesn't wait for room, except for that of slow bodies:
// it gets ErrNoRoom.
func (b *Buffer) FillAtOnce(r io.Reader, most int64, receipt *Receipt) error {
	return b.fill(r, most, func() bool { return receipt.grow(pieceBytes) })
}

func (b *Buffer) fill(r io.Reader, most int64, reserve func() bool) error {
	for {
		switch n := len(b.pieces); {
		case n == 0:
			b.pieces = append(b.pieces, make([]byte, 0, firstBytes))
		case len(b.pieces[n-1]) < cap(b.pieces[n-1]):
		case n == 1 && cap(b.pieces[0]) < FreeBytes:
			b.pieces[0] = append(make([]byte, 0, 2*cap(b.pieces[0])), b.pieces[0]...)
		case !reserve():
			return ErrNoRoom
		default:
			b.held += pieceBytes
			b.pieces = append(b.pieces, newPiece())
		}
		last := &b.pieces[len(b.pieces)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.size += int64(n)
		switch {
		case b.size > most:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// waitForRoom reserves a piece, beyond the limit if no other body does that.
func (b *Buffer) waitForRoom(ctx context.Context) bool {
	for !b.budget.Reserve(pieceBytes) {
		if b.budget.overdraft.CompareAndSwap(nil, b) || b.budget.overdraft.Load() == b {
			b.budget.used.Add(pieceBytes)
			return true
		}
		if !sleep.For(ctx, roomInterval) {
			return false
		}
	}
	return true
}

// Len returns the size of the body in bytes.
func (b *Buffer) Len() int { return int(b.size) }

// WriteTo implements io.WriterTo.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	var total int64
	for _, piece := range b.pieces {
		n, err := w.Write(piece)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Bytes returns a copy of the body in one piece.
func (b *Buffer) Bytes() []byte {
	return slices.Concat(b.pieces...)
}

// freePieces holds pieces of bodies that have ended. Under a crowd of bodies that are refused, their garbage
// would take more than the bodies that are held.
var freePieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// newPiece returns an empty piece of pieceBytes.
func newPiece() []byte { return freePieces.Get().(*[pieceBytes]byte)[:0] }

// Free drops the body and returns its bytes to the budget.
func (b *Buffer) Free() { b.budget.Release(b.Detach()) }

// Detach drops the body and returns the number of bytes that stay reserved.
func (b *Buffer) Detach() int64 {
	held := b.held
	for _, piece := range b.pieces {
		if cap(piece) == pieceBytes {
			freePieces.Put((*[pieceBytes]byte)(piece[:pieceBytes]))
		}
	}
	b.pieces, b.size, b.held = nil, 0, 0
	b.budget.overdraft.CompareAndSwap(b, nil)
	return held
}

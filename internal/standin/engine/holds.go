package engine

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// hold is named memory that stays allocated after the connection that requested it
// is closed: a reservation, an export or an import. Streams may hold memory without
// a connection too, but are tracked separately.
type hold struct {
	kind     upstream.HoldKind
	name     string
	deadline time.Time
	// The hold's memory consists of private tokens and referenced blocks.
	private int
	blocks  []string
	// user is the stream that computes in a reservation's memory.
	user *stream
}

func (h *hold) tokens() int { return h.private + len(h.blocks)*upstream.BlockTokens }

// deadlineFrom returns the time of a Unix timestamp in milliseconds, or the zero
// time for 0.
func deadlineFrom(unixMs int64) time.Time {
	if unixMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unixMs)
}

// unixMs is the inverse of deadlineFrom.
func unixMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Reserve allocates memory for a part of a prompt that is larger than one engine.
// Repeating a reservation has no effect. The error is a *Refusal.
func (e *Engine) Reserve(req upstream.ReserveRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.expire(now)
	if old := e.holds[req.Name]; old != nil {
		if old.kind != upstream.HoldReservation || old.private != req.Tokens {
			return refuse(http.StatusConflict, "the name %q is taken", req.Name)
		}
		return nil
	}
	if req.Name == "" || req.Tokens <= 0 {
		return refuse(http.StatusBadRequest, "a reservation needs a name and tokens")
	}
	if !e.memory.allocate(req.Tokens) {
		return refuse(http.StatusConflict, "%d tokens are not free", req.Tokens)
	}
	e.addHold(now, &hold{
		kind:     upstream.HoldReservation,
		name:     req.Name,
		deadline: deadlineFrom(req.DeadlineUnixMs),
		private:  req.Tokens,
	})
	return nil
}

func (e *Engine) addHold(now time.Time, h *hold) {
	e.holds[h.name] = h
	e.record.holdsMade++
	e.recordLoad(now)
	e.signal()
}

// bindReservation binds the stream to the reservation that this engine holds for
// it. The other names belong to other engines and are only recorded.
func (e *Engine) bindReservation(s *stream) *Refusal {
	if len(s.req.Reservations) == 0 {
		return nil
	}
	for _, name := range s.req.Reservations {
		h := e.holds[name]
		if h == nil || h.kind != upstream.HoldReservation {
			continue
		}
		if h.user != nil {
			return refuse(http.StatusConflict, "reservation %q is in use", name)
		}
		h.user = s
		s.reservation = h
		return nil
	}
	return refuse(http.StatusConflict, "none of the reservations is in this engine")
}

// Export pins the cached leading blocks of the prefix and returns them. The error
// is a *Refusal.
func (e *Engine) Export(req upstream.ExportRequest) (upstream.ExportAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holds[req.Name] != nil || req.Name == "" {
		return upstream.ExportAnswer{}, refuse(http.StatusConflict, "the name %q is taken", req.Name)
	}
	n := e.memory.match(req.Blocks)
	if n == 0 {
		return upstream.ExportAnswer{}, refuse(http.StatusNotFound, "no block of the prefix is cached")
	}
	h := &hold{
		kind:     upstream.HoldExport,
		name:     req.Name,
		deadline: deadlineFrom(req.DeadlineUnixMs),
		blocks:   slices.Clone(req.Blocks[:n]),
	}
	e.memory.ref(h.blocks)
	e.addHold(time.Now(), h)
	return upstream.ExportAnswer{Blocks: h.blocks, Tokens: h.tokens()}, nil
}

// Import allocates memory for blocks that another engine exported, waits for the
// duration of the transfer and adds the blocks to the prefix cache. They stay
// pinned until the hold is released. The error is a *Refusal, or ctx's error.
func (e *Engine) Import(ctx context.Context, req upstream.ImportRequest) error {
	h, err := e.beginImport(req)
	if err != nil {
		return err
	}
	settings := e.settings
	seconds := float64(len(req.Blocks)*upstream.BlockTokens) / float64(settings.TransferTokensPerSecond)
	if !sleep.For(ctx, settings.scaled(time.Duration(seconds*float64(time.Second)))) {
		e.Release(req.Name)
		return ctx.Err()
	}
	return e.endImport(h, slices.Clone(req.Blocks))
}

func (e *Engine) beginImport(req upstream.ImportRequest) (*hold, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holds[req.Name] != nil || req.Name == "" {
		return nil, refuse(http.StatusConflict, "the name %q is taken", req.Name)
	}
	tokens := len(req.Blocks) * upstream.BlockTokens
	if tokens == 0 || !e.memory.allocate(tokens) {
		return nil, refuse(http.StatusConflict, "%d tokens are not free", tokens)
	}
	h := &hold{
		kind:     upstream.HoldImport,
		name:     req.Name,
		deadline: deadlineFrom(req.DeadlineUnixMs),
		private:  tokens,
	}
	e.addHold(time.Now(), h)
	return h, nil
}

func (e *Engine) endImport(h *hold, blocks []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holds[h.name] != h {
		return refuse(http.StatusConflict, "the import was released")
	}
	e.memory.share(blocks)
	h.private, h.blocks = 0, blocks
	e.recordLoad(time.Now())
	return nil
}

// Holds lists all memory that the engine keeps for routers, streams included.
func (e *Engine) Holds() upstream.Holds {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(time.Now())
	list := upstream.Holds{Boot: e.settings.Boot, Holds: []upstream.Hold{}}
	for _, h := range e.holds {
		list.Holds = append(list.Holds, upstream.Hold{Kind: h.kind, Name: h.name, Tokens: h.tokens(), DeadlineUnixMs: unixMs(h.deadline)})
	}
	for s := range e.active {
		list.Holds = append(list.Holds, upstream.Hold{Kind: upstream.HoldStream, Name: s.req.ID, Tokens: s.tokens(), DeadlineUnixMs: unixMs(s.deadline())})
	}
	slices.SortFunc(list.Holds, func(a, b upstream.Hold) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Release frees the hold or ends the stream of a name. Releasing an unknown name
// has no effect.
func (e *Engine) Release(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if h := e.holds[name]; h != nil {
		e.release(now, h)
	}
	if s := e.streams[name]; s != nil {
		e.finish(now, s, errCanceled)
	}
	e.recordLoad(now)
}

// release frees a hold's memory and fails the stream that uses it.
func (e *Engine) release(now time.Time, h *hold) {
	delete(e.holds, h.name)
	e.memory.free(h.private)
	e.memory.unref(h.blocks)
	if h.user != nil {
		e.finish(now, h.user, errHoldReleased)
	}
	e.signal()
}

package engine

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// record collects statistics about the requests and holds, for checkers.
type record struct {
	requests map[string]*RequestRecord
	order    []string
	// computed and generated count tokens since the start.
	computed      int64
	generated     int64
	maxConcurrent int
	holdsMade     int
}

// accepted records a request that the engine accepted.
func (r *record) accepted(s *stream, leaving time.Duration, concurrent int) {
	rec := r.requests[s.req.ID]
	if rec == nil {
		rec = &RequestRecord{ID: s.req.ID}
		r.requests[s.req.ID] = rec
		r.order = append(r.order, s.req.ID)
	}
	rec.Attempts = append(rec.Attempts, s.req.Attempt)
	rec.PromptTokens = s.prompt
	rec.Reservations = s.req.Reservations
	rec.Outcome = "running"
	rec.WhileLeavingMs = max(rec.WhileLeavingMs, leaving.Milliseconds())
	s.record = rec
	r.maxConcurrent = max(r.maxConcurrent, concurrent)
}

// Summary reports what the engine did since its start.
type Summary struct {
	Name string `json:"name"`
	Boot string `json:"boot"`
	// RequestCount counts distinct request IDs. Started is the total of
	// RequestRecord.Starts.
	RequestCount int `json:"request_count"`
	Started      int `json:"started"`
	// MaxConcurrent is the highest number of unfinished requests.
	MaxConcurrent int `json:"max_concurrent"`
	// ComputedTokens and GeneratedTokens are totals over all requests.
	ComputedTokens  int64 `json:"computed_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	// HoldsMade counts reservations, exports and imports.
	HoldsMade int `json:"holds_made"`
	// MaxWhileLeavingMs is the longest time in milliseconds from when the engine
	// began to leave to the arrival of a request.
	MaxWhileLeavingMs int64 `json:"max_while_leaving_ms"`
	// Unfinished counts requests that are queued or running.
	Unfinished int `json:"unfinished"`
	// PinnedTokens is the memory that eviction can't free now.
	PinnedTokens int `json:"pinned_tokens"`
	// Holds lists the memory that the engine keeps now.
	Holds []upstream.Hold `json:"holds"`
	// Requests lists the selected requests in order of arrival.
	Requests []RequestRecord `json:"requests,omitempty"`
}

// Record returns a summary of what the engine did. It lists the requests for which
// include returns true; if include is nil, it lists none.
func (e *Engine) Record(include func(RequestRecord) bool) Summary {
	holds := e.Holds().Holds
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := Summary{
		Name:            e.settings.Name,
		Boot:            e.settings.Boot,
		RequestCount:    len(e.record.order),
		MaxConcurrent:   e.record.maxConcurrent,
		ComputedTokens:  e.record.computed,
		GeneratedTokens: e.record.generated,
		HoldsMade:       e.record.holdsMade,
		Unfinished:      len(e.active),
		PinnedTokens:    e.memory.pinned(),
		Holds:           holds,
	}
	for _, id := range e.record.order {
		rec := e.record.requests[id]
		sum.Started += rec.Starts
		sum.MaxWhileLeavingMs = max(sum.MaxWhileLeavingMs, rec.WhileLeavingMs)
		if include != nil && include(*rec) {
			c := *rec
			c.Attempts = append([]int(nil), rec.Attempts...)
			sum.Requests = append(sum.Requests, c)
		}
	}
	return sum
}

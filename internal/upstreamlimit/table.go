package upstreamlimit

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/logging"
)

var log = logging.For("limits")

// Key identifies one incarnation of an upstream.
type Key struct {
	ID string
	// Born is the start of the upstream in Unix milliseconds; 0 if unknown.
	Born int64
}

// Limit is what an answer of an upstream says.
type Limit struct {
	// Named reports whether the answer names a limit.
	Named bool
	// PerSecond is the limit, in requests a second, not negative.
	PerSecond float64
}

// Table holds the limits that upstreams name. It is not safe for concurrent use.
type Table struct{ limits map[Key]*limit }

// limit is the state of one upstream that names a limit.
type limit struct{ perSecond float64 }

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{limits: map[Key]*limit{}} }

// Observe records what an answer of an upstream says.
func (t *Table) Observe(k Key, l Limit) {
	known := t.limits[k]
	entry := log.WithField("upstream", k.ID).WithField("limit", l.PerSecond)
	switch {
	case !l.Named && known != nil:
		delete(t.limits, k)
		entry.Info("upstream names no limit any more")
	case l.Named && known == nil:
		t.limits[k] = &limit{perSecond: l.PerSecond}
		entry.Info("upstream names a limit of requests a second")
	case l.Named && known.perSecond != l.PerSecond:
		known.perSecond = l.PerSecond
		entry.Debug("upstream names another limit")
	}
}

// Sent records that a request is sent to an upstream.
func (t *Table) Sent(k Key) {
	if t.limits[k] != nil {
		metrics.GetOrCreateCounter(`banyanroute_limited_requests_total`).Inc()
	}
}

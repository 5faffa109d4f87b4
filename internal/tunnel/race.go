package tunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/panics"
)

// Timing of a connection that is opened.
const (
	// dialTimeout bounds all ways together.
	dialTimeout = 500 * time.Millisecond
	// headStart is how long a connection may take before another way is tried beside it.
	headStart = 100 * time.Millisecond
	// maxTunnelTries bounds the instances that are asked for one connection.
	maxTunnelTries = 6
	// conclusiveReports is the number of other instances, with paths of their own, whose
	// failure to connect shows that the upstream itself is down.
	conclusiveReports = 2
)

// errUnconfirmed is the error of a direct connection that was refused, if no other instance
// has confirmed that the upstream refuses connections.
var errUnconfirmed = errors.New("connection refused on this instance's path; no other instance confirms it")

// way is one way to an upstream that was tried, with its result.
type way struct {
	// via is the other instance; empty for the direct way.
	via  string
	conn net.Conn
	err  error
	// answer is the other instance's; its code is zero if there was none.
	answer openAnswer
}

// race is the attempt to open one connection over several ways.
type race struct {
	d       *Dialer
	ctx     context.Context
	network string
	address string
	began   time.Time
	// candidates are the instances that may be asked, the best first. They are drawn when the
	// first is needed, since most connections are direct.
	candidates []string
	drawn      bool
	results    chan way
	// pending counts the ways that are tried now; asked holds when the instances among them
	// were asked.
	pending int
	asked   map[string]time.Time
	// directTried and directDone report whether the direct way was tried and has failed.
	directTried bool
	directDone  bool
	directErr   error
	// reports counts the other instances with paths of their own that could not connect;
	// failed are the IDs of all that could not.
	reports int
	failed  []string
	refused bool
	// closed tells late direct results that nobody waits for them.
	mu     sync.Mutex
	closed bool
}

func newRace(ctx context.Context, d *Dialer, network, address string) *race {
	return &race{
		d: d, ctx: ctx, network: network, address: address, began: time.Now(),
		results: make(chan way, maxTunnelTries+1), asked: map[string]time.Time{},
	}
}

// run tries the ways until one succeeds, and returns its connection.
func (r *race) run() (net.Conn, error) {
	direct, doubtful := r.d.paths.use(r.address, time.Now())
	if direct {
		r.tryDirect()
	}
	next := time.NewTimer(headStart)
	defer next.Stop()
	if doubtful {
		r.tryNext()
	}
	for {
		for r.pending == 0 {
			if r.isDown() || !r.tryNext() {
				return nil, r.fail()
			}
		}
		select {
		case w := <-r.results:
			r.pending--
			delete(r.asked, w.via)
			if w.err == nil {
				r.won(w)
				return w.conn, nil
			}
			r.lost(w)
			if w.via != "" && !r.isDown() {
				r.tryNext()
				next.Reset(headStart)
			}
		case <-next.C:
			r.tryNext()
			next.Reset(headStart)
		case <-r.ctx.Done():
			return nil, r.fail()
		}
	}
}

// tryDirect starts the direct way. It goes on after the race, since its result shows whether
// the path is whole.
func (r *race) tryDirect() {
	r.pending++
	r.directTried = true
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), dialTimeout)
	go panics.Run(log, func() {
		defer cancel()
		conn, err := r.d.dialDirect(ctx, r.network, r.address)
		r.report(way{conn: conn, err: err})
	})
}

// tryNext starts the next way: through another instance, or, if no instance is left, directly.
// It reports whether there was one.
func (r *race) tryNext() bool {
	if !r.drawn {
		r.drawn, r.candidates = true, r.d.candidates(r.address)
	}
	if len(r.candidates) == 0 {
		if r.directTried {
			return false
		}
		r.tryDirect()
		return true
	}
	via := r.candidates[0]
	r.candidates = r.candidates[1:]
	r.pending++
	r.asked[via] = time.Now()
	go panics.Run(log, func() {
		conn, answer, err := r.d.open(r.ctx, via, r.address)
		r.report(way{via: via, conn: conn, err: err, answer: answer})
	})
	return true
}

// report passes a result to the race, or closes its connection if the race is over.
func (r *race) report(w way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.results <- w
		return
	}
	if w.conn != nil {
		w.conn.Close() //nolint:errcheck // nothing was written
	}
}

// closeLate closes the connections that the race has not used.
func (r *race) closeLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for {
		select {
		case w := <-r.results:
			if w.conn != nil {
				w.conn.Close() //nolint:errcheck // nothing was written
			}
		default:
			return
		}
	}
}

// won records the way that has succeeded, and the instances that would have taken long.
func (r *race) won(w way) {
	now := time.Now()
	for via, at := range r.asked {
		if now.Sub(at) >= headStart {
			r.d.paths.avoid(via, silentTime, now)
		}
	}
	if w.via == "" {
		return // tryDirect has recorded it
	}
	metrics.GetOrCreateCounter(`banyanroute_tunnels_opened_total`).Inc()
	if !r.directTried {
		r.d.paths.reached()
		return
	}
	cause := "no connection within " + headStart.String()
	switch {
	case r.directDone:
		cause = r.directErr.Error()
	case now.Sub(r.began) < headStart:
		cause = "this instance is cut off from all upstreams"
	}
	if r.d.paths.tunnelled(r.address, cause, r.failed, now) {
		r.d.logChange(r.address, "path to upstream broken; requests go through other instances", cause)
	}
}

// lost records a way that has failed.
func (r *race) lost(w way) {
	if w.via == "" {
		r.directDone, r.directErr = true, w.err
		return
	}
	switch w.answer.Code {
	case dialRefused, dialFailed:
		if w.answer.Reaches {
			r.reports++
		}
		r.refused = r.refused || w.answer.Code == dialRefused
		r.failed = append(r.failed, w.via)
	case noPath:
		r.d.paths.avoid(w.via, noPathTime, time.Now())
	case busy, notListed:
		r.d.paths.avoid(w.via, busyTime, time.Now())
	default:
		r.d.paths.avoid(w.via, silentTime, time.Now())
	}
}

// isDown reports whether the upstream itself cannot be reached.
func (r *race) isDown() bool { return r.directDone && r.reports >= conclusiveReports }

// fail records that no way has succeeded and returns the error.
func (r *race) fail() error {
	if r.ctx.Err() == nil || errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
		r.d.paths.failed(r.address, r.began, time.Now())
	}
	switch {
	case r.directErr == nil:
		return dialError(r.network, context.DeadlineExceeded)
	case isRefused(r.directErr) && !r.refused && r.d.hasPeers():
		return dialError(r.network, errUnconfirmed)
	}
	return r.directErr
}

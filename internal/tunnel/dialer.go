package tunnel

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/sockets"
	"github.com/banyanroute/banyanroute/internal/wire"
)

var log = logging.For("tunnel")

// Options configures a Dialer.
type Options struct {
	// Direct opens a connection over this instance's own path.
	Direct sockets.DialFunc
	// Upstream returns the listed upstream with an address.
	Upstream func(address string) (deployment.Upstream, bool)
	// DataCentre is this instance's.
	DataCentre string
	// Draining reports whether a graceful shutdown has begun; no tunnels are served then.
	Draining func() bool
}

// Dialer opens connections to upstreams, and serves tunnels for other instances. It is safe
// for concurrent use.
type Dialer struct {
	opts    Options
	paths   *paths
	bus     atomic.Pointer[peer.StreamBus]
	served  atomic.Int64
	notices notices
	// changes bounds the log lines about paths; omitted counts those left out.
	changes *rate.Limiter
	omitted atomic.Int64
}

// Rate limit of the log lines about paths: hundreds may change at once.
const (
	changesPerSecond = 2
	changesBurst     = 10
)

// NewDialer returns a Dialer that connects directly until it has a bus.
func NewDialer(o Options) *Dialer {
	return &Dialer{opts: o, paths: newPaths(), changes: rate.NewLimiter(changesPerSecond, changesBurst)}
}

// SetBus connects the Dialer to the other instances. It must be called before the bus is
// started.
func (d *Dialer) SetBus(bus peer.StreamBus) {
	bus.HandleStreams(d.ServeStream)
	bus.HandleBroadcast(topicPaths, d.handleNotice)
	d.bus.Store(&bus)
}

// State is the state of a Dialer in a state dump.
type State struct {
	// CutOff reports whether the instance seems to have no path to any upstream.
	CutOff bool `json:"cut_off"`
	// Broken lists the broken paths.
	Broken []PathState `json:"broken"`
	// Served is the number of tunnels that the instance serves for others.
	Served int `json:"tunnels_served"`
}

// Dump returns the current state; its type is State.
func (d *Dialer) Dump() any {
	return State{CutOff: d.paths.cutOff(), Broken: d.paths.dump(time.Now()), Served: d.Served()}
}

// DialContext opens a connection to an upstream, over the first way that succeeds. Its error
// is syscall.ECONNREFUSED only if the upstream itself refuses connections, and
// sockets.ErrIsolated if this instance reaches nothing and did not try.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.paths.mayConnect(time.Now()) {
		return nil, dialError(network, sockets.ErrIsolated)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	r := newRace(ctx, d, network, address)
	conn, err := r.run()
	cancel()
	go panics.Run(log, r.closeLate)
	return conn, err
}

func dialError(network string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

// dialDirect opens a direct connection and records what it shows of the path.
func (d *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	conn, err := sockets.DetectResets(d.opts.Direct)(ctx, network, address) // also for tunnels that are served
	now := time.Now()
	switch {
	case err == nil:
		if d.paths.connected(address, now) {
			d.logChange(address, "path to upstream whole again", "")
		}
	case isRefused(err) || now.Sub(began) >= headStart:
		d.paths.directFailed(address)
	}
	d.tellCutOff(now)
	return conn, err
}

// logChange logs a change of a path.
func (d *Dialer) logChange(address, text, cause string) {
	metrics.GetOrCreateCounter(`banyanroute_path_changes_total`).Inc()
	if !d.changes.Allow() {
		d.omitted.Add(1)
		return
	}
	entry := log.WithField("address", address)
	if up, listed := d.opts.Upstream(address); listed {
		entry = entry.WithFields(logrus.Fields{"upstream": up.ID, "service": up.Service})
	}
	if cause != "" {
		entry = entry.WithField("cause", cause)
	}
	if n := d.omitted.Swap(0); n > 0 {
		entry = entry.WithField("left_out", n)
	}
	entry.Warn(text)
}

// hasPeers reports whether there are other instances.
func (d *Dialer) hasPeers() bool {
	bus := d.bus.Load()
	return bus != nil && len((*bus).Members()) > 1
}

// open asks another instance for a connection.
func (d *Dialer) open(ctx context.Context, via, address string) (net.Conn, openAnswer, error) {
	s, err := (*d.bus.Load()).OpenStream(ctx, via)
	if err != nil {
		return nil, openAnswer{}, trace.Wrap(err, "opening a tunnel through %s", via)
	}
	deadline, _ := ctx.Deadline()
	request := openRequest{Address: address, TimeoutMillis: uint32(max(0, time.Until(deadline).Milliseconds()))}
	var answer openAnswer
	err = send(ctx, s, request)
	if err == nil {
		err = receive(ctx, s, via, &answer)
	}
	if err == nil && !answer.Code.known() {
		wire.CountUnknownKind(via, "tunnel")
	}
	if err == nil && answer.Code != opened {
		err = fmt.Errorf("opening a tunnel through %s: %s", via, answer.Code)
	}
	if err != nil {
		s.Close()
		return nil, answer, err
	}
	return &Conn{stream: s, via: via, address: address}, answer, nil
}

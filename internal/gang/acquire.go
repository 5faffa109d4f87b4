package gang

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/logging"
)

var log = logging.For("gang")

// releaseTimeout bounds the release of all parts.
const releaseTimeout = 5 * time.Second

// Reservation is one part that is held.
type Reservation struct {
	Share
	Name string
}

// Acquirer reserves all parts of a prompt, or none. Each part is reserved in
// the order of the engines' IDs, which is the same in all instances: of two
// prompts that need common engines, the one that gets the first of them gets
// the others too, so that neither can block the other for good. The states of
// one acquisition are in charts/reservation.yaml.
type Acquirer struct {
	reserver Reserver
	chart    *chart.Chart

	// mu guards random.
	mu     sync.Mutex
	random *rand.Rand
}

// NewAcquirer returns an Acquirer that uses reserver; seed makes its pauses
// repeatable. It fails only if the embedded chart is broken.
func NewAcquirer(reserver Reserver, seed uint64) (*Acquirer, error) {
	c, err := chart.Load(charts.FS, "reservation")
	if err != nil {
		return nil, err
	}
	return &Acquirer{reserver: reserver, chart: c, random: rand.New(rand.NewPCG(seed, seed))}, nil
}

// jitter returns a time between a half and the whole of d.
func (a *Acquirer) jitter(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return d/2 + time.Duration(a.random.Int64N(int64(d/2)+1))
}

// Acquire reserves shares, which must be in Plan's order, under names that
// begin with prefix. It waits for memory until ctx ends. The reservations end
// by themselves at deadline. After an error nothing is held, unless an engine
// could not be reached to release it; then the deadline ends it.
func (a *Acquirer) Acquire(ctx context.Context, prefix string, shares []Share, deadline time.Time) ([]Reservation, error) {
	q := &acquisition{acquirer: a, prefix: prefix, shares: shares, deadline: deadline}
	machine := a.chart.NewMachine()
	event := q.startOver(ctx)
	for {
		actions, err := machine.Fire(event)
		if err != nil {
			return nil, err
		}
		switch machine.State() {
		case stateHeld:
			return q.held, nil
		case stateNone:
			return nil, q.err
		}
		for _, action := range actions {
			event = q.do(ctx, action)
		}
	}
}

// Release frees reservations, also after ctx has ended. A reservation that
// cannot be freed ends at its deadline.
func (a *Acquirer) Release(ctx context.Context, held []Reservation) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for _, r := range held {
		if err := a.reserver.Release(ctx, r.UpstreamID, r.Name); err != nil {
			log.WithError(err).WithField("upstream", r.UpstreamID).Warn("reservation not released; it ends at its deadline")
		}
	}
}

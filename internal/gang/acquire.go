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

// releaseTimeout bounds the time for the release of all parts of a prompt.
const releaseTimeout = 5 * time.Second

// Reservation is the memory that is reserved for one part of a prompt.
type Reservation struct {
	Share
	// Name identifies the reservation on the engine.
	Name string
}

// Acquirer reserves memory for all parts of a prompt, or for none. The parts are
// reserved in the order of the engines' IDs, which is the same on all instances and
// rules out deadlocks: of two prompts that need common engines, the one that gets
// the first of these gets the others too. The states of an acquisition are defined
// in charts/reservation.yaml.
type Acquirer struct {
	reserver Reserver
	chart    *chart.Chart

	// mu guards random.
	mu     sync.Mutex
	random *rand.Rand
}

// NewAcquirer returns an Acquirer that uses reserver; seed makes its random pauses
// repeatable. It fails only if the embedded chart is invalid.
func NewAcquirer(reserver Reserver, seed uint64) (*Acquirer, error) {
	c, err := chart.Load(charts.FS, "reservation")
	if err != nil {
		return nil, err
	}
	return &Acquirer{reserver: reserver, chart: c, random: rand.New(rand.NewPCG(seed, seed))}, nil
}

// jitter returns a random time between half of d and d.
func (a *Acquirer) jitter(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return d/2 + time.Duration(a.random.Int64N(int64(d/2)+1))
}

// Acquire reserves shares, which must be in the order that Plan returns, under names
// that begin with prefix. It waits for memory until ctx ends. The reservations
// expire at deadline. After an error no reservation is held, except one whose engine
// could not be reached to release it; that expires at deadline.
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

// Release releases reservations, even if ctx has ended. A reservation that cannot
// be released expires at its deadline.
func (a *Acquirer) Release(ctx context.Context, held []Reservation) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for _, r := range held {
		if err := a.reserver.Release(ctx, r.UpstreamID, r.Name); err != nil {
			log.WithError(err).WithField("upstream", r.UpstreamID).Warn("reservation not released: it expires at its deadline")
		}
	}
}

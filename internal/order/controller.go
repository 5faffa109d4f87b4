// Package order reconciles engines with the state that the catalogue declares:
// it observes the engines, plans orders, and sends them under the lease of the
// engines' group with its fencing token. An order makes one engine load or unload a
// model, load an adapter, or change its role; a group is the engines of one data
// centre.
//
// Some engines ignore fencing tokens, so an order must be harmless if it arrives
// late: it is idempotent, and the effect of a late one is observed and repaired.
// Before its first order to such an engine, a new lease holder waits for the
// longest time that an order can be in flight.
package order

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

var log = logging.For("order")

// Times of a controller.
const (
	// observeInterval is the minimum mean interval between two observations of a
	// group. In a large group the interval is observeIntervalPerEngine per
	// engine, which bounds the holder's rate of messages.
	observeInterval          = 5 * time.Second
	observeIntervalPerEngine = 160 * time.Millisecond
	observeTimeout           = 3 * time.Second
	// orderTimeout is the longest time that an order can be in flight.
	orderTimeout = 10 * time.Second
	// resendInterval is the time after which an order without observed effect
	// is sent again.
	resendInterval = 30 * time.Second
)

// maxObservations bounds the concurrent observations of one group.
const maxObservations = 16

// Lease is the lease under which orders to a group are sent.
type Lease interface {
	// Held returns the fencing token under which this instance holds the
	// lease at now, and false if it does not.
	Held(now time.Time) (fence uint64, ok bool)
}

// LoadLimiter limits the rate of model loads from the weight store;
// WeightLoadLimiter implements it.
type LoadLimiter interface {
	// Take returns zero if a load may start now, or the time after which to
	// retry.
	Take(ctx context.Context) (time.Duration, error)
}

// Options configures a Controller.
type Options struct {
	Group string
	// Instance is the ID of this instance, the issuer of the orders.
	Instance string
	Lease    Lease
	Engines  Engines
	// LoadLimiter, if set, limits the rate of model loads.
	LoadLimiter LoadLimiter
	// Declared returns the group's part of the current catalogue.
	Declared func() Declared
	// Demand returns the load of each model in the group.
	Demand func() map[string]Demand
	// Key signs orders to engines that check the issuer.
	Key []byte
	// Metrics, if set, counts the orders.
	Metrics *metrics.Set
}

// State is a controller's state for a dump.
type State struct {
	Group string `json:"group"`
	// Holding reports whether this instance holds the lease, and Fence is the
	// fencing token.
	Holding bool   `json:"holding"`
	Fence   uint64 `json:"fence"`
	// Observed is the number of engines that answered the last observation.
	Observed int `json:"observed"`
	// Planned is the number of orders in the last plan.
	Planned int `json:"missing"`
	// Accepted, Refused and Failed count orders by outcome.
	Accepted int               `json:"given"`
	Refused  int               `json:"refused"`
	Failed   int               `json:"failed"`
	Targets  map[string]Target `json:"targets"`
}

// orderKey identifies an order to one run of an engine process, so that the same
// order is not sent again within resendInterval.
type orderKey struct {
	engine, boot            string
	kind                    upstream.OrderKind
	model, version, adapter string
	role                    upstream.Role
}

// Controller sends the orders of one group. One goroutine runs it.
type Controller struct {
	options Options
	scaler  scaler
	machine *chart.Machine
	// fence is the token of the current lease, held since heldSince; 0 if the
	// lease is not held.
	fence     uint64
	heldSince time.Time
	// sent holds when each order was last sent.
	sent map[orderKey]time.Time

	mu    sync.Mutex
	state State
}

// New returns a controller of one group.
func New(options Options) *Controller {
	loaded, err := chart.Load(charts.FS, "order")
	if err != nil {
		panic(err) // the chart is embedded in the program
	}
	return &Controller{options: options, machine: loaded.NewMachine(), state: State{Group: options.Group}}
}

// States, events and actions of charts/order.yaml. In the state "spacing" a new
// holder waits until the orders of its predecessor can no longer be in flight,
// and sends orders only to engines that honour fencing tokens.
const (
	stateWaiting  chart.State = "spacing"
	stateOrdering chart.State = "ordering"

	eventLeaseAcquired chart.Event = "acquired"
	eventWaited        chart.Event = "spaced"
	eventLeaseExpired  chart.Event = "lapsed"
	eventFenced        chart.Event = "fenced"

	actionReset chart.Action = "start-anew"
)

// fire applies the chart's transition for event.
func (c *Controller) fire(event chart.Event) {
	actions, err := c.machine.Fire(event)
	if err != nil {
		log.Errorf("order chart rejected event: %v", err)
	}
	for _, action := range actions {
		if action == actionReset {
			c.heldSince = time.Now()
			c.sent = map[orderKey]time.Time{}
			c.scaler = scaler{}
		}
	}
}

// Run reconciles the group while the lease is held, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-time.After(c.observeDelay()):
			panics.Run(log, func() { c.Reconcile(ctx) })
		case <-ctx.Done():
			return nil
		}
	}
}

// observeDelay returns the time until the next observation, with jitter.
func (c *Controller) observeDelay() time.Duration {
	mean := max(observeInterval, time.Duration(len(c.options.Declared().Engines))*observeIntervalPerEngine)
	return mean*3/4 + rand.N(mean/2)
}

// Dump returns a copy of the controller's State.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Reconcile observes the group once and sends the orders that are needed to reach
// the declared state. It must not be called concurrently with itself or Run.
func (c *Controller) Reconcile(ctx context.Context) {
	now := time.Now()
	if !c.mayOrder(now) {
		c.update(func(s *State) { s.Holding = false })
		return
	}
	declared := c.options.Declared()
	observed := c.observe(ctx, declared.Engines)
	targets := c.scaler.targets(c.options.Demand(), countByModel(observed), now)
	steps := Plan(declared, observed, targets)
	c.update(func(s *State) {
		s.Holding, s.Fence, s.Observed, s.Planned, s.Targets = true, c.fence, len(observed), len(steps), targets
	})
	for _, step := range steps {
		if !c.mayOrder(time.Now()) {
			return
		}
		c.sendOnce(ctx, step, observed[step.Engine.ID].Boot)
	}
}

// mayOrder updates the chart's state from the lease, and reports whether this
// instance may send orders.
func (c *Controller) mayOrder(now time.Time) bool {
	fence, ok := c.options.Lease.Held(now)
	if !ok {
		c.fire(eventLeaseExpired)
		c.fence = 0
		return false
	}
	if fence != c.fence {
		c.fence = fence
		c.fire(eventLeaseAcquired)
	}
	if now.Sub(c.heldSince) >= orderTimeout {
		c.fire(eventWaited)
	}
	state := c.machine.State()
	return state == stateWaiting || state == stateOrdering
}

// observe returns the state of the engines that answer.
func (c *Controller) observe(ctx context.Context, engines []Engine) map[string]upstream.ObservedState {
	observed := make(map[string]upstream.ObservedState, len(engines))
	slots := make(chan struct{}, maxObservations)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, e := range engines {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			defer panics.Recover(log.WithField("upstream", e.ID)) // it counts as not observed
			ctx, cancel := context.WithTimeout(ctx, observeTimeout)
			defer cancel()
			o, err := c.options.Engines.Observe(ctx, e)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			observed[e.ID] = o
		})
	}
	wg.Wait()
	return observed
}

// countByModel returns the number of observed engines that have each model.
func countByModel(observed map[string]upstream.ObservedState) map[string]int {
	have := map[string]int{}
	for _, o := range observed {
		models := map[string]bool{}
		for _, m := range o.Models {
			models[m.Model] = true
		}
		for model := range models {
			have[model]++
		}
	}
	return have
}

// sendOnce sends one order, unless the same one was sent within resendInterval,
// the engine ignores tokens and orders of a previous holder may be in flight, or
// the limit of model loads is reached.
func (c *Controller) sendOnce(ctx context.Context, step Step, boot string) {
	now := time.Now()
	if !step.Engine.Fencing && c.machine.State() != stateOrdering {
		return
	}
	o := step.Order
	key := orderKey{step.Engine.ID, boot, o.Kind, o.Model, o.Version, o.Adapter, o.Role}
	if last, ok := c.sent[key]; ok && now.Sub(last) < resendInterval {
		return
	}
	if o.Kind == upstream.OrderLoadModel && !c.mayLoad(ctx) {
		return
	}
	c.dropExpired(now)
	c.sent[key] = now
	c.send(ctx, step)
}

// dropExpired removes the keys of orders that may be sent again.
func (c *Controller) dropExpired(now time.Time) {
	for key, last := range c.sent {
		if now.Sub(last) >= resendInterval {
			delete(c.sent, key)
		}
	}
}

// mayLoad takes one load from the shared rate and reports whether it may start.
func (c *Controller) mayLoad(ctx context.Context) bool {
	if c.options.LoadLimiter == nil {
		return true
	}
	wait, err := c.options.LoadLimiter.Take(ctx)
	return err == nil && wait == 0
}

// send signs the order and sends it, provided that the lease is still valid right
// before sending.
func (c *Controller) send(ctx context.Context, step Step) {
	o := step.Order
	o.ID = uuid.NewString()
	o.Fence = c.fence
	o.Issuer = c.options.Instance
	if step.Engine.ChecksIssuer {
		o = o.Sign(c.options.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if fence, ok := c.options.Lease.Held(time.Now()); !ok || fence != c.fence {
		return
	}
	err := c.options.Engines.Order(ctx, step.Engine, o)
	switch {
	case errors.Is(err, ErrFenced):
		c.fire(eventFenced)
		log.Warnf("order refused: engine %s has seen a newer token than %d", step.Engine.ID, c.fence)
		c.countOrder("refused")
		c.update(func(s *State) { s.Refused++ })
	case errors.Is(err, ErrIssuer):
		log.Errorf("order refused: engine %s does not accept issuer %s", step.Engine.ID, o.Issuer)
		c.countOrder("refused")
		c.update(func(s *State) { s.Refused++ })
	case err != nil:
		log.Infof("order %s to engine %s failed: %v", o.Kind, step.Engine.ID, err)
		c.countOrder("failed")
		c.update(func(s *State) { s.Failed++ })
	default:
		log.Infof("order accepted: %s %s %s%s%s, engine %s", o.Kind, o.Model, o.Version, o.Adapter, o.Role, step.Engine.ID)
		c.countOrder("given")
		c.update(func(s *State) { s.Accepted++ })
	}
}

// countOrder counts an order in the metrics.
func (c *Controller) countOrder(outcome string) {
	if c.options.Metrics != nil {
		name := `banyanroute_orders_total{group="` + c.options.Group + `",outcome="` + outcome + `"}`
		c.options.Metrics.GetOrCreateCounter(name).Inc()
	}
}

// update changes the state that Dump returns.
func (c *Controller) update(change func(*State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.state)
}

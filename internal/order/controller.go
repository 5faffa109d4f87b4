// Package order reconciles engines with the state that the catalogue declares:
// it observes them, plans orders, and sends these under the lease of the engines'
// group with its fencing token.
//
// Some engines ignore fencing tokens, so each order is safe to arrive late: it
// is idempotent, and the effect of a late one is observed and repaired. A new
// holder waits for the longest time that an order can be under way
// before its first order to such an engine.
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
	"github.com/banyanroute/banyanroute/internal/upstream"
)

var log = logging.For("order")

// Times of a controller.
const (
	// observeInterval is the least mean pause between two observations, and
	// observeSpacing the pause per engine in a large group, so that the
	// holder's messages stay few.
	observeInterval = 5 * time.Second
	observeSpacing  = 160 * time.Millisecond
	observeTimeout  = 3 * time.Second
	// orderTimeout is the longest time that an order can be under way.
	orderTimeout = 10 * time.Second
	// repeatAfter is when an order without visible effect is sent again.
	repeatAfter = 30 * time.Second
)

// maxObservations bounds the observations that run at a time.
const maxObservations = 16

// Lease is the exclusive right to send orders to a group.
type Lease interface {
	// Held returns the fencing token under which this instance holds the
	// lease at now, and false if it does not.
	Held(now time.Time) (fence uint64, ok bool)
}

// Loads limits the use of the weight store; WeightRate implements it.
type Loads interface {
	Take(ctx context.Context) (time.Duration, error)
}

// Options configures a Controller.
type Options struct {
	Group string
	// Instance is the issuer of the orders.
	Instance string
	Lease    Lease
	Engines  Engines
	Loads    Loads
	// Declared returns the group's part of the present catalogue.
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
	// Holding states whether this instance holds the lease, and Fence under
	// which token.
	Holding bool   `json:"holding"`
	Fence   uint64 `json:"fence"`
	// Observed is the number of engines that answered last.
	Observed int `json:"observed"`
	// Missing is the number of orders that the last plan needed.
	Missing int `json:"missing"`
	// Given counts orders by outcome.
	Given   int               `json:"given"`
	Refused int               `json:"refused"`
	Failed  int               `json:"failed"`
	Targets map[string]Target `json:"targets"`
}

// orderKey identifies an order to one start of an engine, so that the same
// order is not repeated before repeatAfter.
type orderKey struct {
	engine, boot            string
	kind                    upstream.OrderKind
	model, version, adapter string
	role                    upstream.Role
}

// Controller gives the orders of one group. One goroutine runs it.
type Controller struct {
	options  Options
	follower follower
	machine  *chart.Machine
	// fence is the token of the present holding, held since heldSince.
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
		panic(err) // The chart is embedded in the program.
	}
	return &Controller{options: options, machine: loaded.NewMachine(), state: State{Group: options.Group}}
}

// States and events of charts/order.yaml.
const (
	stateSpacing  chart.State = "spacing"
	stateOrdering chart.State = "ordering"

	eventAcquired chart.Event = "acquired"
	eventSpaced   chart.Event = "spaced"
	eventLapsed   chart.Event = "lapsed"
	eventFenced   chart.Event = "fenced"

	actionStartAnew chart.Action = "start-anew"
)

// fire takes a transition of the chart.
func (c *Controller) fire(event chart.Event) {
	actions, err := c.machine.Fire(event)
	if err != nil {
		log.Errorf("order chart: %v", err)
	}
	for _, action := range actions {
		if action == actionStartAnew {
			c.heldSince = time.Now()
			c.sent = map[orderKey]time.Time{}
			c.follower = follower{}
		}
	}
}

// Run reconciles the group while the lease is held, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-time.After(c.pause()):
			c.Reconcile(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// pause returns a jittered pause until the next observation.
func (c *Controller) pause() time.Duration {
	mean := max(observeInterval, time.Duration(len(c.options.Declared().Engines))*observeSpacing)
	return mean*3/4 + rand.N(mean/2)
}

// Dump returns a copy of the controller's State.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Reconcile observes the group once and sends the missing orders. It must not
// be called concurrently with itself or Run.
func (c *Controller) Reconcile(ctx context.Context) {
	now := time.Now()
	if !c.holds(now) {
		c.update(func(s *State) { s.Holding = false })
		return
	}
	declared := c.options.Declared()
	observed := c.observe(ctx, declared.Engines)
	targets := c.follower.targets(c.options.Demand(), count(observed), now)
	steps := Plan(declared, observed, targets)
	c.update(func(s *State) {
		s.Holding, s.Fence, s.Observed, s.Missing, s.Targets = true, c.fence, len(observed), len(steps), targets
	})
	for _, step := range steps {
		if !c.holds(time.Now()) {
			return
		}
		c.sendOnce(ctx, step, observed[step.Engine.ID].Boot)
	}
}

// holds states whether this instance may send orders, and updates the chart's
// state from the lease.
func (c *Controller) holds(now time.Time) bool {
	fence, ok := c.options.Lease.Held(now)
	if !ok {
		c.fire(eventLapsed)
		c.fence = 0
		return false
	}
	if fence != c.fence {
		c.fence = fence
		c.fire(eventAcquired)
	}
	if now.Sub(c.heldSince) >= orderTimeout {
		c.fire(eventSpaced)
	}
	state := c.machine.State()
	return state == stateSpacing || state == stateOrdering
}

// observe returns the state of the engines that answer.
func (c *Controller) observe(ctx context.Context, engines []Engine) map[string]upstream.Observed {
	observed := make(map[string]upstream.Observed, len(engines))
	slots := make(chan struct{}, maxObservations)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, e := range engines {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
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

// count returns the number of engines with each model.
func count(observed map[string]upstream.Observed) map[string]int {
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

// sendOnce sends one order, unless the same one was sent within repeatAfter.
func (c *Controller) sendOnce(ctx context.Context, step Step, boot string) {
	now := time.Now()
	if !step.Engine.Fencing && c.machine.State() != stateOrdering {
		return
	}
	o := step.Order
	key := orderKey{step.Engine.ID, boot, o.Kind, o.Model, o.Version, o.Adapter, o.Role}
	if last, ok := c.sent[key]; ok && now.Sub(last) < repeatAfter {
		return
	}
	if o.Kind == upstream.OrderLoadModel && !c.mayLoad(ctx) {
		return
	}
	c.dropExpired(now)
	c.sent[key] = now
	c.send(ctx, step)
}

// dropExpired removes the keys of orders that may be repeated.
func (c *Controller) dropExpired(now time.Time) {
	for key, last := range c.sent {
		if now.Sub(last) >= repeatAfter {
			delete(c.sent, key)
		}
	}
}

// mayLoad takes one load from the shared rate.
func (c *Controller) mayLoad(ctx context.Context) bool {
	if c.options.Loads == nil {
		return true
	}
	wait, err := c.options.Loads.Take(ctx)
	return err == nil && wait == 0
}

// send signs and sends the order if the lease is still valid right before.
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
		log.Warnf("engine %s has seen a newer token than %d", step.Engine.ID, c.fence)
		c.countOrder("refused")
		c.update(func(s *State) { s.Refused++ })
	case errors.Is(err, ErrIssuer):
		log.Errorf("engine %s does not accept orders of %s", step.Engine.ID, o.Issuer)
		c.countOrder("refused")
		c.update(func(s *State) { s.Refused++ })
	case err != nil:
		log.Infof("order %s to engine %s failed: %v", o.Kind, step.Engine.ID, err)
		c.countOrder("failed")
		c.update(func(s *State) { s.Failed++ })
	default:
		log.Infof("ordered %s %s %s%s%s at engine %s", o.Kind, o.Model, o.Version, o.Adapter, o.Role, step.Engine.ID)
		c.countOrder("given")
		c.update(func(s *State) { s.Given++ })
	}
}

// countOrder counts an order in the metrics.
func (c *Controller) countOrder(outcome string) {
	if c.options.Metrics != nil {
		name := `banyanroute_orders_total{group="` + c.options.Group + `",outcome="` + outcome + `"}`
		c.options.Metrics.GetOrCreateCounter(name).Inc()
	}
}

// update changes the state for a dump.
func (c *Controller) update(change func(*State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.state)
}

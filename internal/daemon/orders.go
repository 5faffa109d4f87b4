package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/lease"
	"github.com/banyanroute/banyanroute/internal/order"
)

// Times of giving orders.
const (
	// orderCheckInterval is how often the groups to contend for are chosen.
	orderCheckInterval = time.Second
	// loadBurst is the number of models that may be loaded together.
	loadBurst = 4
)

// orderGroups runs a lease and a controller for each group of engines that this
// instance contends for.
type orderGroups struct {
	d       *Daemon
	engines order.HTTPEngines
	loads   order.WeightRate

	mu      sync.Mutex
	running map[string]*orderGroup
}

// orderGroup is one group that this instance contends for.
type orderGroup struct {
	controller *order.Controller
	cancel     context.CancelFunc
}

func newOrderGroups(d *Daemon) *orderGroups {
	return &orderGroups{
		d:       d,
		engines: order.HTTPEngines{Client: &http.Client{}},
		loads: order.WeightRate{
			Table:    d.platform,
			Interval: time.Minute / time.Duration(d.settings.Platform.LoadsPerMinute),
			Burst:    loadBurst,
		},
		running: map[string]*orderGroup{},
	}
}

// Run follows catalogue and members until ctx ends, then releases all leases.
func (o *orderGroups) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	defer workers.Wait()
	ticker := time.NewTicker(orderCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			o.choose(ctx, &workers)
		}
	}
}

// choose starts the groups to contend for and stops the others.
func (o *orderGroups) choose(ctx context.Context, workers *sync.WaitGroup) {
	wanted := map[string]bool{}
	if !o.d.draining.Load() {
		for group := range o.declared() {
			wanted[group] = order.Contends(group, o.d.settings.Instance, o.d.overlay.Members())
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, group := range o.running {
		if !wanted[name] {
			group.cancel()
			delete(o.running, name)
		}
	}
	for name, want := range wanted {
		if want && o.running[name] == nil {
			o.running[name] = o.start(ctx, name, workers)
		}
	}
}

// declared returns what the present catalogue wants of each group.
func (o *orderGroups) declared() map[string]order.Declared {
	snapshot := o.d.replica.Snapshot()
	if snapshot == nil {
		return nil
	}
	var entries []catalogue.Entry
	for _, kind := range []catalogue.Kind{catalogue.KindUpstream, catalogue.KindModel} {
		for _, e := range snapshot.Entries(kind) {
			entries = append(entries, *e)
		}
	}
	return order.Declare(entries)
}

// start contends for one group's lease and gives its orders.
func (o *orderGroups) start(ctx context.Context, name string, workers *sync.WaitGroup) *orderGroup {
	ctx, cancel := context.WithCancel(ctx)
	l := lease.New(o.d.platform, lease.Options{Name: "orders/" + name, Holder: o.d.settings.Instance})
	c := order.New(order.Options{
		Group:    name,
		Instance: o.d.settings.Instance,
		Lease:    l,
		Engines:  o.engines,
		Loads:    o.loads,
		Declared: func() order.Declared { return o.declared()[name] },
		Demand:   func() map[string]order.Demand { return o.demand(name) },
		Key:      []byte(o.d.settings.Secrets.Orders),
	})
	workers.Go(func() { c.Run(ctx) }) //nolint:errcheck // it ends with ctx
	workers.Go(func() { l.Run(ctx) }) //nolint:errcheck // it ends with ctx
	return &orderGroup{controller: c, cancel: cancel}
}

// demand estimates the number of fully used engines of a group per model, from
// the latest load reports.
func (o *orderGroups) demand(group string) map[string]order.Demand {
	demand := map[string]order.Demand{}
	for _, load := range o.d.controller.Loads() {
		if load.DataCentre != group {
			continue
		}
		for _, model := range load.Models {
			d := demand[model]
			d.Engines += load.Use() / float64(len(load.Models))
			demand[model] = d
		}
	}
	return demand
}

// Dump returns the state of each group that this instance contends for.
func (o *orderGroups) Dump() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	states := map[string]any{}
	for name, group := range o.running {
		states[name] = group.controller.Dump()
	}
	return states
}

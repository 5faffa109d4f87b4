package order

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/lease"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// regroupInterval is how often groups and their contenders are worked out.
const regroupInterval = 10 * time.Second

// leasePrefix starts the name of each group's lease.
const leasePrefix = "orders/"

// ManagerOptions configures a Manager.
type ManagerOptions struct {
	Bus     peer.Bus
	Table   platform.Table
	Engines Engines
	Loads   Loads
	// Entries returns the present catalogue; its slice is not changed.
	Entries func() []catalogue.Entry
	// Demand returns the load of each model in a group.
	Demand func(group string) map[string]Demand
	// Key signs orders to engines that check the issuer.
	Key []byte
}

// Manager runs a lease and a controller for each group of engines that this
// instance contends for.
type Manager struct {
	options ManagerOptions
	set     *metrics.Set

	mu       sync.Mutex
	declared map[string]Declared
	members  map[string]*member
}

// member is this instance's part in one group.
type member struct {
	controller *Controller
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// NewManager returns a manager.
func NewManager(options ManagerOptions) *Manager {
	return &Manager{options: options, members: map[string]*member{}, set: metrics.NewSet()}
}

// Metrics returns the metrics of the orders, to be registered with /metrics.
func (m *Manager) Metrics() *metrics.Set { return m.set }

// Run follows the catalogue and the members until ctx ends; then it releases
// its leases.
func (m *Manager) Run(ctx context.Context) error {
	for {
		m.regroup(ctx)
		select {
		case <-time.After(regroupInterval):
		case <-ctx.Done():
			m.stopAll()
			return nil
		}
	}
}

// regroup starts and stops this instance's parts.
func (m *Manager) regroup(ctx context.Context) {
	declared := declare(m.options.Entries())
	self, members := m.options.Bus.Self().ID, m.options.Bus.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.declared = declared
	for group := range declared {
		if m.members[group] == nil && contends(group, self, members) {
			m.members[group] = m.start(ctx, group)
		}
	}
	for group, part := range m.members {
		if _, ok := declared[group]; !ok || !contends(group, self, members) {
			part.cancel()
			delete(m.members, group)
		}
	}
}

// start runs the lease and the controller of one group.
func (m *Manager) start(ctx context.Context, group string) *member {
	ctx, cancel := context.WithCancel(ctx)
	self := m.options.Bus.Self().ID
	l := lease.New(m.options.Table, lease.Options{Name: leasePrefix + group, Holder: self})
	part := &member{cancel: cancel, controller: New(Options{
		Group:    group,
		Instance: self,
		Lease:    l,
		Engines:  m.options.Engines,
		Loads:    m.options.Loads,
		Declared: func() Declared { return m.group(group) },
		Demand:   func() map[string]Demand { return m.options.Demand(group) },
		Key:      m.options.Key,
		Metrics:  m.set,
	})}
	part.done.Go(func() { _ = l.Run(ctx) })
	part.done.Go(func() { _ = part.controller.Run(ctx) })
	return part
}

// group returns a group's declared state.
func (m *Manager) group(name string) Declared {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.declared[name]
}

// stopAll waits until all leases are released.
func (m *Manager) stopAll() {
	m.mu.Lock()
	parts := m.members
	m.members = map[string]*member{}
	m.mu.Unlock()
	for _, part := range parts {
		part.cancel()
	}
	for _, part := range parts {
		part.done.Wait()
	}
}

// Dump returns the State of each group that this instance contends for, sorted
// by group.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := []State{}
	for _, part := range m.members {
		if state, ok := part.controller.Dump().(State); ok {
			states = append(states, state)
		}
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Group < states[j].Group })
	return states
}

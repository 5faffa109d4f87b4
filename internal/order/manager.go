package order

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/lease"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// updateInterval is the interval at which groups and the candidates for their
// leases are computed again.
const updateInterval = 10 * time.Second

// leasePrefix is the prefix of the name of each group's lease.
const leasePrefix = "orders/"

// ManagerOptions configures a Manager.
type ManagerOptions struct {
	Bus     peer.Bus
	Table   platform.Table
	Engines Engines
	// LoadLimiter, if set, limits the rate of model loads.
	LoadLimiter LoadLimiter
	// Entries returns the current catalogue; the slice is not modified.
	Entries func() []catalogue.Entry
	// Demand returns the load of each model in a group.
	Demand func(group string) map[string]Demand
	// Key signs orders to engines that check the issuer.
	Key []byte
}

// Manager runs a lease and a controller for each group of engines for whose lease
// this instance is a candidate.
type Manager struct {
	options ManagerOptions
	set     *metrics.Set

	mu       sync.Mutex
	declared map[string]Declared
	groups   map[string]*groupRunner
}

// groupRunner is the running lease and controller of one group.
type groupRunner struct {
	controller *Controller
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// NewManager returns a manager.
func NewManager(options ManagerOptions) *Manager {
	return &Manager{options: options, groups: map[string]*groupRunner{}, set: metrics.NewSet()}
}

// Metrics returns the metrics of the orders, to be registered with /metrics.
func (m *Manager) Metrics() *metrics.Set { return m.set }

// Run starts and stops groups as the catalogue and the members change, until ctx
// ends; then it releases its leases.
func (m *Manager) Run(ctx context.Context) error {
	for {
		m.updateGroups(ctx)
		select {
		case <-time.After(updateInterval):
		case <-ctx.Done():
			m.stopAll()
			return nil
		}
	}
}

// updateGroups starts and stops the groups for which this instance became a
// candidate or ceased to be one.
func (m *Manager) updateGroups(ctx context.Context) {
	declared := declaredGroups(m.options.Entries())
	self, members := m.options.Bus.Self().ID, m.options.Bus.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.declared = declared
	for group := range declared {
		if m.groups[group] == nil && isCandidate(group, self, members) {
			m.groups[group] = m.start(ctx, group)
		}
	}
	for group, runner := range m.groups {
		if _, ok := declared[group]; !ok || !isCandidate(group, self, members) {
			runner.cancel()
			delete(m.groups, group)
		}
	}
}

// start runs the lease and the controller of one group.
func (m *Manager) start(ctx context.Context, group string) *groupRunner {
	ctx, cancel := context.WithCancel(ctx)
	self := m.options.Bus.Self().ID
	l := lease.New(m.options.Table, lease.Options{Name: leasePrefix + group, Holder: self})
	runner := &groupRunner{cancel: cancel, controller: New(Options{
		Group:       group,
		Instance:    self,
		Lease:       l,
		Engines:     m.options.Engines,
		LoadLimiter: m.options.LoadLimiter,
		Declared:    func() Declared { return m.group(group) },
		Demand:      func() map[string]Demand { return m.options.Demand(group) },
		Key:         m.options.Key,
		Metrics:     m.set,
	})}
	runner.done.Go(func() { panics.Restart(ctx, log, func(ctx context.Context) { _ = l.Run(ctx) }) })
	runner.done.Go(func() { panics.Restart(ctx, log, func(ctx context.Context) { _ = runner.controller.Run(ctx) }) })
	return runner
}

// group returns a group's declared state.
func (m *Manager) group(name string) Declared {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.declared[name]
}

// stopAll stops all groups and waits until their leases are released.
func (m *Manager) stopAll() {
	m.mu.Lock()
	runners := m.groups
	m.groups = map[string]*groupRunner{}
	m.mu.Unlock()
	for _, runner := range runners {
		runner.cancel()
	}
	for _, runner := range runners {
		runner.done.Wait()
	}
}

// Dump returns the State of each group that runs on this instance, sorted by
// group.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := []State{}
	for _, runner := range m.groups {
		if state, ok := runner.controller.Dump().(State); ok {
			states = append(states, state)
		}
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Group < states[j].Group })
	return states
}

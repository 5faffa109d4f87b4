package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/order"
	"github.com/banyanroute/banyanroute/internal/sockets"
)

// loadBurst is the number of model loads from the weight store that may start at
// once, above the configured rate.
const loadBurst = 4

// newOrders returns the manager that sends orders to engines.
func (d *Daemon) newOrders() *order.Manager {
	return order.NewManager(order.ManagerOptions{
		Bus:     d.overlay,
		Table:   d.platform,
		Engines: order.HTTPEngines{Client: &http.Client{Transport: sockets.NewTransport(new(net.Dialer).DialContext)}},
		LoadLimiter: order.WeightLoadLimiter{
			Table:    d.platform,
			Interval: time.Minute / time.Duration(d.settings.Platform.LoadsPerMinute),
			Burst:    loadBurst,
		},
		Entries: d.orderEntries,
		Demand:  d.demand,
		Key:     []byte(d.settings.Secrets.Orders),
	})
}

// orderEntries returns the catalogue's entries that declare the desired state of
// engines.
func (d *Daemon) orderEntries() []catalogue.Entry {
	snapshot := d.replica.Snapshot()
	if snapshot == nil {
		return nil
	}
	var entries []catalogue.Entry
	for _, kind := range []catalogue.Kind{catalogue.KindUpstream, catalogue.KindModel} {
		for _, e := range snapshot.Entries(kind) {
			entries = append(entries, *e)
		}
	}
	return entries
}

// demand estimates the load of each model in a data centre, as a number of fully
// used engines, from the latest load reports.
func (d *Daemon) demand(dataCentre string) map[string]order.Demand {
	demand := map[string]order.Demand{}
	for _, load := range d.controller.Loads() {
		if load.DataCentre != dataCentre {
			continue
		}
		for _, model := range load.Models {
			modelDemand := demand[model]
			modelDemand.Engines += load.Utilisation() / float64(len(load.Models))
			demand[model] = modelDemand
		}
	}
	return demand
}

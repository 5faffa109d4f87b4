package catalogue

import (
	"fmt"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
)

// Events and actions of charts/catalogue.yaml.
const (
	eventFirstInstalled chart.Event = "first-installed"
	eventHigherNoticed  chart.Event = "higher-noticed"
	eventCaughtUp       chart.Event = "caught-up"

	actionLogBehind   chart.Action = "log-behind"
	actionLogCaughtUp chart.Action = "log-caught-up"
)

// lifecycle is the chart of a replica.
var lifecycle = mustLoad("catalogue")

// mustLoad loads an embedded chart, which the tests check.
func mustLoad(name string) *chart.Chart {
	c, err := chart.Load(charts.FS, name)
	if err != nil {
		panic(fmt.Sprintf("embedded chart: %v", err))
	}
	return c
}

// fire takes an event of the life cycle and does its actions. The caller holds
// mu.
func (r *Replica) fire(event chart.Event) {
	actions, err := r.machine.Fire(event)
	if err != nil {
		log.Errorf("life cycle: %v", err)
		return
	}
	for _, action := range actions {
		switch action {
		case actionLogBehind:
			log.Debugf("behind: %s has revision %d", r.noticedFrom, r.noticed)
		case actionLogCaughtUp:
			log.Debugf("caught up at revision %d", r.Revision())
		default:
			log.Errorf("life cycle: unknown action %q", action)
		}
	}
}

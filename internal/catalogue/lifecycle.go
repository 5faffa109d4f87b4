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

// lifecycle is the state chart of a replica.
var lifecycle = mustLoad("catalogue")

// mustLoad loads an embedded chart and panics if it is invalid; the tests load
// all of them.
func mustLoad(name string) *chart.Chart {
	c, err := chart.Load(charts.FS, name)
	if err != nil {
		panic(fmt.Sprintf("loading embedded chart: %v", err))
	}
	return c
}

// fire applies an event to the state chart and runs the actions of the
// transition. The caller holds mu.
func (r *Replica) fire(event chart.Event) {
	actions, err := r.machine.Fire(event)
	if err != nil {
		log.Errorf("state chart event rejected: %v", err)
		return
	}
	for _, action := range actions {
		switch action {
		case actionLogBehind:
			log.Debugf("fallen behind: %s announced revision %d", r.noticedFrom, r.noticed)
		case actionLogCaughtUp:
			log.Debugf("caught up at revision %d", r.Revision())
		default:
			log.Errorf("unknown state chart action %q", action)
		}
	}
}

package tunnel

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

const (
	// nearWeight is the weight of an instance in the data centre of this one or of the
	// upstream, relative to others: its tunnels cross between data centres once at most.
	nearWeight = 4
	// unknownCapacity is assumed for an instance that does not tell its capacity.
	unknownCapacity = 100
)

// candidates returns the instances to ask for a connection to an upstream, the first one
// first. They are drawn at random by capacity and distance, so that the work of many instances
// without a path spreads over all that have one. If none is fit, one that is not is asked.
func (d *Dialer) candidates(address string) []string {
	bus := d.bus.Load()
	if bus == nil {
		return nil
	}
	up, _ := d.opts.Upstream(address)
	now := time.Now()
	self := (*bus).Self().ID
	type drawn struct {
		id   string
		key  float64
		isOK bool
	}
	var list []drawn
	for _, m := range (*bus).Members() {
		if m.ID == self || m.Leaving {
			continue
		}
		key := math.Pow(rand.Float64(), 1/d.weight(m, up.DataCentre))
		list = append(list, drawn{m.ID, key, d.paths.isFit(m.ID, now)})
	}
	slices.SortFunc(list, func(a, b drawn) int {
		if a.isOK != b.isOK {
			return cmp.Compare(fitRank(a.isOK), fitRank(b.isOK))
		}
		return cmp.Compare(b.key, a.key)
	})
	var ids []string
	for _, c := range list {
		if len(ids) == maxTunnelTries || !c.isOK && len(ids) > 0 {
			break
		}
		ids = append(ids, c.id)
	}
	return ids
}

// fitRank orders fit instances before others.
func fitRank(fit bool) int {
	if fit {
		return 0
	}
	return 1
}

// weight returns the relative frequency with which a member is drawn.
func (d *Dialer) weight(m peer.Member, upstreamCentre string) float64 {
	w := float64(m.Capacity)
	if m.Capacity == 0 {
		w = unknownCapacity
	}
	if m.DataCentre == d.opts.DataCentre || m.DataCentre == upstreamCentre {
		w *= nearWeight
	}
	return w
}

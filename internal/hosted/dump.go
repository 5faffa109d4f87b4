package hosted

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// stateDump is an instance's view of the deployment, with the age of each part.
type stateDump struct {
	build.View
	Draining bool `json:"draining"`
	// ConfigVersion is 0 before the first configuration.
	ConfigVersion int64   `json:"config_version"`
	ConfigAge     float64 `json:"config_age_seconds"`
	// ListRevision is the store's era and version of the list of upstreams.
	ListRevision deployment.Revision `json:"list_revision"`
	ListAge      float64             `json:"list_age_seconds"`
	// Sources are the tables of the store that this instance follows.
	Sources []deployment.FollowerState `json:"sources"`
	// Members are the live instances in this instance's view.
	Members   []string                  `json:"members"`
	Upstreams []placement.UpstreamState `json:"upstreams"`
	// Evacuations are the evacuated data centres.
	Evacuations []evacuation `json:"evacuations,omitempty"`
	// Shares are the accounts of the services whose callers compete.
	Shares []placement.ServiceShares `json:"shares"`
	// Paths are the upstreams that this instance reaches through other instances only, and the
	// connections that it serves for others.
	Paths any `json:"paths"`
	// Costs is what this instance has learned of what requests cost; absent if it does not learn.
	Costs *placement.CostState `json:"costs,omitempty"`
}

// evacuation is an evacuated data centre.
type evacuation struct {
	DataCentre string    `json:"data_centre"`
	Since      time.Time `json:"since"`
	// Jobs is the number of jobs that still run there, as far as this instance knows.
	Jobs int `json:"jobs"`
}

// dump returns the current state.
func (n *Instance) dump() stateDump {
	v := n.state.View()
	s := stateDump{
		View:     build.View{Instance: n.settings.Instance, Build: build.ID(), ProtocolVersion: member.ProtocolVersion},
		Draining: n.draining(), ListRevision: v.Revision,
		Upstreams: n.planner.Dump(time.Now()), Shares: n.planner.DumpShares(time.Now()), Paths: n.tunnels.Dump(),
		Costs: n.planner.Costs(time.Now()),
	}
	if !v.ListedAt.IsZero() {
		s.ListAge = time.Since(v.ListedAt).Seconds()
	}
	if v.Config != nil {
		s.ConfigVersion, s.ConfigAge = v.Config.Version, time.Since(v.ConfigAt).Seconds()
	}
	for _, e := range v.Evacuations() {
		s.Evacuations = append(s.Evacuations, evacuation{e.DataCentre, time.UnixMilli(e.Since).UTC(), n.planner.JobsIn(e.DataCentre)})
	}
	for _, f := range n.followers {
		s.Sources = append(s.Sources, f.Dump())
	}
	if overlay := n.links.overlay.Load(); overlay != nil {
		s.Builds = overlay.Builds()
		for _, m := range overlay.Members() {
			s.Members = append(s.Members, m.ID)
		}
	}
	return s
}

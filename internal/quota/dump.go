package quota

import (
	"sort"
	"time"
)

// Dump is the limiter's state for operators.
type Dump struct {
	// FleetSize is the number of instances that share the limits, and
	// VisibleFraction the fraction of them that this instance can see.
	FleetSize       int               `json:"fleet_size"`
	VisibleFraction float64           `json:"visible_part"`
	Workspaces      []DumpedWorkspace `json:"workspaces"`
	Accounts        []DumpedAccount   `json:"accounts"`
}

// DumpedWorkspace is one workspace with a lease or requests in flight.
type DumpedWorkspace struct {
	Name   string `json:"name"`
	Owner  string `json:"keeper"`
	Leased bool   `json:"leased"`
	Share  Share  `json:"share"`
	// LeftMillis is the lease's remaining lifetime.
	LeftMillis int64 `json:"left_ms"`
	InFlight   int   `json:"in_flight"`
}

// DumpedAccount is the owner's account of one workspace.
type DumpedAccount struct {
	Name    string `json:"name"`
	Holders int    `json:"holders"`
	Granted Share  `json:"lent"`
}

// Share is a part of a workspace's limits in a dump.
type Share struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	Concurrent        float64 `json:"concurrent"`
}

func (s share) dumped() Share { return Share{s.Requests, s.Tokens, s.Slots} }

// dumpTimeout bounds the wait for the control goroutine's answer.
const dumpTimeout = time.Second

// Dump returns the current state, or an empty one if the limiter is not running.
// The result is a Dump.
func (l *Limiter) Dump() any {
	reply := make(chan Dump, 1)
	timer := time.NewTimer(dumpTimeout)
	defer timer.Stop()
	select {
	case l.dumps <- reply:
		return <-reply
	case <-timer.C:
		return Dump{}
	}
}

func (c *control) dump(now time.Time) Dump {
	listed := c.l.listed()
	d := Dump{FleetSize: c.fleet.size(listed), VisibleFraction: c.fleet.visibleFraction(listed)}
	for name, w := range *c.assigned {
		r := w.peek(now)
		if !r.leased && r.inUse == 0 {
			continue
		}
		d.Workspaces = append(d.Workspaces, DumpedWorkspace{
			Name:       name,
			Owner:      c.ownerships[name].owner,
			Leased:     r.leased,
			Share:      r.held.dumped(),
			LeftMillis: r.left.Milliseconds(),
			InFlight:   r.inUse,
		})
	}
	sort.Slice(d.Workspaces, func(i, j int) bool { return d.Workspaces[i].Name < d.Workspaces[j].Name })
	for name, a := range c.accounts {
		a.expire(now)
		d.Accounts = append(d.Accounts, DumpedAccount{name, len(a.holders), a.granted("").dumped()})
	}
	sort.Slice(d.Accounts, func(i, j int) bool { return d.Accounts[i].Name < d.Accounts[j].Name })
	return d
}

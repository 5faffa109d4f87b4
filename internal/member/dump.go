package member

import (
	"sort"
	"time"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/peer"
)

// Dump is the overlay's state for operators.
type Dump struct {
	Self            peer.Member       `json:"self"`
	Build           string            `json:"build"`
	ProtocolVersion int               `json:"protocol_version"`
	Members         []DumpedMember    `json:"members"`
	Links           []DumpedLink      `json:"links"`
	Wanted          []string          `json:"wanted"`
	Unreachable     []string          `json:"unreachable_data_centres,omitempty"`
	Listed          int               `json:"listed"`
	Traffic         []Traffic         `json:"traffic"`
	Direct          DumpedDirectLinks `json:"direct_links"`
}

// DumpedMember is one known instance.
type DumpedMember struct {
	peer.Member
	State string `json:"state"`
	Seq   uint64 `json:"seq"`
	// Build and BuildSince are as in build.Seen; empty for instances that are not members.
	Build      string    `json:"build,omitempty"`
	BuildSince time.Time `json:"build_since,omitzero"`
}

// DumpedLink is one open overlay link.
type DumpedLink struct {
	Peer       string `json:"peer"`
	DataCentre string `json:"data_centre"`
	Dialled    bool   `json:"dialled"`
	// SilentMillis is the time since the last message.
	SilentMillis int64 `json:"silent_ms"`
}

// DumpedDirectLinks counts the links that carry only calls.
type DumpedDirectLinks struct {
	Dialled  int `json:"dialled"`
	Accepted int `json:"accepted"`
}

// dumpTimeout bounds the wait for the control goroutine.
const dumpTimeout = time.Second

// Dump returns the current state as a Dump. If the control goroutine does not
// answer in time, only the fields of shortDump are set.
func (o *Overlay) Dump() any {
	reply := make(chan Dump, 1)
	timer := time.NewTimer(dumpTimeout)
	defer timer.Stop()
	select {
	case o.events <- dumpRequested{reply}:
	case <-timer.C:
		return o.shortDump()
	}
	select {
	case d := <-reply:
		return d
	case <-timer.C:
		return o.shortDump()
	}
}

// shortDump is the state that is known without the control goroutine.
func (o *Overlay) shortDump() Dump {
	return Dump{Self: o.self, Build: o.build, ProtocolVersion: ProtocolVersion, Traffic: o.Traffic()}
}

func (c *control) dump(now time.Time) Dump {
	d := c.o.shortDump()
	d.Self, d.Listed = c.table.self.member(), len(c.listed)
	builds := map[string]build.Seen{}
	for _, b := range c.o.Builds() {
		builds[b.Instance] = b
	}
	d.Direct.Dialled, d.Direct.Accepted = c.o.direct.count()
	for _, e := range c.table.entries {
		d.Members = append(d.Members, DumpedMember{e.member(), string(stateOf[e.Status]), e.Seq, builds[e.ID].Build, builds[e.ID].Since})
	}
	sort.Slice(d.Members, func(i, j int) bool { return d.Members[i].ID < d.Members[j].ID })
	for id, l := range c.links {
		d.Links = append(d.Links, DumpedLink{id, l.peer.DataCentre, l.dialled, l.silentFor(now).Milliseconds()})
	}
	sort.Slice(d.Links, func(i, j int) bool { return d.Links[i].Peer < d.Links[j].Peer })
	for id := range c.wanted {
		d.Wanted = append(d.Wanted, id)
	}
	sort.Strings(d.Wanted)
	for centre := range c.centres.unreachable() {
		d.Unreachable = append(d.Unreachable, centre)
	}
	sort.Strings(d.Unreachable)
	sort.Slice(d.Traffic, func(i, j int) bool { return d.Traffic[i].Topic < d.Traffic[j].Topic })
	return d
}

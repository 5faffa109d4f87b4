package member

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/peer"
)

const (
	// buildHeader names the sender's build in the request and the answer that open a link. It
	// is not authenticated, and only shown.
	buildHeader = "Instance-Build"
	// maxBuildBytes bounds the name of another instance's build.
	maxBuildBytes = 64
	// buildCheckInterval is the interval of checks for more than one build; each logs at most
	// one line.
	buildCheckInterval = 5 * time.Second
	// buildRetention is how long the build of an instance is kept that is not a member.
	buildRetention = 10 * time.Minute
)

// buildSeen is the build of an instance that a link has shown.
type buildSeen struct {
	incarnation uint64
	build       string
	since       time.Time
	// lastKnown is when the instance was last linked or a member.
	lastKnown time.Time
}

// builds holds the builds of the instances that this one has had links to.
type builds struct {
	mu   sync.Mutex
	seen map[string]buildSeen
	// isMixed is what the last logged line said. It and nextCheck belong to the control
	// goroutine.
	isMixed   bool
	nextCheck time.Time
}

func newBuilds(self peer.Member, name string, now time.Time) *builds {
	b := &builds{seen: map[string]buildSeen{}}
	b.note(self, name, now)
	return b
}

// buildOf returns the build that the other end of a connection named, and false if the
// connection's kind carries none.
func buildOf(conn Conn) (string, bool) {
	named, ok := conn.(interface{ peerBuild() string })
	if !ok {
		return "", false
	}
	name := named.peerBuild()
	if name == "" {
		return build.Unstated, true
	}
	return name[:min(maxBuildBytes, len(name))], true
}

// noteConn records the build that an authenticated connection shows.
func (b *builds) noteConn(m peer.Member, conn Conn, now time.Time) {
	if name, ok := buildOf(conn); ok {
		b.note(m, name, now)
	}
}

// note records the build of an instance.
func (b *builds) note(m peer.Member, name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known := b.seen[m.ID]
	switch {
	case known && before.incarnation > m.Incarnation:
		return
	case known && before.incarnation == m.Incarnation && before.build == name:
		before.lastKnown = now
		b.seen[m.ID] = before
	default:
		b.seen[m.ID] = buildSeen{incarnation: m.Incarnation, build: name, since: now, lastKnown: now}
	}
}

// of returns the builds of the members.
func (b *builds) of(members []peer.Member) []build.Seen {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]build.Seen, 0, len(members))
	for _, m := range members {
		entry := build.Seen{Instance: m.ID}
		if s, ok := b.seen[m.ID]; ok && s.incarnation == m.Incarnation {
			entry.Build, entry.Since = s.build, s.since
		}
		list = append(list, entry)
	}
	return list
}

// check logs a line when the members that were linked begin to run more than one build, and
// when they run one again.
func (b *builds) check(members []peer.Member, now time.Time) {
	if now.Before(b.nextCheck) {
		return
	}
	b.nextCheck = now.Add(buildCheckInterval)
	b.forget(members, now)
	instances, unknown := map[string]int{}, 0
	for _, m := range b.of(members) {
		if m.Build == "" {
			unknown++
			continue
		}
		instances[m.Build]++
	}
	isMixed := len(instances) > 1
	if isMixed == b.isMixed {
		return
	}
	b.isMixed = isMixed
	text := "linked instances run one build again"
	if isMixed {
		text = "linked instances run more than one build"
	}
	log.WithField("builds", countsText(instances)).WithField("not_linked", unknown).Info(text)
}

// countsText returns the number of instances of each build, in order.
func countsText(instances map[string]int) string {
	var parts []string
	for name, n := range instances {
		parts = append(parts, fmt.Sprintf("%s:%d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// forget removes what has not been a member or linked for buildRetention.
func (b *builds) forget(members []peer.Member, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range members {
		if s, ok := b.seen[m.ID]; ok && s.incarnation == m.Incarnation {
			s.lastKnown = now
			b.seen[m.ID] = s
		}
	}
	for id, s := range b.seen {
		if now.Sub(s.lastKnown) > buildRetention {
			delete(b.seen, id)
		}
	}
}

// Builds returns the builds of the members, as far as links have shown them.
func (o *Overlay) Builds() []build.Seen { return o.builds.of(o.Members()) }

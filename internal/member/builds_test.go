package member

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/peer"
)

// infoLines collects the lines that are logged from level info on, until the end of the test.
func infoLines(t *testing.T) *logtest.Hook {
	level := log.Logger.GetLevel()
	log.Logger.SetLevel(logrus.InfoLevel)
	t.Cleanup(func() {
		log.Logger.SetLevel(level)
		log.Logger.ReplaceHooks(logrus.LevelHooks{})
	})
	return logtest.NewLocal(log.Logger)
}

// TestPeersBuildIsNotSeen checks that both ends of a link learn the other's build, and that an
// instance that names none is shown as such.
func TestPeersBuildIsNotSeen(t *testing.T) {
	var list growingList
	overlays := []*Overlay{
		serveBuild(t, "a", "secret", "one", &list),
		serveBuild(t, "b", "secret", "two", &list),
		serveBuild(t, "c", "secret", "", &list),
	}
	for _, o := range overlays {
		for len(o.Members()) < 3 || len(o.Neighbours()) < 2 {
			runtime.Gosched()
		}
	}
	for _, o := range overlays[:2] {
		var got []string
		for _, b := range o.Builds() {
			got = append(got, b.Instance+" "+b.Build)
			if b.Since.IsZero() {
				t.Errorf("%s does not know since when %s has its build", o.self.ID, b.Instance)
			}
		}
		if want := "a one, b two, c unstated"; strings.Join(got, ", ") != want {
			t.Errorf("%s sees %v, want %s", o.self.ID, got, want)
		}
	}
	d := overlays[0].Dump().(Dump)
	if d.Build != "one" || d.ProtocolVersion != ProtocolVersion || len(d.Members) != 2 || d.Members[0].Build != "two" || d.Members[0].BuildSince.IsZero() {
		t.Errorf("dump %+v", d)
	}
}

// TestOneEndOfLinkLearnsNoBuild checks that the instance that dials and the one that accepts
// learn the build by the same link.
func TestOneEndOfLinkLearnsNoBuild(t *testing.T) {
	var list growingList
	a := serveBuild(t, "a", "secret", "one", &list)
	for !a.spawn(func(context.Context) {}) {
		runtime.Gosched()
	}
	b, err := New(Options{Self: peer.Member{ID: "b", Address: "127.0.0.1:1"}, Secret: []byte("secret")})
	if err != nil {
		t.Fatal(err)
	}
	l, err := b.openLink(t.Context(), a.self, linkDirect)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	if got := b.builds.of([]peer.Member{a.self}); got[0].Build != "one" {
		t.Errorf("the end that dials knows %+v", got)
	}
	// The handshake of the end that accepts ends after that of the end that dials.
	var got []build.Seen
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); runtime.Gosched() {
		if got = a.builds.of([]peer.Member{b.self}); got[0].Build != "" {
			break
		}
	}
	if got[0].Build != build.ID() {
		t.Errorf("the end that accepts knows %+v", got)
	}
}

// TestMixedFleetIsNotLogged checks that each instance that is linked to one of another build logs
// one line, and one more after a rollback.
func TestMixedFleetIsNotLogged(t *testing.T) {
	hook := infoLines(t)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.build = "one"
		c.startAll(6, "r1/a", "r1/b")
		c.converge(joinBound, all)
		count := func() map[string]int {
			time.Sleep(4 * buildCheckInterval)
			lines := map[string]int{}
			for _, e := range hook.AllEntries() {
				if _, ok := e.Data["builds"]; ok {
					lines[e.Message]++
				}
			}
			hook.Reset()
			return lines
		}
		if lines := count(); len(lines) != 0 {
			t.Errorf("one build: lines %v", lines)
		}
		id := c.ids()[0]
		replace := func(name string) {
			c.leave(id)
			c.build = name
			c.start(id)
			c.converge(joinBound, all)
		}
		replace("two")
		lines, linked := count(), 0
		for other, n := range c.nodes {
			if other != id && slices.ContainsFunc(n.Builds(), func(b build.Seen) bool { return b.Instance == id && b.Build == "two" }) {
				linked++
			}
		}
		if linked < 2 || lines["linked instances run more than one build"] != linked+1 || len(lines) != 1 {
			t.Errorf("mixed: lines %v, want one of the new instance and of each of the %d that it is linked to", lines, linked)
		}
		replace("one")
		if lines := count(); lines["linked instances run one build again"] != linked || len(lines) != 1 {
			t.Errorf("rolled back: lines %v, want one of each of the %d instances", lines, linked)
		}
	})
}

// TestBuildOfUnprovenPeerIsKept checks that the header of an instance without the shared secret
// names no build.
func TestBuildOfUnprovenPeerIsKept(t *testing.T) {
	var list growingList
	a := serve(t, "a", "secret", &list)
	for !a.spawn(func(context.Context) {}) {
		runtime.Gosched()
	}
	stranger, err := New(Options{Self: peer.Member{ID: "b", Address: "127.0.0.1:1"}, Secret: []byte("other")})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stranger.openLink(t.Context(), a.self, linkOverlay); err == nil {
		t.Fatal("a link with a wrong secret was opened")
	}
	for _, b := range append(a.builds.of([]peer.Member{{ID: "b"}}), stranger.builds.of([]peer.Member{a.self})...) {
		if b.Build != "" {
			t.Errorf("build %q of %s is known without proof", b.Build, b.Instance)
		}
	}
}

// TestLongBuildNameIsKept checks that the name that another instance gives is bounded.
func TestLongBuildNameIsKept(t *testing.T) {
	name, ok := buildOf(webSocketConn{build: strings.Repeat("x", 10*maxBuildBytes)})
	if !ok || len(name) != maxBuildBytes {
		t.Errorf("%d bytes kept, want %d", len(name), maxBuildBytes)
	}
}

// TestLinkHeaderEndsLinksOfOlderBuilds checks that the header neither replaces nor adds to what
// a WebSocket handshake needs.
func TestLinkHeaderEndsLinksOfOlderBuilds(t *testing.T) {
	seen := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.WriteHeader(http.StatusTeapot)
	}))
	t.Cleanup(server.Close)
	if _, err := NewWebSocketDialer(nil).Dial(t.Context(), strings.TrimPrefix(server.URL, "http://")); err == nil {
		t.Fatal("a refused handshake gave a connection")
	}
	h := <-seen
	if h.Get(buildHeader) != build.ID() || h.Get("Upgrade") != "websocket" || h.Get("Sec-WebSocket-Key") == "" {
		t.Errorf("header %v", h)
	}
}

// TestMixedFleetIsLoggedWrongly checks that there is one line when linked members begin to run
// more than one build and one when they run one again, at most one in buildCheckInterval, and
// that members without a link are counted and not taken for a build.
func TestMixedFleetIsLoggedWrongly(t *testing.T) {
	hook := infoLines(t)
	member := func(id string, incarnation uint64) peer.Member { return peer.Member{ID: id, Incarnation: incarnation} }
	now := time.Unix(1_000_000, 0)
	self := member("a", 1)
	b := newBuilds(self, "one", now)
	step := func(what, want string, after time.Duration, members ...peer.Member) {
		t.Helper()
		now = now.Add(after)
		hook.Reset()
		b.check(members, now)
		var got []string
		for _, e := range hook.AllEntries() {
			got = append(got, fmt.Sprintf("%s: %v, not linked %v", e.Message, e.Data["builds"], e.Data["not_linked"]))
		}
		if strings.Join(got, "; ") != want {
			t.Errorf("%s: lines %q, want %q", what, got, want)
		}
	}
	const mixed, whole = "linked instances run more than one build: ", "linked instances run one build again: "
	step("alone", "", 0, self)
	step("not linked", "", buildCheckInterval, self, member("b", 1), member("c", 1))
	b.note(member("b", 1), "one", now)
	step("one build", "", buildCheckInterval, self, member("b", 1), member("c", 1))
	b.note(member("b", 2), "two", now)
	step("within the interval", "", buildCheckInterval/2, self, member("b", 2), member("c", 1))
	step("mixed", mixed+"one:1 two:1, not linked 1", buildCheckInterval/2, self, member("b", 2), member("c", 1))
	b.note(member("b", 1), "one", now) // a link of the process before ends late
	b.note(member("c", 1), build.Unstated, now)
	step("still mixed", "", buildCheckInterval, self, member("b", 2), member("c", 1))
	b.note(member("c", 2), "one", now)
	step("the other one left", whole+"one:2, not linked 0", buildCheckInterval, self, member("c", 2))
	step("it is back", mixed+"one:2 two:1, not linked 0", buildCheckInterval, self, member("b", 2), member("c", 2))
	step("it started again, not linked yet", whole+"one:2, not linked 1", buildCheckInterval, self, member("b", 3), member("c", 2))
	step("only this one is left", "", 2*buildRetention, self)
	if len(b.seen) != 1 {
		t.Errorf("builds of %d instances are kept, want this one's", len(b.seen))
	}
}

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/build"
)

// serveView serves the state dump of an instance and returns its address.
func serveView(t *testing.T, view build.View) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+admin.PathHostedDump, func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(view); err != nil {
			t.Error(err)
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// TestBuildsOfInstancesAreShownWrongly checks that an instance's own word counts before what
// others have seen, the latest of that before the rest, and that an instance without a link or
// a name for its build is not shown with the build of another.
func TestBuildsOfInstancesAreShownWrongly(t *testing.T) {
	early, late := time.Unix(1_000_000, 0), time.Unix(1_000_060, 0)
	one := serveView(t, build.View{Instance: "a", Build: "new", Builds: []build.Seen{
		{Instance: "a", Build: "new", Since: early}, {Instance: "b", Build: "old", Since: late}, {Instance: "c", Build: "new", Since: late},
		{Instance: "d"}, {Instance: "e", Build: build.Unstated, Since: early},
	}})
	two := serveView(t, build.View{Instance: "b", Build: "new", Builds: []build.Seen{
		{Instance: "a", Build: "old", Since: late}, {Instance: "b", Build: "new", Since: early}, {Instance: "c", Build: "old", Since: early}, {Instance: "d"},
	}})
	d := &deployment{t: t, urls: []string{one + "," + two}}
	const want = `INSTANCE BUILD SINCE SEEN BY
a new 1970-01-12T13:46:40Z a
b new 1970-01-12T13:46:40Z b
c new 1970-01-12T13:47:40Z a
d not linked - a
e unstated 1970-01-12T13:46:40Z a
`
	code, out, errOut := d.run(0, "builds")
	if got := regexp.MustCompile(` +`).ReplaceAllString(out, " "); code != exitOK || got != want {
		t.Errorf("exit code %d, %s%s, want %s", code, out, errOut, want)
	}
	// An address that does not answer is named, and the others are shown.
	code, out, errOut = d.run(0, "builds", "--address", two+",127.0.0.1:1")
	if code == exitOK || !strings.Contains(out, "b ") || !strings.Contains(errOut, "127.0.0.1:1") {
		t.Errorf("exit code %d, %s%s", code, out, errOut)
	}
	d.want(exitUnavailable, "no instance is reachable", 0, "builds", "--address", "127.0.0.1:1")
	noDump := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(noDump.Close)
	d.want(exitUnavailable, "no instance answered", 0, "builds", "--address", noDump.URL)
	// An instance that has not joined the others yet, and one of a build that names none.
	d.want(exitOK, "x         new  ", 0, "builds", "--address", serveView(t, build.View{Instance: "x", Build: "new"}))
	d.want(exitOK, "x         unstated  ", 0, "builds", "--address", serveView(t, build.View{Instance: "x"}))
}

// TestVersionIsNotPrinted checks that --version needs no command and no instance.
func TestVersionIsNotPrinted(t *testing.T) {
	d := &deployment{t: t, urls: []string{"127.0.0.1:1"}}
	d.want(exitOK, "banyanctl "+build.ID()+"\n", 0, "--version")
}

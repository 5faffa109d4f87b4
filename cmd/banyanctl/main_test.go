package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

// bootstrapToken is the bootstrap token of the instances.
const bootstrapToken = "root-token"

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// deployment is two instances that share a store.
type deployment struct {
	t     *testing.T
	table *memstore.Store
	urls  []string
	// replicas are the catalogue replicas of the instances.
	replicas []*catalogue.Replica
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, table: memstore.New()}
	net := peertest.NewNet(0)
	for _, id := range []string{"i1", "i2"} {
		bus := net.Join(peer.Member{ID: id})
		store := catalogue.NewStore(d.table)
		replica := catalogue.NewReplica(store, bus, catalogue.Options{Seed: 1})
		dumps := &admin.Dumps{}
		dumps.Register("part", func() any { return map[string]int{"x": 1} })
		server := httptest.NewServer(admin.NewHandler(admin.Options{
			Store: store, Replica: replica, Bus: bus, Dumps: dumps, BootstrapTokenSHA256: hashOf(bootstrapToken), Drain: func() {},
		}))
		t.Cleanup(server.Close)
		d.urls = append(d.urls, server.URL)
		d.replicas = append(d.replicas, replica)
	}
	for _, replica := range d.replicas {
		snap, err := catalogue.NewStore(d.table).Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		replica.Install(snap)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go replica.Run(ctx)
	}
	return d
}

// run runs banyanctl against one instance.
func (d *deployment) run(instance int, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	args = append([]string{"--address", d.urls[instance], "--token", bootstrapToken}, args...)
	code = run(d.t.Context(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// want runs banyanctl and checks its exit code and that its output contains a text.
func (d *deployment) want(code int, text string, instance int, args ...string) {
	d.t.Helper()
	got, out, errOut := d.run(instance, args...)
	if got != code || !strings.Contains(out+errOut, text) {
		d.t.Fatalf("%v: exit code %d, want %d with %q\n%s%s", args, got, code, text, out, errOut)
	}
}

// file writes a temporary file and returns its path.
func (d *deployment) file(text string) string {
	path := filepath.Join(d.t.TempDir(), "entries.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

const entriesYAML = `kind: model
name: m
owner: models
model: {version: v1}
---
kind: workspace
name: alpha
owner: a
limits: {concurrent: 5, timeout: 30s}
workspace:
  key_sha256: [` + "\"0000000000000000000000000000000000000000000000000000000000000000\"" + `]
  models: [m]
`

// TestOperatorWorkflow checks the exit codes and outputs of the commands in the
// order in which an operator uses them.
func TestOperatorWorkflow(t *testing.T) {
	d := newDeployment(t)
	file := d.file(entriesYAML)
	d.want(exitOK, "would be revision 1", 0, "apply", "-f", file, "--dry-run")
	d.want(exitOK, "revision 1", 0, "apply", "-f", file, "--id", "e1")
	d.want(exitOK, "accepted earlier", 0, "apply", "-f", file, "--id", "e1")
	d.want(exitOK, "concurrent: 5", 0, "get", "workspace/alpha", "-o", "yaml")
	d.want(exitOK, "revision 2", 0, "edit", "workspace/alpha", "--set", "limits.concurrent=7", "--wait", "10s")
	d.want(exitOK, `"concurrent": 7`, 0, "list", "workspace", "-o", "json")
	d.want(exitDifferent, "+   concurrent: 7", 0, "diff", "1", "2")
	d.want(exitDifferent, "+   concurrent: 5", 0, "diff", "-f", file)
	d.want(exitConflict, "changed since revision 1", 0, "edit", "workspace/alpha", "--set", "class=batch", "--base", "1")
	d.want(exitOK, "revision 3", 0, "undo", "2")
	d.want(exitConflict, "changed since", 0, "undo", "2")
	d.want(exitInvalid, "workspace.models[0]: the catalogue has no model/m", 0, "delete", "model/m")
	d.want(exitNotFound, "no workspace/beta", 0, "get", "workspace/beta")
	d.want(exitOK, "undo revision 2", 0, "history")
	d.want(exitOK, "i2", 0, "status")
	d.want(exitOK, build.ID(), 0, "status")
	d.want(exitOK, `"x": 1`, 0, "dump", "part")
	d.want(exitOK, `"revision": 3`, 0, "dump", "catalogue")
	d.want(exitOK, "graceful shutdown started", 0, "drain")
	d.table.SetFaults(memstore.Faults{Down: true})
	d.want(exitUnavailable, "retry after", 0, "edit", "workspace/alpha", "--set", "class=batch")
}

// TestEditThroughAnyInstance checks that an edit accepted by one instance is applied
// on another.
func TestEditThroughAnyInstance(t *testing.T) {
	d := newDeployment(t)
	d.want(exitOK, "revision 1", 1, "apply", "-f", d.file(entriesYAML))
	installed := make(chan struct{})
	d.replicas[0].Subscribe(func(snap *catalogue.Snapshot) {
		if snap.Revision() == 1 {
			close(installed)
		}
	})
	<-installed
	d.want(exitOK, "workspace  alpha", 0, "get", "workspace/alpha")
}

// TestInvalidFilesReportLineAndField checks that errors in files of entries are
// reported with line and field, and that nothing is applied.
func TestInvalidFilesReportLineAndField(t *testing.T) {
	d := newDeployment(t)
	cases := map[string]struct{ text, want string }{
		"unknown field": {"kind: model\nname: m\nowner: o\nmodel: {version: v, colour: red}\n", ":4: model.colour: unknown field; allowed are adapters"},
		"unit":          {"kind: model\nname: m\nowner: o\nlimits:\n  timeout: 30\nmodel: {version: v}\n", ":5:"},
		"range":         {"kind: model\nname: m\nowner: o\nlimits:\n  concurrent: -1\nmodel: {version: v}\n", ":5: model/m: limits.concurrent: -1 is out of range; allowed is 0 to 1000000"},
		"reference":     {"kind: upstream\nname: u\nowner: o\nupstream:\n  url: http://127.0.0.1:1\n  data_centre: d\n  models:\n  - absent\n", ":8: upstream/u: upstream.models[0]: the catalogue has no model/absent"},
	}
	for name, c := range cases {
		t.Log(name)
		d.want(exitInvalid, c.want, 0, "apply", "-f", d.file(c.text))
	}
	d.want(exitOK, "[]", 0, "list", "-o", "json")
}

// TestTokens checks that unknown tokens are refused, that the bootstrap token is
// refused once there is an operator entry, and that operators cannot exceed their
// owners: in edits, in the rights that they grant, and in draining an instance.
func TestTokens(t *testing.T) {
	d := newDeployment(t)
	d.want(exitForbidden, "unknown", 0, "list", "--token", "wrong")
	file := d.file("kind: operator\nname: ann\nowner: a\noperator: {token_sha256: \"" + hashOf("ann") + "\", owners: [a]}\n")
	d.want(exitOK, "revision 1", 0, "apply", "-f", file)
	d.want(exitForbidden, "unknown", 0, "list")
	d.want(exitForbidden, "may not edit entries of", 0, "apply", "-f", d.file("kind: model\nname: m\nowner: b\nmodel: {version: v}\n"), "--token", "ann")
	grant := d.file("kind: operator\nname: eve\nowner: a\noperator: {token_sha256: \"" + hashOf("eve") + "\", owners: [\"*\"]}\n")
	d.want(exitForbidden, "may not grant", 0, "apply", "-f", grant, "--token", "ann")
	d.want(exitForbidden, "only an operator of all owners", 0, "drain", "--token", "ann")
}

// TestNextAddressIsTriedAfterUnreachable checks that the next address is tried when
// an instance cannot be reached, and the exit code if there is none left.
func TestNextAddressIsTriedAfterUnreachable(t *testing.T) {
	d := newDeployment(t)
	d.want(exitOK, "[]", 0, "list", "-o", "json", "--address", "127.0.0.1:1,"+d.urls[0])
	d.want(exitUnavailable, "no instance is reachable", 0, "list", "--address", "127.0.0.1:1")
	d.want(exitUnavailable, "no instance is reachable", 0, "delete", "model/m", "--address", "127.0.0.1:1")
}

// TestHelpAndCompletion checks the help texts and the completion scripts.
func TestHelpAndCompletion(t *testing.T) {
	d := newDeployment(t)
	d.want(exitOK, "Exit codes:", 0, "--help")
	d.want(exitOK, "Example: banyanctl get", 0, "get", "--help")
	for _, shell := range []string{"bash", "zsh", "fish"} {
		d.want(exitOK, "GO_FLAGS_COMPLETION=1", 0, "completion", shell)
	}
	d.want(exitFailure, "allowed are bash", 0, "completion", "csh")
}

// TestEditOutcomeStaysUnknown checks that after an edit whose outcome is unknown,
// errors of an unavailable store on the retries do not decide its outcome, and that
// all attempts carry the same edit ID.
func TestEditOutcomeStaysUnknown(t *testing.T) {
	sent := 0
	ids := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			io.WriteString(w, `{"revision":0,"entries":[]}`)
			return
		}
		var edit catalogue.Edit
		json.NewDecoder(r.Body).Decode(&edit)
		ids[edit.ID] = true
		code := result.EditUnknown
		if sent++; sent > 1 {
			code = result.StoreUnavailable
		}
		w.WriteHeader(code.Info().Status)
		json.NewEncoder(w).Encode(admin.ErrorAnswer{Error: admin.ErrorBody{Code: code, Name: code.String()}})
	}))
	t.Cleanup(server.Close)
	d := &deployment{t: t, urls: []string{server.URL}}
	d.want(exitUnknown, "--id e9", 0, "apply", "-f", d.file(entriesYAML), "--id", "e9", "--retry-pause", "1us")
	if sent != maxEditAttempts || len(ids) != 1 {
		t.Fatalf("sent %d times with IDs %v, want every attempt with one ID", sent, ids)
	}
}

// TestInstancesBehind checks that only reachable instances below the revision are
// returned.
func TestInstancesBehind(t *testing.T) {
	status := admin.Status{Instances: []admin.InstanceStatus{
		{ID: "a", Phase: admin.PhaseReady, Revision: 3}, {ID: "b", Phase: admin.PhaseReady, Revision: 2}, {ID: "c", Phase: admin.PhaseUnreachable},
	}}
	if got := instancesBehind(status, 3); len(got) != 1 || got[0] != "b" {
		t.Fatalf("got %v, want [b]", got)
	}
}

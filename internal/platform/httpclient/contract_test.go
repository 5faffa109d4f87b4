package httpclient

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/standin/platformd"
)

// contractSeed is the default seed of the generated calls; -rapid.seed sets another.
const contractSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set(contractSeed)
	}
	flag.Lookup("rapid.nofailfile").Value.Set("true")
	os.Exit(m.Run())
}

// pair is the same table twice: in memory, and behind the client and a server.
type pair struct {
	memory *memstore.Store
	client *Client
	server *httptest.Server
	// commits is the number of commits made.
	commits int
}

func newPair() *pair {
	server := httptest.NewServer(platformd.New(platformd.Settings{}))
	return &pair{memory: memstore.New(), client: New(Options{BaseURL: server.URL}), server: server}
}

func (p *pair) setFaults(rt *rapid.T, f memstore.Faults) {
	p.memory.SetFaults(f)
	body, err := json.Marshal(platformd.Faults{Faults: f})
	if err != nil {
		rt.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, p.server.URL+"/standin/faults", bytes.NewReader(body))
	if err != nil {
		rt.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode >= http.StatusMultipleChoices {
		rt.Fatalf("setting faults: %v, %v", resp, err)
	}
	resp.Body.Close()
}

// sameError reports whether two errors are of the same kind.
func sameError(a, b error) bool {
	for _, kind := range []error{platform.ErrUnavailable, platform.ErrUnknownOutcome} {
		if errors.Is(a, kind) != errors.Is(b, kind) {
			return false
		}
	}
	return (a == nil) == (b == nil)
}

// sameRows reports whether two lists of rows are equal; an absent value may be nil
// or empty.
func sameRows(a, b []platform.Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		if !bytes.Equal(x.Value, y.Value) {
			return false
		}
		x.Value, y.Value = nil, nil
		if !reflect.DeepEqual(x, y) {
			return false
		}
	}
	return true
}

// commit makes the same commit on both tables and compares the results.
func (p *pair) commit(rt *rapid.T, key string) {
	p.commits++
	version := platform.Version(rapid.IntRange(0, p.commits).Draw(rt, "version"))
	txn := platform.Txn{
		ID:         fmt.Sprint(p.commits),
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: []byte(rapid.String().Draw(rt, "value")), Delete: rapid.Bool().Draw(rt, "delete")}},
	}
	want, wantErr := p.memory.Commit(rt.Context(), txn)
	got, err := p.client.Commit(rt.Context(), txn)
	if !sameError(err, wantErr) || got.Committed != want.Committed || !sameRows(got.Rows, want.Rows) {
		rt.Fatalf("commit %+v: got %+v, %v; want %+v, %v", txn, got, err, want, wantErr)
	}
}

// read makes the same read and scan on both tables and compares the results.
func (p *pair) read(rt *rapid.T, key string) {
	want, wantErr := p.memory.Read(rt.Context(), key, "b")
	got, err := p.client.Read(rt.Context(), key, "b")
	if !sameError(err, wantErr) || !sameRows(got, want) {
		rt.Fatalf("read: got %+v, %v; want %+v, %v", got, err, want, wantErr)
	}
	want, wantErr = p.memory.Scan(rt.Context(), "", key, 2)
	got, err = p.client.Scan(rt.Context(), "", key, 2)
	if !sameError(err, wantErr) || !sameRows(got, want) {
		rt.Fatalf("scan: got %+v, %v; want %+v, %v", got, err, want, wantErr)
	}
}

// TestClientMatchesMemstore checks that the same calls with the same faults give
// the same answers and errors in memory and over HTTP.
func TestClientMatchesMemstore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPair()
		defer p.server.Close()
		for range rapid.IntRange(1, 15).Draw(rt, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c/d"}).Draw(rt, "key")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				p.setFaults(rt, memstore.Faults{LoseAnswers: 1})
			case 1:
				p.setFaults(rt, memstore.Faults{LoseWrites: 1})
			case 2:
				p.setFaults(rt, memstore.Faults{Down: rapid.Bool().Draw(rt, "down")})
			case 3:
				p.read(rt, key)
			default:
				p.commit(rt, key)
			}
		}
	})
}

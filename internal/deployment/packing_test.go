package deployment

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"
)

// manyRoutes returns a configuration with n routes that differ in their names, paths and services.
func manyRoutes(n int) *Configuration {
	random := rand.New(rand.NewPCG(1, 2))
	name := func() string { return fmt.Sprintf("%07x", random.Uint32()&0xfffffff) }
	c := &Configuration{Version: 1, Services: map[string]Service{}}
	for range n {
		c.Routes = append(c.Routes, Route{
			Name: "r-" + name(), Host: "noba56.example", Prefix: "/" + name() + "/", Kind: Stream, Resumable: true,
			Targets: []Target{{Service: "baje6a", Weight: 1}}, Timeout: 10 * time.Second, FirstAnswer: 300 * time.Millisecond,
			MaxPause: 250 * time.Millisecond, MaxAttempts: 2, Generation: true, Priority: 1,
		})
	}
	return c
}

// TestLargeConfigurationsLeaveRoomOnLinks guards against a relay whose link is taken by a change of a
// large configuration: an instance that is also the home of a service answers no placement call
// meanwhile, and the others plan without knowing each other's jobs.
func TestLargeConfigurationsLeaveRoomOnLinks(t *testing.T) {
	const (
		routes    = 1250
		followers = 16
		// A call to a home is given up after 80 ms; the slowest links of large fleets that have
		// relays have 48 Mbit/s.
		linkBytes = 48e6 / 8 * 80 / 1000
	)
	u := Update{Complete: true, Revision: Revision{Number: 7}, Config: manyRoutes(routes)}
	packed, err := pack(u)
	if err != nil {
		t.Fatal(err)
	}
	if size := followers * len(packed); size > linkBytes {
		t.Errorf("%d followers get %d bytes each; the link carries %d in all in that time", followers, len(packed), int(linkBytes))
	}
	read, err := unpack(packed, "i0")
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, u) {
		t.Error("the configuration has changed on the way")
	}
}

// TestDamagedPackedUpdateIsRefused guards against a damaged snapshot that is applied in part.
func TestDamagedPackedUpdateIsRefused(t *testing.T) {
	packed, err := pack(Update{Complete: true, Config: manyRoutes(20)})
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{packed[:len(packed)/2], packed[1:], {0xff}} {
		if _, err := unpack(data, "i0"); err == nil {
			t.Errorf("%d of %d bytes were read as an update", len(data), len(packed))
		}
	}
}

// TestBuildsThatReadNoPackedSnapshots guards against an instance of d3ebc58 that gets news which it
// cannot read: it does not say that it accepts them.
func TestBuildsThatReadNoPackedSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Follower{state: NewState(), source: fixedSource{}, version: 3, news: make(chan struct{}), answeredAt: time.Now()}
		f.state.SetConfiguration(manyRoutes(2), time.Now())
		if a := f.waitForNews(t.Context(), followRequest{}); a.News == nil || len(a.Packed) > 0 {
			t.Error("a caller that does not say so gets a compressed snapshot")
		}
		if a := f.waitForNews(t.Context(), followRequest{AcceptsPacked: true}); a.News != nil || len(a.Packed) == 0 {
			t.Error("a caller that accepts it gets no compressed snapshot")
		}
	})
}

// fixedSource is a source of configurations that is never called.
type fixedSource struct{ Source }

func (fixedSource) Content() Content { return Configurations }

package catalogue

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestEditIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		settle(time.Second)
		rev := f.mustPut("i3", workspace("alpha", "a", 5), model("m", "v1"))
		f.wantAll(rev, 100*time.Millisecond)
		for id, n := range f.nodes {
			if e := n.Snapshot().WorkspaceByKeyHash(hashOf("alpha")); e == nil || e.Limits.Concurrent != 5 {
				t.Errorf("%s has entry %+v", id, e)
			}
		}
	})
}

func TestInstanceCutOffAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		settle(time.Second)
		f.wantAll(f.mustPut("i0", model("m", "v1")), time.Second)
		f.cut("i4", true)
		rev := f.mustPut("i1", model("m", "v2"))
		f.cut("i4", false)
		f.wantAll(rev, 5*time.Second)
	})
}

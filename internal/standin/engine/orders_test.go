package engine

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSettings()
		e := start(t, s)
		time.Sleep(time.Second)
		r := submit(t, e, request("a", 5000, 1000))
		e.SetLeaving(true)
		synctest.Wait()
		if load := e.Load(); load.QueuedPromptTokens != 0 || load.Leaving || len(load.Requests) != 0 {
			t.Errorf("load reported without lag: %+v", load)
		}
		time.Sleep(s.ReportLag)
		load := e.Load()
		if load.QueuedPromptTokens != 5000 || !load.Leaving || !slices.Equal(load.Requests, []string{"a"}) || load.AgeMs != 200 {
			t.Errorf("load not reported after the lag: %+v", load)
		}
		finishTime(t, r, time.Now())
		time.Sleep(s.ReportLag)
		if load := e.Load(); load.UsedTokens != 0 || load.RunningStreams != 0 {
			t.Errorf("load after the end: %+v", load)
		}
	})
}

func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := []byte("secret")
		s := testSettings()
		s.Fencing, s.OrderKey = true, key
		e := start(t, s)
		load := upstream.Order{ID: "1", Kind: upstream.OrderLoadModel, Model: "n", Version: "2", Fence: 7, Issuer: "i1"}
		wantStatus(t, e.Order(load), http.StatusForbidden)
		if err := e.Order(load.Sign(key)); err != nil {
			t.Fatal(err)
		}
		old := upstream.Order{ID: "2", Kind: upstream.OrderUnloadModel, Model: "m", Fence: 6, Issuer: "i2"}
		wantStatus(t, e.Order(old.Sign(key)), http.StatusPreconditionFailed)
		req := request("a", 10, 1)
		req.Model = "n"
		_, err := e.Submit(req)
		wantStatus(t, err, http.StatusNotFound)
		time.Sleep(s.LoadTime)
		finishTime(t, submit(t, e, req), time.Now())
		role := upstream.Order{ID: "3", Kind: upstream.OrderSetRole, Role: upstream.RoleDecode, Fence: 8}
		if err := e.Order(role.Sign(key)); err != nil {
			t.Fatal(err)
		}
		obs := e.Observed()
		if obs.Fence != 8 || obs.Role != upstream.RoleDecode || len(obs.Models) != 2 || obs.Models[1].Loading {
			t.Errorf("observed %+v", obs)
		}
	})
}

func TestEngineWithoutFencingAcceptsOldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		for _, fence := range []uint64{7, 3} {
			o := upstream.Order{ID: fmt.Sprint(fence), Kind: upstream.OrderUnloadModel, Model: "m", Fence: fence}
			if err := e.Order(o); err != nil {
				t.Fatal(err)
			}
		}
		if obs := e.Observed(); obs.Fence != 0 || len(obs.Models) != 0 {
			t.Errorf("observed %+v", obs)
		}
	})
}

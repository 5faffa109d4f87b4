package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/quota"
)

// dataCentres is the layout of the fleet: five data centres in two regions.
var dataCentres = []struct{ region, name string }{{"r1", "a"}, {"r1", "b"}, {"r1", "c"}, {"r2", "d"}, {"r2", "e"}}

// topic is the topic of the broadcasts that put load on the fleet.
const topic peer.Topic = "capacity"

// node is one instance: an overlay, and a limiter if the scenario takes quota.
type node struct {
	overlay *member.Overlay
	limiter *quota.Limiter
	server  *http.Server
}

// fleet runs a number of instances in this process.
type fleet struct {
	nodes    []*node
	liveList []platform.LiveListEntry
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// List implements platform.LiveList. The list is complete before the first
// node runs.
func (f *fleet) List(context.Context) ([]platform.LiveListEntry, error) { return f.liveList, nil }

func startFleet(n int, s scenario) (*fleet, error) {
	f := &fleet{}
	listeners := make([]net.Listener, n)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners[i] = l
		centre := dataCentres[i%len(dataCentres)]
		f.liveList = append(f.liveList, platform.LiveListEntry{
			ID:         fmt.Sprintf("n%03d", i),
			Role:       "instance",
			Address:    l.Addr().String(),
			DataCentre: centre.name,
			Region:     centre.region,
			Phase:      platform.Live,
		})
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	for i, l := range listeners {
		if err := f.startNode(ctx, f.liveList[i], l, s); err != nil {
			f.stop()
			return nil, err
		}
	}
	if s.broadcastRate > 0 {
		f.wg.Go(func() { f.broadcast(ctx, s) })
	}
	return f, nil
}

func (f *fleet) startNode(ctx context.Context, listed platform.LiveListEntry, l net.Listener, s scenario) error {
	self := peer.Member{
		ID:          listed.ID,
		Incarnation: 1,
		Address:     listed.Address,
		DataCentre:  listed.DataCentre,
		Region:      listed.Region,
	}
	o, err := member.New(member.Options{Self: self, Secret: []byte("capacity"), LiveList: f})
	if err != nil {
		return err
	}
	o.HandleBroadcast(topic, func(string, []byte) {})
	n := &node{overlay: o, server: &http.Server{Handler: o.Handler()}}
	f.nodes = append(f.nodes, n)
	f.wg.Go(func() { _ = n.server.Serve(l) })
	if s.takeRate > 0 {
		n.limiter = quota.New(o, quota.Options{Listed: o.Listed})
		n.limiter.SetLimits(limits(s, len(f.liveList)))
		f.wg.Go(func() { _ = n.limiter.Run(ctx) })
		f.wg.Go(func() { takeQuota(ctx, n.limiter, s) })
	}
	f.wg.Go(func() { _ = o.Run(ctx) })
	return nil
}

// The workspaces of requests follow a Zipf distribution with these parameters.
// Each request takes tokensPerTake tokens.
const (
	zipfSkew      = 1.1
	zipfOffset    = 5
	tokensPerTake = 1000
)

// limits returns the limits of each workspace. They are far above its demand, or,
// if the scenario has a headroom, proportional to its demand in a fleet of n nodes.
func limits(s scenario, n int) map[string]catalogue.Limits {
	all := make(map[string]catalogue.Limits, s.workspaces)
	weights := 0.0
	for i := range s.workspaces {
		weights += zipfWeight(i)
	}
	for i := range s.workspaces {
		l := catalogue.Limits{RequestsPerSecond: 1e5, TokensPerSecond: 1e8, Concurrent: 1e5}
		if s.headroom > 0 {
			rate := s.headroom * s.takeRate * float64(n) * zipfWeight(i) / weights
			l = catalogue.Limits{RequestsPerSecond: rate, TokensPerSecond: rate * tokensPerTake}
		}
		all[workspaceName(i)] = l
	}
	return all
}

func zipfWeight(i int) float64 { return math.Pow(zipfOffset+float64(i), -zipfSkew) }

func workspaceName(i int) string { return fmt.Sprintf("workspace-%04d", i) }

// takeQuota takes quota at the rate of the scenario, for workspaces that follow the
// Zipf distribution.
func takeQuota(ctx context.Context, l *quota.Limiter, s scenario) {
	random := rand.New(rand.NewPCG(rand.Uint64(), 1))
	zipf := rand.NewZipf(random, zipfSkew, zipfOffset, uint64(s.workspaces-1))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.takeRate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if p, err := l.Take(workspaceName(int(zipf.Uint64())), tokensPerTake); err == nil {
				p.Done(tokensPerTake)
			}
		}
	}
}

// broadcast sends broadcasts from random nodes at the rate of the scenario.
func (f *fleet) broadcast(ctx context.Context, s scenario) {
	payload := make([]byte, s.broadcastBytes)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.broadcastRate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.nodes[rand.N(len(f.nodes))].overlay.Broadcast(topic, payload)
		}
	}
}

// awaitMembers waits until each node sees all others.
func (f *fleet) awaitMembers(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		complete := 0
		for _, n := range f.nodes {
			if len(n.overlay.Members()) == len(f.nodes) {
				complete++
			}
		}
		if complete == len(f.nodes) {
			return nil
		}
		if time.Now().After(deadline) {
			first := f.nodes[0].overlay
			return fmt.Errorf("%d of %d nodes see all members; the first sees %d and has %d links",
				complete, len(f.nodes), len(first.Members()), len(first.Neighbours()))
		}
	}
}

func (f *fleet) stop() {
	f.cancel()
	for _, n := range f.nodes {
		_ = n.server.Close()
	}
	f.wg.Wait()
}

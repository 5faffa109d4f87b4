package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// crashPath is contained in the paths of requests that crash the upstreams that run
// them.
const crashPath = "/crash-"

// Requests that crash upstreams. The users allow maxLateSends sends of one later than
// containmentTime after it has crashed the third upstream.
const (
	containmentTime  = 3 * time.Second
	maxLateSends     = 3
	crashSends       = 40
	maxCrashInterval = 400 * time.Millisecond
	maxCrashDowntime = 1500 * time.Millisecond
	maxCrashPause    = 4 * time.Second
)

// crashUpstreams sends requests that crash the upstreams that run them, one after the
// other and each many times, until ctx ends. It checks that each is contained.
func (s *soakRun) crashUpstreams(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		kind := requestKinds[r.IntN(len(requestKinds))]
		path := strings.TrimSuffix(kind.path, "/x") + fmt.Sprintf("%s%d/", crashPath, n)
		s.report.fault("request that crashes upstreams: " + kind.name)
		for i := 0; i < crashSends && ctx.Err() == nil; i++ {
			p := s.instances[r.IntN(len(s.instances))]
			callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
			// The answer does not matter: the check is of what upstreams receive.
			_, _, _ = exchange(callCtx, client, p.frontAddress, call{kind.method, path, fmt.Sprintf("crash-%d-%d", n, i), "the same body"})
			cancel()
			sleep.For(ctx, time.Duration(r.Int64N(int64(maxCrashInterval))))
		}
		s.report.check(crashesContained, s.lateSends(path))
		sleep.For(ctx, time.Duration(r.Int64N(int64(maxCrashPause))))
	}
}

// crashOf returns how an upstream crashes.
func crashOf(r *rand.Rand) platformtest.Crash {
	return platformtest.Crash{
		Path: crashPath, Events: r.IntN(2), Silent: r.IntN(4) == 0,
		Downtime: time.Duration(r.Int64N(int64(maxCrashDowntime))),
	}
}

// lateSends returns the problem if a request was sent too often after it had crashed
// three upstreams.
func (s *soakRun) lateSends(path string) string {
	var runs []platformtest.Run
	for _, u := range append(s.upstreamsOf(platformtest.EngineService), s.upstreamsOf(platformtest.PlainService)...) {
		for _, run := range u.Runs() {
			if run.Path == path {
				runs = append(runs, run)
			}
		}
	}
	if len(runs) < 3 {
		return ""
	}
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	late := 0
	for _, run := range runs[3:] {
		if run.At.After(runs[2].At.Add(containmentTime)) {
			late++
		}
	}
	return problemIf(late > maxLateSends, "%s was sent %d times, %d of them later than %s after the third crash", path, len(runs), late, containmentTime)
}

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

// crashPart begins the IDs of prompt parts that crash the upstreams that run a request
// with one.
const crashPart = "bad"

// Requests that crash upstreams. The users allow maxLateSends sends of one later than
// containmentTime after it has crashed the upstream with number boundedCrash, and of those
// with one part after it has crashed the one with number boundedPartCrash.
const (
	containmentTime  = 3 * time.Second
	maxLateSends     = 3
	boundedCrash     = 3
	boundedPartCrash = 5
	crashSends       = 40
	maxCrashInterval = 400 * time.Millisecond
	maxCrashDowntime = 1500 * time.Millisecond
	maxCrashPause    = 4 * time.Second
)

// crashUpstreams sends requests that crash the upstreams that run them, one after the
// other and each many times, until ctx ends. Every other time these are requests that have
// only a part of their prompt in common. It checks that each is contained.
func (s *soakRun) crashUpstreams(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		kind := requestKinds[r.IntN(len(requestKinds))]
		path := strings.TrimSuffix(kind.path, "/x") + fmt.Sprintf("%s%d/", crashPath, n)
		part := ""
		if n%2 == 1 {
			kind, part = requestKinds[0], fmt.Sprint(crashPart, n)
			path = kind.path
		}
		s.report.fault("request that crashes upstreams: " + kind.name + " " + part)
		for i := 0; i < crashSends && ctx.Err() == nil; i++ {
			p := s.instances[r.IntN(len(s.instances))]
			callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
			// The answer does not matter: the check is of what upstreams receive.
			c := call{method: kind.method, path: path, id: fmt.Sprintf("crash-%d-%d", n, i), body: "the same body"}
			if part != "" {
				c.body, c.parts = c.id, []string{fmt.Sprint("f", i%soundParts), part, c.id}
			}
			_, _, _ = exchange(callCtx, client, p.frontAddress, c)
			cancel()
			sleep.For(ctx, time.Duration(r.Int64N(int64(maxCrashInterval))))
		}
		if part != "" {
			s.report.check(crashesContained, s.lateSends(part, boundedPartCrash, func(r platformtest.Run) bool { return slices.Contains(r.PromptParts, part) }))
		} else {
			s.report.check(crashesContained, s.lateSends(path, boundedCrash, func(r platformtest.Run) bool { return r.Path == path }))
		}
		sleep.For(ctx, time.Duration(r.Int64N(int64(maxCrashPause))))
	}
}

// crashOf returns how an upstream crashes.
func crashOf(r *rand.Rand) platformtest.Crash {
	return platformtest.Crash{
		Path: crashPath, Part: crashPart, Events: r.IntN(2), Silent: r.IntN(4) == 0,
		Downtime: time.Duration(r.Int64N(int64(maxCrashDowntime))),
	}
}

// lateSends returns the problem if the crashing requests that match were sent too often
// after they had crashed the given number of upstreams.
func (s *soakRun) lateSends(name string, crashes int, matches func(platformtest.Run) bool) string {
	var runs []platformtest.Run
	for _, u := range append(s.upstreamsOf(platformtest.EngineService), s.upstreamsOf(platformtest.PlainService)...) {
		for _, run := range u.Runs() {
			if matches(run) {
				runs = append(runs, run)
			}
		}
	}
	if len(runs) < crashes {
		return ""
	}
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	late := 0
	for _, run := range runs[crashes:] {
		if run.At.After(runs[crashes-1].At.Add(containmentTime)) {
			late++
		}
	}
	return problemIf(late > maxLateSends, "%s was sent %d times, %d of them later than %s after crash %d", name, len(runs), late, containmentTime, crashes)
}

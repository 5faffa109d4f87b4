// Command inforce measures how long an operator's edit takes to be in force: the
// time from its acceptance until every instance has applied it, without load, under
// load, and with the table service down from the moment of acceptance. The
// instances are real processes on this machine.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// options are the command line options.
type options struct {
	bin       string
	instances int
	edits     int
	loadRate  int
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the built programs")
	flag.IntVar(&o.instances, "instances", 7, "number of instances")
	flag.IntVar(&o.edits, "edits", 30, "number of edits per case")
	flag.IntVar(&o.loadRate, "load", 100, "requests per second in the case under load")
	flag.Parse()
	if err := measure(o); err != nil {
		fmt.Fprintln(os.Stderr, "inforce:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// runTimeout bounds the whole measurement.
const runTimeout = 10 * time.Minute

func measure(o options) error {
	dir, err := os.MkdirTemp("", "banyanroute-inforce-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	fleet, err := localfleet.Start(ctx, localfleet.Layout{
		BinDir: o.bin, WorkDir: dir, Instances: o.instances, Engines: 4, Services: 1, Model: "tutor-llm", Service: "booking-api",
		DataCentres: []string{"palermo", "catania", "trapani"}, Region: "sicilia", MemoryTokens: 400_000,
		EngineFlags: []string{"--time-scale", "20"}, Algorithm: "banyan", ShortWeight: 0.5,
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	if err := awaitMembers(ctx, fleet); err != nil {
		return err
	}
	m := &measurement{fleet: fleet, edits: o.edits}
	if err := m.run(ctx, "quiet", false); err != nil {
		return err
	}
	stop := startLoad(ctx, fleet, o.loadRate)
	err = m.run(ctx, fmt.Sprintf("%d requests/s", o.loadRate), false)
	stop()
	if err != nil {
		return err
	}
	return m.run(ctx, "store down after acceptance", true)
}

// awaitMembers waits until each instance knows all others, so that the start of the
// fleet does not affect the measurement.
func awaitMembers(ctx context.Context, fleet *localfleet.Fleet) error {
	for i := range fleet.Instances {
		for {
			out, err := fleet.Ctl(ctx, i, "status", "-o", "json")
			if err == nil && strings.Count(out, `"phase": "ready"`) >= len(fleet.Instances) {
				break
			}
			if ctx.Err() != nil {
				return trace.Wrap(ctx.Err(), "waiting for all members: %s", out)
			}
			time.Sleep(memberPollInterval)
		}
	}
	return nil
}

// memberPollInterval is the time between two polls of the members.
const memberPollInterval = 200 * time.Millisecond

// measurement makes edits and polls all instances for their revision.
type measurement struct {
	fleet *localfleet.Fleet
	// edits is the number of edits per case.
	edits int
	// made counts the edits made so far.
	made int
}

// revisionPollInterval is the time between two polls of a revision, and thereby the
// resolution of the measurement.
const revisionPollInterval = 5 * time.Millisecond

// applyTimeout bounds the wait until all instances have applied one edit.
const applyTimeout = 30 * time.Second

// run makes edits one after another and prints quantiles of the time from acceptance
// until the last instance has applied an edit.
func (m *measurement) run(ctx context.Context, name string, storeDown bool) error {
	var took []time.Duration
	for range m.edits {
		d, err := m.edit(ctx, storeDown)
		if err != nil {
			return trace.Wrap(err, "%s", name)
		}
		took = append(took, d)
	}
	slices.Sort(took)
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))].Round(time.Millisecond) }
	fmt.Printf("%-28s %d instances, %d edits: p50 %s, p99 %s, max %s\n", name, len(m.fleet.Instances), len(took), at(0.5), at(0.99), at(1))
	return nil
}

// edit makes one edit, through the instances in round robin, and returns the time
// from acceptance until all instances have applied it.
func (m *measurement) edit(ctx context.Context, storeDown bool) (time.Duration, error) {
	m.made++
	through := m.made % len(m.fleet.Instances)
	if _, err := m.fleet.Ctl(ctx, through, "edit", "workspace/beta", "--set", fmt.Sprintf("limits.concurrent=%d", 100+m.made)); err != nil {
		return 0, err
	}
	start := time.Now()
	if storeDown {
		if err := m.setStoreDown(ctx, true); err != nil {
			return 0, err
		}
		defer m.setStoreDown(ctx, false) //nolint:errcheck // the next edit fails if the store is still down
	}
	want, err := m.fleet.Revision(ctx, through)
	if err != nil {
		return 0, err
	}
	return m.awaitApplied(ctx, start, want)
}

func (m *measurement) setStoreDown(ctx context.Context, down bool) error {
	return localfleet.Send(ctx, http.MethodPut, m.fleet.PlatformURL+"/standin/faults", map[string]bool{"down": down})
}

// awaitApplied waits until all instances have applied the revision and returns the
// time since start.
func (m *measurement) awaitApplied(ctx context.Context, start time.Time, want uint64) (time.Duration, error) {
	var wg sync.WaitGroup
	last := make([]time.Duration, len(m.fleet.Instances))
	for i := range m.fleet.Instances {
		wg.Go(func() {
			for time.Since(start) < applyTimeout {
				if rev, err := m.fleet.Revision(ctx, i); err == nil && rev >= want {
					last[i] = time.Since(start)
					return
				}
				time.Sleep(revisionPollInterval)
			}
		})
	}
	wg.Wait()
	if i := slices.Index(last, 0); i >= 0 {
		return 0, trace.BadParameter("instance %d has not applied revision %d within %s", i+1, want, applyTimeout)
	}
	return slices.Max(last), nil
}

// startLoad sends short requests at a rate until the returned function is
// called.
func startLoad(ctx context.Context, fleet *localfleet.Fleet, rate int) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				wg.Go(func() { sendShort(ctx, fleet.Instances[n%len(fleet.Instances)].CallersAddress) })
			}
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

func sendShort(ctx context.Context, address string) {
	body, err := json.Marshal(map[string]any{"model": "tutor-llm", "max_tokens": 8, "prompt": strings.Repeat("logbook ", 500)})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.AlphaKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body) //nolint:errcheck // the answer does not matter
}

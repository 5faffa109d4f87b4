// Command editspread measures the time from the acceptance of a catalogue edit
// until it is in force on all instances of a deployment on loopback.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/localfleet"
)

const (
	// lookPause is the pause between two looks at an instance.
	lookPause = time.Millisecond
	// lookLimit bounds the wait for one edit.
	lookLimit = 30 * time.Second
	// entryPath is the smallest answer that holds the installed revision.
	entryPath = admin.PathEntries + "/policy/" + catalogue.PolicyName
)

func main() {
	layout := localfleet.Layout{
		Engines: 1, Services: 1, Model: "tutor-llm", Service: "booking-api",
		DataCentres: []string{"palermo", "catania", "trapani"}, Region: "sicilia",
		MemoryTokens: 400_000, LiveLag: time.Second, ShortWeight: 0.5, Algorithm: catalogue.AlgorithmBanyan,
	}
	m := measurement{}
	flag.StringVar(&layout.Bin, "bin", "bin", "folder with the built programs")
	flag.IntVar(&layout.Instances, "instances", 7, "number of instances")
	flag.IntVar(&m.edits, "edits", 100, "number of edits")
	flag.DurationVar(&m.pause, "pause", 50*time.Millisecond, "pause between edits")
	flag.BoolVar(&m.down, "store-down", false, "take the platform's services down right after each acceptance")
	flag.IntVar(&m.load, "load", 0, "short requests per second meanwhile")
	flag.Parse()
	if err := m.run(layout); err != nil {
		fmt.Fprintln(os.Stderr, "editspread:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// measurement is one run.
type measurement struct {
	edits int
	pause time.Duration
	down  bool
	load  int
	fleet *localfleet.Fleet
	// accepted and inForce hold, per edit, the time from sending to the
	// answer, and from the answer to the last instance.
	accepted, inForce []time.Duration
}

func (m *measurement) run(layout localfleet.Layout) error {
	dir, err := os.MkdirTemp("", "editspread-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	layout.Dir = dir
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if m.fleet, err = localfleet.Start(ctx, layout); err != nil {
		return err
	}
	defer m.fleet.Stop()
	if err := m.waitMembers(ctx); err != nil {
		return err
	}
	stop := startLoad(ctx, m.fleet, m.load)
	defer stop()
	for i := range m.edits {
		if err := m.one(ctx, i); err != nil {
			return trace.Wrap(err, "edit %d", i)
		}
		time.Sleep(m.pause)
	}
	fmt.Printf("%d edits at %d instances, store down after acceptance: %t, %d requests/s\n", m.edits, layout.Instances, m.down, m.load)
	report("sent to accepted", m.accepted)
	report("accepted to in force everywhere", m.inForce)
	return nil
}

// waitMembers waits until every instance reaches every other.
func (m *measurement) waitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	for i := range m.fleet.Instances {
		for {
			var status admin.Status
			if err := m.call(ctx, i, http.MethodGet, admin.PathStatus, nil, &status); err != nil {
				return err
			}
			if len(status.Instances) == len(m.fleet.Instances) && !slices.ContainsFunc(status.Instances, isUnreachable) {
				break
			}
			time.Sleep(lookPause)
		}
	}
	return nil
}

func isUnreachable(s admin.InstanceStatus) bool { return s.Phase == admin.PhaseUnreachable }

// one makes an edit through one instance and waits for all.
func (m *measurement) one(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	sent := time.Now()
	rev, err := m.edit(ctx, i)
	if err != nil {
		return err
	}
	answered := time.Now()
	if m.down {
		if err := m.setDown(ctx, true); err != nil {
			return err
		}
	}
	if err := m.waitAll(ctx, rev); err != nil {
		return err
	}
	m.accepted = append(m.accepted, answered.Sub(sent))
	m.inForce = append(m.inForce, time.Since(answered))
	if m.down {
		return m.setDown(ctx, false)
	}
	return nil
}

// edit changes the policy entry through one instance.
func (m *measurement) edit(ctx context.Context, i int) (catalogue.Revision, error) {
	instance := i % len(m.fleet.Instances)
	var present admin.EntryAnswer
	if err := m.call(ctx, instance, http.MethodGet, entryPath, nil, &present); err != nil {
		return 0, err
	}
	entry := *present.Entry
	policy := *entry.Policy
	policy.ShortTokens = i + 1
	entry.Policy = &policy
	var applied catalogue.Applied
	edit := catalogue.Edit{ID: uuid.NewString(), Base: present.Revision, Puts: []catalogue.Entry{entry}}
	err := m.call(ctx, instance, http.MethodPost, admin.PathEdits, edit, &applied)
	return applied.Revision, err
}

// waitAll waits until every instance has the revision.
func (m *measurement) waitAll(ctx context.Context, rev catalogue.Revision) error {
	errs := make([]error, len(m.fleet.Instances))
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() { errs[i] = m.waitOne(ctx, i, rev) })
	}
	wg.Wait()
	return trace.NewAggregate(errs...)
}

func (m *measurement) waitOne(ctx context.Context, instance int, rev catalogue.Revision) error {
	for {
		var present admin.EntryAnswer
		if err := m.call(ctx, instance, http.MethodGet, entryPath, nil, &present); err != nil {
			return err
		}
		if present.Revision >= rev {
			return nil
		}
		time.Sleep(lookPause)
	}
}

// call makes one call to an instance's operators' API.
func (m *measurement) call(ctx context.Context, instance int, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "http://" + m.fleet.Instances[instance].Operators + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

// setDown switches the platform's outage.
func (m *measurement) setDown(ctx context.Context, down bool) error {
	return localfleet.Send(ctx, http.MethodPut, m.fleet.PlatformURL+"/standin/faults", map[string]bool{"down": down})
}

// report prints quantiles in milliseconds.
func report(name string, times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	at := func(q float64) float64 { return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000 }
	fmt.Printf("%s: p50 %.1f ms, p99 %.1f ms, max %.1f ms\n", name, at(0.5), at(0.99), at(1))
}

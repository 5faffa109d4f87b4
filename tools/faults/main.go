// Command faults runs a deployment on loopback under load, causes failures by a
// seeded schedule, and checks from outside whether the promises held: what
// callers got, what upstreams ran, and what engines hold at the end. The same
// seed gives the same schedule. It ends with 0 if there was no violation.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// options are the command line's.
type options struct {
	bin       string
	seed      uint64
	duration  time.Duration
	instances int
	engines   int
	pairs     bool
	// rolling replaces all instances one after another instead of causing
	// faults.
	rolling bool
	// platform runs the instances on stand-ins of the users' platform.
	platform bool
	slack    time.Duration
	out      string
	keep     string
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the built programs")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the schedule and the load")
	flag.DurationVar(&o.duration, "duration", time.Minute, "time under faults")
	flag.IntVar(&o.instances, "instances", 3, "number of instances")
	flag.IntVar(&o.engines, "engines", 4, "number of engines")
	flag.BoolVar(&o.pairs, "pairs", true, "let every second fault be two at once")
	flag.BoolVar(&o.rolling, "rolling", false, "replace all instances one after another by planned stops, instead of faults")
	flag.BoolVar(&o.platform, "platform", false, "run the instances on stand-ins of the users' platform, with overlapping series of faults")
	flag.DurationVar(&o.slack, "slack", 2*time.Second, "how much later than its time limit an answer may come")
	flag.StringVar(&o.out, "out", "", "file for the report as JSON")
	flag.StringVar(&o.keep, "keep", "", "folder that keeps settings and logs")
	flag.Parse()
	if err := faults(o); err != nil {
		fmt.Fprintln(os.Stderr, "faults failed:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// quietTime is the time without faults at the end, in which everything must
// recover.
const quietTime = 15 * time.Second

// faults runs the deployment under faults and checks the promises.
func faults(o options) error {
	dir := o.keep
	if dir == "" {
		temp, err := os.MkdirTemp("", "banyanroute-faults-")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer os.RemoveAll(temp)
		dir = temp
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.duration+quietTime+2*time.Minute)
	defer cancel()
	if o.platform {
		return soak(ctx, o, dir)
	}
	fleet, err := localfleet.Start(ctx, layout(o, dir))
	if err != nil {
		return err
	}
	defer fleet.Stop()
	r := newReport(o)
	run(ctx, fleet, o, r)
	checkEnd(ctx, fleet, r)
	return r.finish(o.out)
}

// run puts load on the fleet while the schedule causes faults, and goes on for
// a quiet time.
func run(ctx context.Context, fleet *localfleet.Fleet, o options, r *report) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	load := newLoad(fleet, o, r)
	done := make(chan struct{})
	go func() {
		load.run(loadCtx)
		close(done)
	}()
	if o.rolling {
		replaceAll(ctx, fleet, load, o, r)
	} else {
		newSchedule(fleet, o, r).run(ctx)
	}
	fmt.Printf("faults: schedule done, %s without faults\n", quietTime)
	sleep.For(ctx, quietTime)
	stopLoad()
	<-done
}

// layout is the deployment under test: short deadlines and fast engines.
func layout(o options, dir string) localfleet.Layout {
	return localfleet.Layout{
		Bin: o.bin, Dir: dir, Instances: o.instances, Engines: o.engines, Services: 3,
		Model: "tutor-llm", Service: "booking-api",
		DataCentres: []string{"palermo", "catania", "trapani"}, Region: "sicilia",
		MemoryTokens: 200_000, EngineFlags: []string{"--time-scale", "10", "--keep-stream", "3s"},
		Algorithm: "banyan", ShortWeight: 0.5, LiveLag: 2 * time.Second, Relays: true,
		InstanceSettings: "limits: {silence_timeout: 1s}\ndrain: {notice: 500ms}",
	}
}

// writeJSON writes a value to a file.
func writeJSON(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(file, append(data, '\n'), 0o644))
}

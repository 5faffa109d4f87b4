// Command faults runs a deployment on loopback under load, causes failures by a
// seeded schedule, and checks the guarantees from outside: by the answers that
// callers received, the calls that upstreams ran, and the memory that engines hold
// at the end. The same seed gives the same schedule. The exit status is 0 if no
// guarantee was violated.
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

// options are the command line options.
type options struct {
	bin       string
	seed      uint64
	duration  time.Duration
	instances int
	engines   int
	pairs     bool
	// rolling restarts all instances one after another instead of causing faults.
	rolling bool
	// platform runs the instances on stand-ins of the users' platform; see soak.
	platform bool
	// previous is the folder of another build, with which instances start half of the time.
	previous string
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
	flag.BoolVar(&o.pairs, "pairs", true, "cause two faults concurrently in every second round")
	flag.BoolVar(&o.rolling, "rolling", false, "restart all instances one after another by graceful shutdowns, instead of causing faults")
	flag.BoolVar(&o.platform, "platform", false, "run the instances on stand-ins of the users' platform, with overlapping series of faults")
	flag.StringVar(&o.previous, "previous", "", "with -platform, a folder with the programs of another build, with which instances start half of the time")
	flag.DurationVar(&o.slack, "slack", 2*time.Second, "how long after its time limit an answer may arrive")
	flag.StringVar(&o.out, "out", "", "file for the report as JSON")
	flag.StringVar(&o.keep, "keep", "", "folder for settings and logs, kept after the run; a temporary one if empty")
	flag.Parse()
	if o.previous != "" && !o.platform {
		fmt.Fprintln(os.Stderr, "faults: -previous needs -platform")
		os.Exit(2)
	}
	if err := faults(o); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// recoveryPeriod is the time without faults at the end of the run, in which
// everything must recover.
const recoveryPeriod = 15 * time.Second

// faults runs the deployment under faults and checks the guarantees.
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
	ctx, cancel := context.WithTimeout(context.Background(), o.duration+recoveryPeriod+2*time.Minute)
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
	checkFinalState(ctx, fleet, r)
	return r.finish(o.out)
}

// run puts load on the fleet while the schedule causes faults, and continues the
// load for recoveryPeriod.
func run(ctx context.Context, fleet *localfleet.Fleet, o options, r *report) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	load := newLoad(fleet, o, r)
	done := make(chan struct{})
	go func() {
		load.run(loadCtx)
		close(done)
	}()
	if o.rolling {
		restartAll(ctx, fleet, load, o, r)
	} else {
		newSchedule(fleet, o, r).run(ctx)
	}
	fmt.Printf("faults: schedule finished; the load continues for %s without faults\n", recoveryPeriod)
	sleep.For(ctx, recoveryPeriod)
	stopLoad()
	<-done
}

// layout returns the deployment under test, with short deadlines and fast engines.
func layout(o options, dir string) localfleet.Layout {
	return localfleet.Layout{
		BinDir: o.bin, WorkDir: dir, Instances: o.instances, Engines: o.engines, Services: 3,
		Model: "tutor-llm", Service: "booking-api",
		DataCentres: []string{"palermo", "catania", "trapani"}, Region: "sicilia",
		MemoryTokens: 200_000, EngineFlags: []string{"--time-scale", "10", "--keep-stream", "3s"},
		Algorithm: "banyan", ShortWeight: 0.5, LiveLag: 2 * time.Second, Relays: true,
		InstanceSettings: "limits: {silence_timeout: 1s}\ndrain: {notice: 500ms}",
	}
}

// writeJSON writes a value to a file as indented JSON.
func writeJSON(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(file, append(data, '\n'), 0o644))
}

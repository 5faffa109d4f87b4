// Command loadfleet runs load tests against a complete deployment on loopback. For each
// routing algorithm it starts the processes and runs a scenario of banyanload
// against them. It writes results, tables and plots into a folder.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// options are the command line options.
type options struct {
	bin, out, scenario, algorithms, engineFlags, centres, region, model, service string

	instances, engines, services, memory int
	shortWeight                          float64
	seed                                 uint64
	fault                                string
	overhead                             time.Duration
	rate                                 float64
}

func parse() options {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the built programs")
	flag.StringVar(&o.out, "out", ".", "folder for results")
	flag.StringVar(&o.scenario, "scenario", "", "scenario file; without one only -overhead is measured")
	flag.StringVar(&o.algorithms, "algorithms", "banyan", "routing algorithms, separated by commas")
	flag.StringVar(&o.engineFlags, "engine-flags", "--time-scale 4", "flags of each engine")
	flag.StringVar(&o.centres, "data-centres", "palermo,catania,trapani", "data centres, separated by commas")
	flag.StringVar(&o.region, "region", "sicilia", "name of the region")
	flag.StringVar(&o.model, "model", "tutor-llm", "name of the model")
	flag.StringVar(&o.service, "service", "booking-api", "name of the plain service")
	flag.IntVar(&o.instances, "instances", 7, "number of instances")
	flag.IntVar(&o.engines, "engines", 15, "number of engines")
	flag.IntVar(&o.services, "services", 3, "number of processes of the plain service")
	flag.IntVar(&o.memory, "memory-tokens", 500_000, "KV memory of an engine in tokens")
	flag.Float64Var(&o.shortWeight, "short-weight", 0.5, "short_weight of the policy")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the scenario")
	flag.StringVar(&o.fault, "fault", "", "fault of the first engine as KIND@START+LENGTH, for example grey@20s+10s; kinds: kill, freeze, grey, silent, leave")
	flag.DurationVar(&o.overhead, "overhead", 0, "how long to measure the time that an instance adds to a request; 0 skips it")
	flag.Float64Var(&o.rate, "overhead-rate", 100, "requests per second on each path of the overhead measurement")
	flag.Parse()
	return o
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := measure(ctx, parse())
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadfleet:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// measure runs all algorithms and draws their results in common plots.
func measure(ctx context.Context, o options) error {
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	var results []string
	for _, algorithm := range strings.Split(o.algorithms, ",") {
		file, err := measureOne(ctx, o, algorithm)
		if err != nil {
			return trace.Wrap(err, "%s", algorithm)
		}
		if file != "" {
			results = append(results, file)
		}
	}
	if len(results) == 0 {
		return nil
	}
	return banyanload(ctx, o, os.Stdout, append([]string{"plot", "--out", o.out}, results...)...)
}

// measureOne starts a fleet with one algorithm, measures it, and returns the file of
// the result, or an empty name without a scenario.
func measureOne(ctx context.Context, o options, algorithm string) (string, error) {
	dir, err := os.MkdirTemp("", "banyanroute-load-")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := startFleet(ctx, o, dir, algorithm)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer fleet.Stop()
	if o.overhead > 0 {
		if err := measureOverhead(ctx, o, fleet, algorithm); err != nil {
			return "", trace.Wrap(err)
		}
	}
	if o.scenario == "" {
		return "", nil
	}
	return runScenario(ctx, o, fleet, algorithm)
}

func startFleet(ctx context.Context, o options, dir, algorithm string) (*localfleet.Fleet, error) {
	layout := localfleet.Layout{
		BinDir: o.bin, WorkDir: dir, Instances: o.instances, Engines: o.engines, Services: o.services,
		Model: o.model, Service: o.service, DataCentres: strings.Split(o.centres, ","), Region: o.region,
		MemoryTokens: o.memory, EngineFlags: strings.Fields(o.engineFlags),
		Algorithm: algorithm, ShortWeight: o.shortWeight,
	}
	return localfleet.Start(ctx, layout)
}

func measureOverhead(ctx context.Context, o options, fleet *localfleet.Fleet, algorithm string) error {
	return banyanload(ctx, o, os.Stdout, "overhead", "--direct", "http://"+fleet.Engines[0].Address,
		"--through", "http://"+fleet.Instances[0].CallersAddress, "--key", localfleet.AlphaKey, "--model", o.model,
		"--rate", fmt.Sprint(o.rate), "--duration", o.overhead.String(),
		"--json", filepath.Join(o.out, "overhead-"+algorithm+".json"))
}

func runScenario(ctx context.Context, o options, fleet *localfleet.Fleet, algorithm string) (string, error) {
	name := strings.TrimSuffix(filepath.Base(o.scenario), ".yaml") + "-" + algorithm
	file := filepath.Join(o.out, name+".json")
	args := []string{"run", "--name", name, "--json", file, "--seed", fmt.Sprint(o.seed), "--revision", revision(ctx),
		"--key", localfleet.AlphaKey, "--key", localfleet.BetaKey}
	for _, in := range fleet.Instances {
		args = append(args, "--target", "http://"+in.CallersAddress)
	}
	for i, e := range fleet.Engines {
		// An engine that is killed loses its record, so it is not compared.
		if i > 0 || !strings.HasPrefix(o.fault, faultKill) {
			args = append(args, "--engine", "http://"+e.Address)
		}
	}
	for _, s := range fleet.Services {
		args = append(args, "--service", "http://"+s.Address)
	}
	stop, err := startFault(ctx, fleet, o.fault)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer stop()
	text, err := os.Create(filepath.Join(o.out, name+".txt"))
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	defer func() { _ = text.Close() }()
	err = banyanload(ctx, o, text, append(args, o.scenario)...)
	if _, statErr := os.Stat(file); statErr != nil {
		return "", trace.Wrap(err)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "loadfleet: %s: %v\n", name, err)
	}
	return file, nil
}

// revision returns the Git revision of the checkout, with the suffix "+changes" if Go
// files have changes, or "unknown". The programs must have been built from this
// checkout.
func revision(ctx context.Context) string {
	head, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(head))
	changes, err := exec.CommandContext(ctx, "git", "status", "--porcelain", "--", "*.go", "go.mod").Output()
	if err != nil || len(changes) > 0 {
		name += "+changes"
	}
	return name
}

// banyanload runs the program banyanload and writes its standard output to out.
func banyanload(ctx context.Context, o options, out *os.File, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(o.bin, "banyanload"), args...)
	cmd.Stdout, cmd.Stderr = out, os.Stderr
	return trace.Wrap(cmd.Run())
}

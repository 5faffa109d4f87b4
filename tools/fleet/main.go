// Command fleet starts a deployment on loopback, prints how to reach it, and keeps it
// running until it is interrupted.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

func main() {
	layout := localfleet.Layout{
		Model: "tutor-llm", Service: "booking-api",
		DataCentres: []string{"palermo", "catania", "trapani"}, Region: "sicilia",
		LiveLag: 2 * time.Second,
	}
	var scale float64
	flag.StringVar(&layout.BinDir, "bin", "bin", "folder with the built programs")
	flag.StringVar(&layout.WorkDir, "dir", "", "folder for settings and logs; a new temporary one if empty")
	flag.IntVar(&layout.Instances, "instances", 3, "number of instances")
	flag.IntVar(&layout.Engines, "engines", 4, "number of engines")
	flag.IntVar(&layout.Services, "services", 2, "number of processes of the plain service")
	flag.IntVar(&layout.MemoryTokens, "memory-tokens", 400_000, "KV memory of each engine in tokens")
	flag.Float64Var(&scale, "time-scale", 1, "factor by which the engines run faster than modelled")
	flag.StringVar(&layout.Algorithm, "algorithm", "banyan", "banyan, round-robin or least-requests")
	flag.Float64Var(&layout.ShortWeight, "short-weight", 0.5, "weight from 0 (only time to first token counts) to 1 (only the slowdown of short requests counts)")
	flag.Parse()
	layout.EngineFlags = []string{"--time-scale", fmt.Sprint(scale)}
	if err := runFleet(layout); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// runFleet starts the deployment and stops it on SIGINT or SIGTERM.
func runFleet(layout localfleet.Layout) error {
	if layout.WorkDir == "" {
		dir, err := os.MkdirTemp("", "banyanroute-run-")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer os.RemoveAll(dir)
		layout.WorkDir = dir
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	fleet, err := localfleet.Start(ctx, layout)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	printUsage(fleet)
	<-ctx.Done()
	return nil
}

// printUsage prints the addresses of the deployment and commands to try.
func printUsage(fleet *localfleet.Fleet) {
	fmt.Printf("logs and settings: %s\nplatform stand-in: %s\n", fleet.Layout.WorkDir, fleet.PlatformURL)
	for _, in := range fleet.Instances {
		fmt.Printf("instance %s: callers http://%s, operators http://%s\n", in.Name, in.CallersAddress, in.OperatorsAddress)
	}
	for _, up := range fleet.Upstreams() {
		fmt.Printf("upstream %s: http://%s\n", up.Name, up.Address)
	}
	first := fleet.Instances[0]
	fmt.Printf(`
try:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"%s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'
  export BANYANCTL_ADDRESS=http://%s BANYANCTL_TOKEN=%s
  %s/banyanctl status
  %s/banyanctl list upstream
interrupt with Ctrl-C.
`, first.CallersAddress, localfleet.AlphaKey, fleet.Layout.Model, first.OperatorsAddress, localfleet.OperatorToken, fleet.Layout.BinDir, fleet.Layout.BinDir)
}

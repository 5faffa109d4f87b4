// Command controlcost measures what the control plane costs an instance without
// callers at several fleet sizes: processor time, memory, and bytes on the links
// between instances. The instances are real processes on this machine.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	sizes := flag.String("sizes", "3,7,15,30,60", "comma-separated fleet sizes")
	engines := flag.Int("engines", 15, "number of engines")
	settle := flag.Duration("settle", 15*time.Second, "time between the start of a fleet and the measurement")
	duration := flag.Duration("duration", 15*time.Second, "duration of the measurement per fleet size")
	flag.Parse()
	fmt.Printf("%d engines, no callers, %s per size\n", *engines, *duration)
	fmt.Println("| instances | cpu % of a core | resident MB | link bytes/s out | link bytes/s in |")
	fmt.Println("| --------- | --------------- | ----------- | ---------------- | --------------- |")
	for _, field := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(field)
		if err == nil {
			err = measure(*bin, n, *engines, *settle, *duration)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "controlcost:", trace.UserMessage(err))
			os.Exit(1)
		}
	}
}

// sizeTimeout bounds the start and the measurement of one fleet.
const sizeTimeout = 5 * time.Minute

// measure starts a fleet of n instances and prints the mean cost per instance.
func measure(bin string, n, engines int, settle, duration time.Duration) error {
	dir, err := os.MkdirTemp("", "banyanroute-cost-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), sizeTimeout)
	defer cancel()
	fleet, err := localfleet.Start(ctx, localfleet.Layout{
		BinDir: bin, WorkDir: dir, Instances: n, Engines: engines, Model: "tutor-llm", Service: "none",
		DataCentres: []string{"dc1", "dc2", "dc3", "dc4", "dc5"}, Region: "r1", MemoryTokens: 400_000,
		Algorithm: "banyan", ShortWeight: 0.5,
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	time.Sleep(settle)
	before, err := sampleAll(ctx, fleet)
	if err != nil {
		return err
	}
	time.Sleep(duration)
	after, err := sampleAll(ctx, fleet)
	if err != nil {
		return err
	}
	instanceSeconds := float64(n) * duration.Seconds()
	fmt.Printf("| %d | %.2f | %.1f | %.0f | %.0f |\n", n, 100*(after.cpuSeconds-before.cpuSeconds)/instanceSeconds, after.residentBytes/float64(n)/(1<<20),
		(after.sentBytes-before.sentBytes)/instanceSeconds, (after.receivedBytes-before.receivedBytes)/instanceSeconds)
	return nil
}

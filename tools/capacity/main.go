// Command capacity measures what control costs per node at several fleet sizes
// and fits a line through the results. It runs many overlays and limiters in
// one process, linked over loopback.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/logging"
)

// The size that the fits are read at. With 82 nodes per data centre, 10 of them
// bridges, a node has 4 links in its data centre and 4*10/82 that cross.
const (
	targetNodes = 410
	targetLinks = 4.5
)

// scenario is a load on the fleet beside membership itself.
type scenario struct {
	// broadcasts per second in the whole fleet, and the bytes of each.
	broadcasts float64
	bytes      int
	// takes per second and node, over workspaces with a skewed popularity.
	takes      float64
	workspaces int
	// headroom is each workspace's limit over its mean demand in the fleet;
	// zero means limits far above any demand.
	headroom float64
}

func main() {
	sizes := flag.String("sizes", "3,7,15,30,60", "comma-separated fleet sizes")
	duration := flag.Duration("duration", 20*time.Second, "time measured per size")
	settle := flag.Duration("settle", 10*time.Second, "time before measuring")
	var s scenario
	flag.Float64Var(&s.broadcasts, "broadcasts", 0, "broadcasts per second in the fleet")
	flag.IntVar(&s.bytes, "bytes", 1000, "payload bytes per broadcast")
	flag.Float64Var(&s.takes, "takes", 0, "limited requests per second and node")
	flag.IntVar(&s.workspaces, "workspaces", 1100, "workspaces with a limit")
	flag.Float64Var(&s.headroom, "headroom", 0, "limits of rates over the workspace's mean demand, zero for very high limits")
	flag.Parse()
	_ = logging.Setup(io.Discard, "error")
	if err := run(*sizes, *settle, *duration, s); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(sizes string, settle, duration time.Duration, s scenario) error {
	var samples []sample
	fmt.Println(sampleHeader)
	for _, field := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			return fmt.Errorf("size %q: %w", field, err)
		}
		sample, err := measure(n, settle, duration, s)
		if err != nil {
			return err
		}
		fmt.Println(sample)
		samples = append(samples, sample)
	}
	report(samples)
	return nil
}

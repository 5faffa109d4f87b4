// Command capacity measures the cost per node of the control plane (membership,
// quota and broadcasts) at several fleet sizes and fits a line to the results. It
// runs the overlays and limiters of all nodes in one process, linked over loopback.
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

// The fleet for which the fits are evaluated. With 82 nodes per data centre, 10 of
// them bridges, a node has 4 links within its data centre and 4*10/82 on average to
// other data centres.
const (
	targetNodes = 410
	targetLinks = 4.5
)

// scenario is the load on the fleet in addition to membership itself.
type scenario struct {
	// broadcastRate is in broadcasts per second in the whole fleet, each with a
	// payload of broadcastBytes.
	broadcastRate  float64
	broadcastBytes int
	// takeRate is in limited requests per second and node, distributed unevenly
	// over the workspaces.
	takeRate   float64
	workspaces int
	// headroom is the ratio of each workspace's limit to its mean demand in the
	// fleet; zero means limits far above any demand.
	headroom float64
}

func main() {
	sizes := flag.String("sizes", "3,7,15,30,60", "comma-separated fleet sizes")
	duration := flag.Duration("duration", 20*time.Second, "duration of the measurement per fleet size")
	settle := flag.Duration("settle", 10*time.Second, "time between the start of a fleet and the measurement")
	var s scenario
	flag.Float64Var(&s.broadcastRate, "broadcasts", 0, "broadcasts per second in the fleet")
	flag.IntVar(&s.broadcastBytes, "bytes", 1000, "payload bytes per broadcast")
	flag.Float64Var(&s.takeRate, "takes", 0, "limited requests per second and node")
	flag.IntVar(&s.workspaces, "workspaces", 1100, "workspaces with a limit")
	flag.Float64Var(&s.headroom, "headroom", 0, "ratio of each workspace's rate limits to its mean demand; zero for very high limits")
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

package main

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/banyanroute/banyanroute/internal/member"
)

const (
	// frameBytes is what WebSocket, TCP and IP add to a message.
	frameBytes = 6 + 52
	// ackBytes is the size of a TCP acknowledgement without data.
	ackBytes = 52
	// joinTimeout bounds the wait until all nodes see one another.
	joinTimeout = time.Minute
)

// sample is the cost per node at one fleet size.
type sample struct {
	nodes int
	// cpuPercent is the share of one core in percent.
	cpuPercent float64
	// heapKiB includes stacks.
	heapKiB float64
	// messages and payloadBytes are per second, sent and received together.
	messages, payloadBytes float64
	// wireBytes is payloadBytes with framing, headers and acknowledgements.
	wireBytes float64
	// links is the mean number of links of a node.
	links float64
}

const sampleHeader = "nodes  cpu %/node  KiB/node  messages/s  payload B/s  wire B/s  links"

func (s sample) String() string {
	return fmt.Sprintf("%5d  %10.3f  %8.0f  %10.1f  %11.0f  %8.0f  %5.1f",
		s.nodes, s.cpuPercent, s.heapKiB, s.messages, s.payloadBytes, s.wireBytes, s.links)
}

// usage is a reading of counters that only increase, summed over all nodes.
type usage struct {
	at                     time.Time
	cpu                    time.Duration
	messages, payloadBytes float64
}

func readUsage(f *fleet) usage {
	u := usage{at: time.Now(), cpu: processCPU()}
	for _, n := range f.nodes {
		for _, t := range n.overlay.Traffic() {
			u.add(t)
		}
	}
	return u
}

func (u *usage) add(t member.Traffic) {
	u.messages += float64(t.SentMessages + t.ReceivedMessages)
	u.payloadBytes += float64(t.SentBytes + t.ReceivedBytes)
}

func processCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heapInUse returns the bytes of heap and stacks in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// measure runs a fleet of n nodes under the scenario and returns the cost per node.
func measure(n int, settle, duration time.Duration, s scenario) (sample, error) {
	before := heapInUse()
	f, err := startFleet(n, s)
	if err != nil {
		return sample{}, err
	}
	defer f.stop()
	if err := f.awaitMembers(joinTimeout); err != nil {
		return sample{}, err
	}
	time.Sleep(settle)
	first := readUsage(f)
	time.Sleep(duration)
	last := readUsage(f)
	result := difference(first, last, n)
	result.heapKiB = (heapInUse() - before) / float64(n) / 1024
	for _, node := range f.nodes {
		result.links += float64(len(node.overlay.Neighbours())) / float64(n)
	}
	return result, nil
}

// difference returns the mean cost per node between two readings.
func difference(first, last usage, n int) sample {
	nodeSeconds := last.at.Sub(first.at).Seconds() * float64(n)
	s := sample{
		nodes:        n,
		cpuPercent:   100 * (last.cpu - first.cpu).Seconds() / nodeSeconds,
		messages:     (last.messages - first.messages) / nodeSeconds,
		payloadBytes: (last.payloadBytes - first.payloadBytes) / nodeSeconds,
	}
	s.wireBytes = s.payloadBytes + s.messages*(frameBytes+ackBytes)
	return s
}

// line is a least-squares fit y = base + slope*x; residual is the largest deviation.
type line struct{ base, slope, residual float64 }

func fit(samples []sample, x, y func(sample) float64) line {
	var n, sx, sy, sxx, sxy float64
	for _, s := range samples {
		xs, ys := x(s), y(s)
		n, sx, sy, sxx, sxy = n+1, sx+xs, sy+ys, sxx+xs*xs, sxy+xs*ys
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l := line{base: (sy - slope*sx) / n, slope: slope}
	for _, s := range samples {
		l.residual = max(l.residual, math.Abs(y(s)-l.base-l.slope*x(s)))
	}
	return l
}

// quantity is a value of a sample with its name.
type quantity struct {
	name  string
	value func(sample) float64
}

// report prints fits over the number of nodes and over the number of links per node,
// which stays bounded while the fleet grows.
func report(samples []sample) {
	if len(samples) < 3 {
		return
	}
	nodes := func(s sample) float64 { return float64(s.nodes) }
	links := func(s sample) float64 { return s.links }
	values := []quantity{
		{"cpu %", func(s sample) float64 { return s.cpuPercent }},
		{"KiB", func(s sample) float64 { return s.heapKiB }},
		{"messages/s", func(s sample) float64 { return s.messages }},
		{"payload B/s", func(s sample) float64 { return s.payloadBytes }},
		{"wire B/s", func(s sample) float64 { return s.wireBytes }},
	}
	printFits("nodes", targetNodes, samples, nodes, values)
	printFits("links", targetLinks, samples, links, values)
}

func printFits(over string, target float64, samples []sample, x func(sample) float64, values []quantity) {
	fmt.Printf("\nfit: value = base + slope * %s; evaluated at %g %s\n", over, target, over)
	for _, v := range values {
		l := fit(samples, x, v.value)
		fmt.Printf("%-12s base %9.3f  slope %8.4f  largest residual %8.3f  at target %9.2f\n",
			v.name, l.base, l.slope, l.residual, l.base+l.slope*target)
	}
}

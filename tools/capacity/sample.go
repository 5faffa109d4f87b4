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
	// frameBytes is what WebSocket, TCP and IP add to a message, and ackBytes
	// an acknowledgement of TCP that carries no data.
	frameBytes = 6 + 52
	ackBytes   = 52
	// joinTimeout bounds the wait for all nodes to see one another.
	joinTimeout = time.Minute
)

// sample is the cost per node at one fleet size.
type sample struct {
	nodes int
	// cpu is a share of one core in percent.
	cpu float64
	// heap is in KiB, stacks included.
	heap float64
	// messages and payload are per second, sent and received together.
	messages, payload float64
	// wire is payload with framing, headers and acknowledgements.
	wire  float64
	links float64
}

const sampleHeader = "nodes  cpu %/node  KiB/node  messages/s  payload B/s  wire B/s  links"

func (s sample) String() string {
	return fmt.Sprintf("%5d  %10.3f  %8.0f  %10.1f  %11.0f  %8.0f  %5.1f",
		s.nodes, s.cpu, s.heap, s.messages, s.payload, s.wire, s.links)
}

// usage is a reading of counters that only grow.
type usage struct {
	at                time.Time
	cpu               time.Duration
	messages, payload float64
}

func read(f *fleet) usage {
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
	u.payload += float64(t.SentBytes + t.ReceivedBytes)
}

func processCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heapInUse returns heap and stacks in bytes after a collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// measure runs a fleet of n nodes under the scenario.
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
	first := read(f)
	time.Sleep(duration)
	last := read(f)
	result := difference(first, last, n)
	result.heap = (heapInUse() - before) / float64(n) / 1024
	for _, node := range f.nodes {
		result.links += float64(len(node.overlay.Neighbours())) / float64(n)
	}
	return result, nil
}

func difference(first, last usage, n int) sample {
	nodeSeconds := last.at.Sub(first.at).Seconds() * float64(n)
	s := sample{
		nodes:    n,
		cpu:      100 * (last.cpu - first.cpu).Seconds() / nodeSeconds,
		messages: (last.messages - first.messages) / nodeSeconds,
		payload:  (last.payload - first.payload) / nodeSeconds,
	}
	s.wire = s.payload + s.messages*(frameBytes+ackBytes)
	return s
}

// line is a least-squares fit y = base + slope*x.
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

// quantity is a named value of a sample.
type quantity struct {
	name  string
	value func(sample) float64
}

// report prints fits over the number of nodes and over the number of links,
// which stays bounded while the fleet grows.
func report(samples []sample) {
	if len(samples) < 3 {
		return
	}
	nodes := func(s sample) float64 { return float64(s.nodes) }
	links := func(s sample) float64 { return s.links }
	values := []quantity{
		{"cpu %", func(s sample) float64 { return s.cpu }},
		{"KiB", func(s sample) float64 { return s.heap }},
		{"messages/s", func(s sample) float64 { return s.messages }},
		{"payload B/s", func(s sample) float64 { return s.payload }},
		{"wire B/s", func(s sample) float64 { return s.wire }},
	}
	printFits("nodes", targetNodes, samples, nodes, values)
	printFits("links", targetLinks, samples, links, values)
}

func printFits(over string, target float64, samples []sample, x func(sample) float64, values []quantity) {
	fmt.Printf("\nfit: value = base + slope * %s; worked out at %g %s\n", over, target, over)
	for _, v := range values {
		l := fit(samples, x, v.value)
		fmt.Printf("%-12s base %9.3f  slope %8.4f  largest residual %8.3f  at target %9.2f\n",
			v.name, l.base, l.slope, l.residual, l.base+l.slope*target)
	}
}

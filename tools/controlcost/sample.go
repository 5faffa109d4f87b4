package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// sample is the sum over all instances.
type sample struct {
	// cpu is processor time in seconds, resident is memory in bytes.
	cpu, resident float64
	// sent and received are bytes on the links between instances.
	sent, received float64
}

// clockTicks is the number of ticks per second in /proc.
const clockTicks = 100

// Fields of /proc/PID/stat after the name in brackets.
const (
	statUser   = 11
	statSystem = 12
	statRSS    = 21
)

func sampleAll(ctx context.Context, fleet *localfleet.Fleet) (sample, error) {
	var sum sample
	for _, in := range fleet.Instances {
		if err := sum.addProcess(in.PID()); err != nil {
			return sum, err
		}
		if err := sum.addMetrics(ctx, "http://"+in.Operators+"/metrics"); err != nil {
			return sum, err
		}
	}
	return sum, nil
}

// addProcess adds processor time and memory of a process.
func (s *sample) addProcess(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statRSS {
		return trace.BadParameter("unexpected form of /proc/%d/stat", pid)
	}
	for _, f := range []int{statUser, statSystem} {
		ticks, err := strconv.ParseFloat(fields[f], 64)
		if err != nil {
			return trace.Wrap(err)
		}
		s.cpu += ticks / clockTicks
	}
	pages, err := strconv.ParseFloat(fields[statRSS], 64)
	s.resident += pages * float64(os.Getpagesize())
	return trace.Wrap(err)
}

// addMetrics adds the links' counters.
func (s *sample) addMetrics(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch {
		case strings.HasPrefix(name, "banyanroute_link_sent_bytes_total"):
			s.sent += number
		case strings.HasPrefix(name, "banyanroute_link_received_bytes_total"):
			s.received += number
		}
	}
	return trace.Wrap(scanner.Err())
}

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

// sample is the sum of the counters and the memory of all instances.
type sample struct {
	// cpuSeconds is processor time, residentBytes is resident memory.
	cpuSeconds, residentBytes float64
	// sentBytes and receivedBytes are those on the links between instances.
	sentBytes, receivedBytes float64
}

// ticksPerSecond is the unit of processor times in /proc (USER_HZ).
const ticksPerSecond = 100

// Indices of fields of /proc/PID/stat, counted after the parenthesized command name.
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
		if err := sum.addMetrics(ctx, "http://"+in.OperatorsAddress+"/metrics"); err != nil {
			return sum, err
		}
	}
	return sum, nil
}

// addProcess adds the processor time and memory of a process.
func (s *sample) addProcess(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statRSS {
		return trace.BadParameter("/proc/%d/stat has too few fields", pid)
	}
	for _, f := range []int{statUser, statSystem} {
		ticks, err := strconv.ParseFloat(fields[f], 64)
		if err != nil {
			return trace.Wrap(err)
		}
		s.cpuSeconds += ticks / ticksPerSecond
	}
	pages, err := strconv.ParseFloat(fields[statRSS], 64)
	s.residentBytes += pages * float64(os.Getpagesize())
	return trace.Wrap(err)
}

// addMetrics adds the byte counters of the links from the metrics page at url.
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
			s.sentBytes += number
		case strings.HasPrefix(name, "banyanroute_link_received_bytes_total"):
			s.receivedBytes += number
		}
	}
	return trace.Wrap(scanner.Err())
}

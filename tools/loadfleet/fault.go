package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/standin/fault"
)

// Kinds of faults of an engine.
const (
	faultKill   = "kill"
	faultFreeze = "freeze"
	faultGrey   = "grey"
	faultSilent = "silent"
	faultLeave  = "leave"
)

// greyFactor is how many times as long a grey engine takes.
const greyFactor = 8

// schedule is a fault with its time.
type schedule struct {
	kind          string
	start, length time.Duration
}

// parseFault reads KIND@START+LENGTH.
func parseFault(text string) (schedule, error) {
	kind, rest, ok := strings.Cut(text, "@")
	from, length, ok2 := strings.Cut(rest, "+")
	start, err := time.ParseDuration(from)
	span, err2 := time.ParseDuration(length)
	if !ok || !ok2 || err != nil || err2 != nil {
		return schedule{}, trace.BadParameter("fault %q must be KIND@START+LENGTH", text)
	}
	switch kind {
	case faultKill, faultFreeze, faultGrey, faultSilent, faultLeave:
		return schedule{kind, start, span}, nil
	}
	return schedule{}, trace.BadParameter("unknown kind of fault %q", kind)
}

// startFault lets the first engine fail at the time given. The returned function
// ends the schedule.
func startFault(ctx context.Context, fleet *localfleet.Fleet, text string) (stop func(), err error) {
	if text == "" {
		return func() {}, nil
	}
	s, err := parseFault(text)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { s.run(ctx, fleet.Engines[0]) })
	return func() { cancel(); done.Wait() }, nil
}

func (s schedule) run(ctx context.Context, engine *localfleet.Upstream) {
	if !sleep.For(ctx, s.start) {
		return
	}
	report("begin "+s.kind, s.begin(ctx, engine))
	sleep.For(ctx, s.length)
	report("end "+s.kind, s.end(context.WithoutCancel(ctx), engine))
}

// report writes an event and its error, if any, to standard error.
func report(event string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "loadfleet: %s failed: %v\n", event, err)
		return
	}
	fmt.Fprintf(os.Stderr, "loadfleet: %s\n", event)
}

func (s schedule) begin(ctx context.Context, engine *localfleet.Upstream) error {
	switch s.kind {
	case faultKill:
		engine.Kill()
		return nil
	case faultFreeze:
		engine.Freeze()
		return nil
	case faultGrey:
		return set(ctx, engine, fault.Faults{SlowFactor: greyFactor})
	case faultSilent:
		return set(ctx, engine, fault.Faults{StallOpen: true})
	}
	return set(ctx, engine, fault.Faults{Leaving: true})
}

func (s schedule) end(ctx context.Context, engine *localfleet.Upstream) error {
	switch s.kind {
	case faultKill:
		return trace.Wrap(engine.Start())
	case faultFreeze:
		engine.Thaw()
		return nil
	}
	return set(ctx, engine, fault.Faults{})
}

// set replaces the engine's fault switches.
func set(ctx context.Context, engine *localfleet.Upstream, f fault.Faults) error {
	return localfleet.Send(ctx, http.MethodPut, "http://"+engine.Address+"/standin/faults", f)
}

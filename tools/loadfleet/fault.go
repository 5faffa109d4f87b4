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
	// faultKill kills the process and starts it again at the end.
	faultKill = "kill"
	// faultFreeze pauses the process.
	faultFreeze = "freeze"
	// faultGrey slows the engine down, but it still answers (a grey failure).
	faultGrey = "grey"
	// faultSilent stops all data on the streams that are open at the start,
	// permanently.
	faultSilent = "silent"
	// faultLeave makes the engine report that it is about to stop.
	faultLeave = "leave"
)

// greySlowFactor is the factor by which a grey failure slows the engine down.
const greySlowFactor = 8

// scheduledFault is a fault with its start, counted from the start of the load, and
// its length.
type scheduledFault struct {
	kind          string
	start, length time.Duration
}

// parseFault reads KIND@START+LENGTH.
func parseFault(text string) (scheduledFault, error) {
	kind, rest, ok := strings.Cut(text, "@")
	from, length, ok2 := strings.Cut(rest, "+")
	start, err := time.ParseDuration(from)
	span, err2 := time.ParseDuration(length)
	if !ok || !ok2 || err != nil || err2 != nil {
		return scheduledFault{}, trace.BadParameter("fault %q must have the form KIND@START+LENGTH", text)
	}
	switch kind {
	case faultKill, faultFreeze, faultGrey, faultSilent, faultLeave:
		return scheduledFault{kind, start, span}, nil
	}
	return scheduledFault{}, trace.BadParameter("unknown kind of fault %q", kind)
}

// startFault schedules the fault that text describes for the first engine; an empty
// text means none. The returned function ends the fault early and waits until it is
// cleared.
func startFault(ctx context.Context, fleet *localfleet.Fleet, text string) (stop func(), err error) {
	if text == "" {
		return func() {}, nil
	}
	s, err := parseFault(text)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.run(ctx, fleet.Engines[0]) })
	return func() { cancel(); wg.Wait() }, nil
}

func (s scheduledFault) run(ctx context.Context, engine *localfleet.Upstream) {
	if !sleep.For(ctx, s.start) {
		return
	}
	logEvent("begin "+s.kind, s.begin(ctx, engine))
	sleep.For(ctx, s.length)
	logEvent("end "+s.kind, s.end(context.WithoutCancel(ctx), engine))
}

// logEvent writes an event and its error, if any, to standard error.
func logEvent(event string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "loadfleet: %s failed: %v\n", event, err)
		return
	}
	fmt.Fprintf(os.Stderr, "loadfleet: %s\n", event)
}

func (s scheduledFault) begin(ctx context.Context, engine *localfleet.Upstream) error {
	switch s.kind {
	case faultKill:
		engine.Kill()
		return nil
	case faultFreeze:
		engine.Pause()
		return nil
	case faultGrey:
		return setSwitches(ctx, engine, fault.Faults{SlowFactor: greySlowFactor})
	case faultSilent:
		return setSwitches(ctx, engine, fault.Faults{StallOpen: true})
	}
	return setSwitches(ctx, engine, fault.Faults{Leaving: true})
}

func (s scheduledFault) end(ctx context.Context, engine *localfleet.Upstream) error {
	switch s.kind {
	case faultKill:
		return trace.Wrap(engine.Start())
	case faultFreeze:
		engine.Resume()
		return nil
	}
	return setSwitches(ctx, engine, fault.Faults{})
}

// setSwitches replaces the engine's fault switches.
func setSwitches(ctx context.Context, engine *localfleet.Upstream, f fault.Faults) error {
	return localfleet.Send(ctx, http.MethodPut, "http://"+engine.Address+"/standin/faults", f)
}

// Command demo starts a small deployment on loopback, sends short, very long and
// non-idempotent requests, edits the catalogue, drains an instance, and prints what
// happened. Its exit status is 0 if all steps gave the expected results.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 3 * time.Minute

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := demo(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", trace.UserMessage(err))
		cancel()
		os.Exit(1) //nolint:gocritic // cancel was called
	}
}

// demo runs all steps.
func demo(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "banyanroute-demo-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	say("starting a platform stand-in, 3 engines, 2 booking services and 3 instances on loopback")
	fleet, err := localfleet.Start(ctx, localfleet.Layout{
		BinDir: bin, WorkDir: dir, Instances: 3, Engines: 3, Services: 2,
		Model: "tutor-llm", Service: "booking-api",
		DataCentres: []string{"palermo", "catania", "trapani"}, Region: "sicilia",
		MemoryTokens: 400_000, EngineFlags: []string{"--time-scale", "10"},
		Algorithm: "banyan", ShortWeight: 0.5, LiveLag: 500 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	d := &run{ctx: ctx, fleet: fleet}
	for _, step := range []func() error{d.shortPrompts, d.longWithShort, d.bookTwice, d.repeatAfterKill, d.editCatalogue, d.drain} {
		if err := step(); err != nil {
			return err
		}
	}
	say("done")
	return nil
}

// say prints a line of the demo.
func say(format string, args ...any) { fmt.Printf("demo: "+format+"\n", args...) }

// run is the state of a demo.
type run struct {
	ctx   context.Context
	fleet *localfleet.Fleet
}

// shortPrompts sends a short prompt through each instance.
func (d *run) shortPrompts() error {
	for i, in := range d.fleet.Instances {
		a, err := generate(d.ctx, in.CallersAddress, 1000, 8)
		if err != nil {
			return err
		}
		say("prompt of 1k tokens through i%d: first token after %s, %d tokens, complete answer: %t", i+1, a.firstToken.Round(time.Millisecond), a.tokens, a.complete)
		if !a.complete {
			return trace.BadParameter("the answer was incomplete")
		}
	}
	return nil
}

// longWithShort sends a prompt of more than twice an engine's memory, and short
// prompts while it is processed.
func (d *run) longWithShort() error {
	const longTokens = 900_000
	type outcome struct {
		answer response
		err    error
	}
	long := make(chan outcome, 1)
	go func() {
		a, err := generate(d.ctx, d.fleet.Instances[0].CallersAddress, longTokens, 8)
		long <- outcome{a, err}
	}()
	time.Sleep(200 * time.Millisecond)
	for range 5 {
		a, err := generate(d.ctx, d.fleet.Instances[1].CallersAddress, 1000, 8)
		if err != nil {
			return err
		}
		say("short prompt during the long one: first token after %s", a.firstToken.Round(time.Millisecond))
	}
	o := <-long
	if o.err != nil {
		return o.err
	}
	say("prompt of %d tokens, more than twice one engine's memory: first token after %s, complete answer: %t", longTokens, o.answer.firstToken.Round(time.Millisecond), o.answer.complete)
	return nil
}

// bookTwice sends the same booking through two instances and checks that it runs
// once.
func (d *run) bookTwice() error {
	first, err := book(d.ctx, d.fleet.Instances[0].CallersAddress, "flight-1", "slot=9")
	if err != nil {
		return err
	}
	second, err := book(d.ctx, d.fleet.Instances[1].CallersAddress, "flight-1", "slot=9")
	if err != nil {
		return err
	}
	say("booking through i1: status %d; the same again through i2: status %d, replayed: %t", first.status, second.status, second.replayed)
	if first.status != 200 || !second.replayed || first.body != second.body {
		return trace.BadParameter("the second call did not receive the stored answer")
	}
	other, err := book(d.ctx, d.fleet.Instances[1].CallersAddress, "flight-1", "slot=10")
	if err != nil {
		return err
	}
	say("the same key with another body: status %d, result code %s", other.status, other.code)
	return d.expectRuns("flight-1", 1)
}

// repeatAfterKill repeats a booking through another instance after the first
// instance has crashed, and checks that it ran once.
func (d *run) repeatAfterKill() error {
	first, err := book(d.ctx, d.fleet.Instances[2].CallersAddress, "flight-2", "slot=11")
	if err != nil {
		return err
	}
	d.fleet.Instances[2].Kill()
	again, err := book(d.ctx, d.fleet.Instances[0].CallersAddress, "flight-2", "slot=11")
	if err != nil {
		return err
	}
	say("booking through i3: status %d; i3 killed; the same through i1: status %d, replayed: %t", first.status, again.status, again.replayed)
	return d.expectRuns("flight-2", 1)
}

// editCatalogue deletes an upstream with banyanctl and checks that it receives no
// calls once the edit is applied.
func (d *run) editCatalogue() error {
	before, err := d.servedBy(12)
	if err != nil {
		return err
	}
	removed := slices.MaxFunc(slices.Collect(maps.Keys(before)), func(a, b string) int { return before[a] - before[b] })
	if _, err := d.fleet.Ctl(d.ctx, 0, "delete", "upstream/"+removed); err != nil {
		return err
	}
	start := time.Now()
	want, err := d.fleet.Revision(d.ctx, 0)
	for err == nil && want > 0 {
		var rev uint64
		if rev, err = d.fleet.Revision(d.ctx, 1); rev >= want {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	after, err := d.servedBy(12)
	if err != nil {
		return err
	}
	say("lookups were served by %v; after banyanctl deleted %s (applied on i2 within %s): %v", before, removed, time.Since(start).Round(time.Millisecond), after)
	if after[removed] > 0 {
		return trace.BadParameter("a deleted upstream received new work")
	}
	return nil
}

// servedBy makes n lookups through i2 and counts them by the upstream that served
// them.
func (d *run) servedBy(n int) (map[string]int, error) {
	counts := map[string]int{}
	for range n {
		name, err := lookup(d.ctx, d.fleet.Instances[1].CallersAddress)
		if err != nil {
			return nil, err
		}
		counts[name]++
	}
	return counts, nil
}

// drain drains an instance while a stream runs through it, and checks that the
// stream is complete and the process exits.
func (d *run) drain() error {
	type outcome struct {
		answer response
		err    error
	}
	stream := make(chan outcome, 1)
	go func() {
		a, err := generate(d.ctx, d.fleet.Instances[1].CallersAddress, 50_000, 2000)
		stream <- outcome{a, err}
	}()
	time.Sleep(300 * time.Millisecond)
	if _, err := d.fleet.Ctl(d.ctx, 1, "drain"); err != nil {
		return err
	}
	o := <-stream
	if o.err != nil {
		return o.err
	}
	exited := d.fleet.Instances[1].WaitExit(30 * time.Second)
	say("i2 drained while it streamed: complete answer of %d tokens: %t, process exited by itself: %t", o.answer.tokens, o.answer.complete, exited)
	if !o.answer.complete || !exited {
		return trace.BadParameter("the graceful shutdown interrupted a request or did not finish")
	}
	return nil
}

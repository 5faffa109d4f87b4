package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// edits lets two operators race and checks that accepted edits stay.
type edits struct {
	fleet  *localfleet.Fleet
	report *report

	mu sync.Mutex
	// accepted counts edits that banyanctl reported as done.
	accepted int
	// seen is the highest revision seen per instance and process.
	seen map[string]uint64
}

func newEdits(fleet *localfleet.Fleet, r *report) *edits {
	return &edits{fleet: fleet, report: r, seen: map[string]uint64{}}
}

// editTimeout bounds one edit.
const editTimeout = 5 * time.Second

// race lets two operators edit the same entry through two instances at once.
func (e *edits) race(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for operator := range 2 {
		wg.Go(func() { e.edit(ctx, (n+operator)%len(e.fleet.Instances), n, operator) })
	}
	wg.Wait()
	e.observe(ctx)
}

// edit changes the concurrency limit of a workspace that the load does not use.
func (e *edits) edit(ctx context.Context, instance, n, operator int) {
	value := fmt.Sprintf("limits.concurrent=%d", 1000+2*n+operator)
	out, err := e.fleet.Ctl(ctx, instance, "edit", "workspace/beta", "--set", value)
	kind := "edit: done"
	if err != nil {
		kind = "edit: " + editFailure(out)
	} else {
		e.mu.Lock()
		e.accepted++
		e.mu.Unlock()
	}
	e.report.result(kind, false)
}

// editFailure returns the name of the result code in banyanctl's message.
func editFailure(out string) string {
	for _, name := range []string{"edit-conflict", "edit-unknown", "store-unavailable", "not-ready"} {
		if strings.Contains(out, name) {
			return name
		}
	}
	return "instance not reachable"
}

// observe checks that no running process goes back to a lower revision.
func (e *edits) observe(ctx context.Context) {
	for i, in := range e.fleet.Instances {
		process := fmt.Sprintf("%s/%d", in.Name, in.PID())
		e.mu.Lock()
		before := e.seen[process]
		e.mu.Unlock()
		rev, err := e.fleet.Revision(ctx, i)
		if err != nil || rev == 0 {
			continue
		}
		problem := ""
		if rev < before {
			problem = fmt.Sprintf("%s went back from revision %d to %d", process, before, rev)
		}
		e.report.check(inForce, problem)
		e.mu.Lock()
		e.seen[process] = max(e.seen[process], rev)
		e.mu.Unlock()
	}
}

// Bounds of the catalogue's last check.
const (
	// inForceTime is the time in which all instances must have a revision.
	inForceTime = 5 * time.Second
	inForceStep = 50 * time.Millisecond
)

// finish makes one last edit and checks that it is in force on all instances in
// time, and that the revision counts all accepted edits.
func (e *edits) finish(ctx context.Context) {
	before, err := e.fleet.Revision(ctx, 0)
	if err != nil {
		e.report.check(inForce, "no revision: "+err.Error())
		return
	}
	if before < uint64(e.accepted) {
		e.report.check(inForce, fmt.Sprintf("revision %d is below the %d accepted edits", before, e.accepted))
	}
	start := time.Now()
	if _, err := e.fleet.Ctl(ctx, 0, "edit", "workspace/beta", "--set", "limits.concurrent=77"); err != nil {
		e.report.check(inForce, "last edit refused: "+err.Error())
		return
	}
	for i, in := range e.fleet.Instances {
		problem := ""
		for {
			rev, err := e.fleet.Revision(ctx, i)
			if err == nil && rev > before {
				break
			}
			if time.Since(start) > inForceTime {
				problem = fmt.Sprintf("%s has revision %d after %s, not more than %d (%v)", in.Name, rev, inForceTime, before, err)
				break
			}
			time.Sleep(inForceStep)
		}
		e.report.check(inForce, problem)
	}
}

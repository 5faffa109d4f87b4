package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// edits makes concurrent edits of the catalogue and checks that accepted ones
// persist.
type edits struct {
	fleet  *localfleet.Fleet
	report *report

	mu sync.Mutex
	// accepted counts the edits that banyanctl reported as successful.
	accepted int
	// seen maps each process of an instance to the highest revision it has reported.
	seen map[string]uint64
}

func newEdits(fleet *localfleet.Fleet, r *report) *edits {
	return &edits{fleet: fleet, report: r, seen: map[string]uint64{}}
}

// editTimeout bounds one edit.
const editTimeout = 5 * time.Second

// editTwice edits the same entry through two instances concurrently, as two operators
// would, and checks the revisions.
func (e *edits) editTwice(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for operator := range 2 {
		wg.Go(func() { e.edit(ctx, (n+operator)%len(e.fleet.Instances), n, operator) })
	}
	wg.Wait()
	e.checkRevisions(ctx)
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

// editFailure returns the name of the result code in banyanctl's output.
func editFailure(out string) string {
	for _, name := range []string{"edit-conflict", "edit-unknown", "store-unavailable", "not-ready"} {
		if strings.Contains(out, name) {
			return name
		}
	}
	return "instance not reachable"
}

// checkRevisions checks that no process reverts to a lower revision.
func (e *edits) checkRevisions(ctx context.Context) {
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
		e.report.check(editApplied, problem)
		e.mu.Lock()
		e.seen[process] = max(e.seen[process], rev)
		e.mu.Unlock()
	}
}

// Times of the last check of the catalogue.
const (
	// editApplyTimeout is the time within which all instances must have applied a
	// revision.
	editApplyTimeout      = 5 * time.Second
	editApplyPollInterval = 50 * time.Millisecond
)

// finish makes one last edit and checks that all instances apply it in time, and
// that the revision is at least the number of accepted edits.
func (e *edits) finish(ctx context.Context) {
	before, err := e.fleet.Revision(ctx, 0)
	if err != nil {
		e.report.check(editApplied, "no revision: "+err.Error())
		return
	}
	if before < uint64(e.accepted) {
		e.report.check(editApplied, fmt.Sprintf("revision %d is below the %d accepted edits", before, e.accepted))
	}
	start := time.Now()
	if _, err := e.fleet.Ctl(ctx, 0, "edit", "workspace/beta", "--set", "limits.concurrent=77"); err != nil {
		e.report.check(editApplied, "last edit refused: "+err.Error())
		return
	}
	for i, in := range e.fleet.Instances {
		problem := ""
		for {
			rev, err := e.fleet.Revision(ctx, i)
			if err == nil && rev > before {
				break
			}
			if time.Since(start) > editApplyTimeout {
				problem = fmt.Sprintf("%s has revision %d after %s, not more than %d (%v)", in.Name, rev, editApplyTimeout, before, err)
				break
			}
			time.Sleep(editApplyPollInterval)
		}
		e.report.check(editApplied, problem)
	}
}

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Stops of instances that callers go on using over open connections.
const (
	maxBetweenStops = 6 * time.Second
	// maxFileChangeLead is the longest time between a change of the settings file, without a
	// signal, and SIGTERM.
	maxFileChangeLead = 1500 * time.Millisecond
	callersInStop     = 12
	maxSignalsInStop  = 4
	// maxCutSent is how long after SIGTERM a request may have been sent that the users allow to
	// be cut, in the last sixth of the grace period.
	maxCutSent = 3 * time.Second
	// slowEventInterval makes a stream on slowPath last as long as most of callerTimeout.
	slowEventInterval = 300 * time.Millisecond
	slowPath          = "/stream/slow"
)

// graceSeconds are the grace periods that a stop draws from.
var graceSeconds = []float64{1, 2, 3, 5, 6, 8}

// graceSetting matches the grace period in a settings file.
var graceSetting = regexp.MustCompile(`grace_s: [0-9.]+`)

// stopUnderUse stops one instance after another, each with a grace period that its settings file has
// got without a signal, until ctx ends.
func (s *soakRun) stopUnderUse(ctx context.Context, r *rand.Rand) {
	for n := 0; sleep.For(ctx, time.Duration(r.Int64N(int64(maxBetweenStops)))); n++ {
		p := s.claimProcess(r)
		if p == nil {
			continue
		}
		grace := graceSeconds[r.IntN(len(graceSeconds))]
		s.report.fault(fmt.Sprintf("stop of %s under use, grace period %v s", p.name, grace))
		if err := s.stopOnce(ctx, p, r, n, time.Duration(grace*float64(time.Second))); err != nil {
			s.report.fault("stop under use failed: " + err.Error())
		}
		s.restart(p)
	}
}

// stopOnce stops an instance and checks what its log says of the requests that it ended.
func (s *soakRun) stopOnce(ctx context.Context, p *process, r *rand.Rand, number int, grace time.Duration) error {
	logFile := filepath.Join(s.dir, p.name+".log")
	begin, err := os.Stat(logFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := p.setGrace(grace); err != nil {
		return err
	}
	sleep.For(ctx, time.Duration(r.Int64N(int64(maxFileChangeLead))))
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := range callersInStop {
		id := fmt.Sprintf("stop%d-%d", number, i)
		kind, delay := r.IntN(len(requestKinds)), time.Duration(r.Int64N(int64(grace)))
		conn, err := net.DialTimeout("tcp", p.frontAddress, time.Second)
		if err != nil {
			continue // the store or the machine may be busy; the other callers suffice
		}
		callers.Go(func() { s.callInStop(ctx, p, conn, id, kind, delay) })
	}
	p.signal(syscall.SIGTERM)
	for range r.IntN(maxSignalsInStop + 1) {
		sig := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[r.IntN(2)]
		delay := time.Duration(r.Int64N(int64(grace)))
		callers.Go(func() {
			if sleep.For(ctx, delay) {
				p.signal(sig)
			}
		})
	}
	s.awaitStop(p, grace)
	return s.checkStopLog(logFile, begin.Size(), grace, p.isPrevious.Load())
}

// setGrace changes the grace period in the settings file.
func (p *process) setGrace(grace time.Duration) error {
	text, err := os.ReadFile(p.settingsFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	text = graceSetting.ReplaceAll(text, fmt.Appendf(nil, "grace_s: %v", grace.Seconds()))
	next := p.settingsFile + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(next, p.settingsFile))
}

// callInStop sends a request on an open connection, after the delay.
func (s *soakRun) callInStop(ctx context.Context, p *process, conn net.Conn, id string, k int, delay time.Duration) {
	defer conn.Close() //nolint:errcheck // the caller has its answer or its error
	if !sleep.For(ctx, delay) {
		return
	}
	kind := requestKinds[k]
	if kind.name == "stream" {
		kind.path = slowPath
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		return conn, nil
	}}}
	callCtx, cancel := context.WithTimeout(context.Background(), callerTimeout+s.options.slack)
	defer cancel()
	out := &outcome{kind: kind.name, sentAt: time.Now()}
	out.status, out.body, out.err = exchange(callCtx, client, p.frontAddress, call{kind.method, kind.path, id, "body " + id, promptOf(kind.name, id)})
	out.took = time.Since(out.sentAt)
	s.mu.Lock()
	s.outcomes[id] = out
	s.mu.Unlock()
	s.report.result("in a stop: "+kind.name+" "+outcomeName(out), false)
	late := ""
	if errors.Is(out.err, context.DeadlineExceeded) {
		late = fmt.Sprintf("%s at %s had no answer after %s", id, p.name, out.took)
	}
	s.report.check(endsInTime, late)
	s.report.check(correctAnswer, answerProblem(id, out))
}

// stopLine is what a log line says of a request that ended in a stop.
type stopLine struct {
	Request   string      `json:"request"`
	Code      result.Code `json:"code"`
	Execution string      `json:"execution"`
	GraceMs   int64       `json:"stop_grace_ms"`
	ArrivedMs int64       `json:"stop_arrived_ms"`
	EndedMs   int64       `json:"stop_ended_ms"`
}

// oldGraceTime is how long after SIGTERM d3ebc58 may count with the grace period that the settings file
// had before: it read the file beside the begin of the shutdown, which is mended since.
const oldGraceTime = 200 * time.Millisecond

// checkStopLog checks the lines of a log, from an offset, about the requests that ended in a stop.
func (s *soakRun) checkStopLog(file string, from int64, grace time.Duration, isPrevious bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text[from:]))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line stopLine
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.GraceMs == 0 {
			continue
		}
		if known := time.Duration(line.GraceMs)*time.Millisecond != grace && time.Duration(line.EndedMs)*time.Millisecond < oldGraceTime; known && isPrevious {
			s.report.fault("known fault of the previous build: " + line.problem(grace))
			continue
		}
		s.report.check(gracefulShutdown, line.problem(grace))
	}
	return trace.Wrap(lines.Err())
}

// problem describes how the end of the request breaks the rules of a stop with the grace period.
func (l stopLine) problem(grace time.Duration) string {
	arrived, ended := time.Duration(l.ArrivedMs)*time.Millisecond, time.Duration(l.EndedMs)*time.Millisecond
	isCut := l.Code == result.Draining && l.Execution == string(result.MayHaveRun)
	switch {
	case time.Duration(l.GraceMs)*time.Millisecond != grace:
		return fmt.Sprintf("%s: the instance counts with %d ms of grace, the settings say %s", l.Request, l.GraceMs, grace)
	case isCut && arrived > maxCutSent:
		return fmt.Sprintf("%s was taken %s after SIGTERM and cut at %s of %s", l.Request, arrived, ended, grace)
	case isCut && ended < grace*5/6:
		return fmt.Sprintf("%s was cut %s after SIGTERM, before the last sixth of %s", l.Request, ended, grace)
	}
	return ""
}

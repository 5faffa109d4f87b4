package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// outcome is what one of the soak's callers received for a request.
type outcome struct {
	kind   string
	status int
	body   string
	err    error
	sentAt time.Time
	took   time.Duration
}

// Load of the soak.
const (
	soakCallers = 12
	// callerTimeout is the time limit that callers send; the limit of the
	// configuration is longer.
	callerTimeout = 4 * time.Second
	// maxThinkTime is the longest pause of a caller between two requests.
	maxThinkTime = 60 * time.Millisecond
)

// load sends requests from several callers until ctx ends. Each caller sends one
// request after another, and keeps its connection open as long as the instance
// does.
func (s *soakRun) load(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range soakCallers {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(s.options.seed, uint64(100+i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
			for n := 0; ctx.Err() == nil; n++ {
				p := s.instances[(i+n/20)%len(s.instances)]
				s.sendRequest(client, p, fmt.Sprintf("c%d-%d", i, n), r.IntN(3))
				sleep.For(ctx, time.Duration(r.Int64N(int64(maxThinkTime))))
			}
		})
	}
	wg.Wait()
}

// requestKinds lists the kinds of requests with their method and path.
var requestKinds = []struct{ name, method, path string }{
	{"stream", "POST", "/stream/x"},
	{"read", "GET", "/read/x"},
	{"write", "POST", "/write/x"},
}

// sendRequest sends one request of kind k, records its outcome and checks its time
// and its answer.
func (s *soakRun) sendRequest(client *http.Client, p *process, id string, k int) {
	kind := requestKinds[k]
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+s.options.slack)
	defer cancel()
	fresh := false // whether the request was sent over a new connection
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { fresh = !i.Reused }})
	before := p.disturbances()
	out := &outcome{kind: kind.name, sentAt: time.Now()}
	out.status, out.body, out.err = exchange(ctx, client, p.frontAddress, call{kind.method, kind.path, id, "body " + id, promptOf(kind.name, id)})
	out.took = time.Since(out.sentAt)
	s.mu.Lock()
	s.outcomes[id] = out
	s.mu.Unlock()
	s.report.result(kind.name+" "+outcomeName(out), out.err != nil || out.status != http.StatusOK)
	late := ""
	if errors.Is(out.err, context.DeadlineExceeded) {
		late = fmt.Sprintf("%s at %s had no answer after %s", id, p.name, out.took)
	}
	s.report.check(endsInTime, s.unlessClaimed(p, late))
	s.report.check(correctAnswer, answerProblem(id, out))
	// A kept connection may end just as the next request is sent; a stream that has begun
	// ends with its engine or at the end of the grace period.
	if fresh && before == p.disturbances() && before%2 == 0 {
		s.report.check(gracefulShutdown, problemIf(out.err != nil && out.status == 0, "%s at %s was cut off: %v", id, p.name, out.err))
	}
}

// disturbances returns the number of beginnings and ends of faults that kill or pause the
// process; it is odd during one.
func (p *process) disturbances() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unplanned
}

// unlessClaimed returns the problem, or none if a fault is stopping or pausing the
// process.
func (s *soakRun) unlessClaimed(p *process, problem string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claimed {
		return ""
	}
	return problem
}

// call is one request of a caller.
type call struct {
	method, path, id, body string
	// parts are the IDs of the prompt's parts.
	parts []string
}

// soundParts is the number of first parts that the prompts of streams share.
const soundParts = 5

// promptOf returns the parts of the prompt of a sound request; only streams have any.
func promptOf(kind, id string) []string {
	if kind != "stream" {
		return nil
	}
	return []string{fmt.Sprint("f", xxhash.Sum64String(id)%soundParts), id}
}

// exchange sends one request and returns the status and the part of the body that
// arrived.
func exchange(ctx context.Context, client *http.Client, address string, c call) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, strings.NewReader(c.body))
	if err != nil {
		return 0, "", err
	}
	req.Host = platformtest.Host
	req.GetBody = nil // net/http must not retry the request
	platformtest.SetCallHeaders(req.Header, c.id, callerTimeout)
	if len(c.parts) > 0 {
		platformtest.SetPromptParts(req.Header, c.parts...)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

func outcomeName(out *outcome) string {
	if out.err != nil {
		return "broken off"
	}
	return strconv.Itoa(out.status)
}

// answerProblem returns what is wrong with a complete answer, or with the part of a
// stream that arrived; empty if nothing.
func answerProblem(id string, out *outcome) string {
	if out.status != http.StatusOK {
		return ""
	}
	if out.kind != "stream" {
		if out.err == nil && out.body != platformtest.Body(id) {
			return fmt.Sprintf("%s got %q", id, out.body)
		}
		return ""
	}
	want := expectedStream()
	if !strings.HasPrefix(want, out.body) || out.err == nil && out.body != want {
		return fmt.Sprintf("stream %s got %d of %d bytes, error %v", id, len(out.body), len(want), out.err)
	}
	return ""
}

// soakEvents is the number of events in a streamed answer.
const soakEvents = 12

func expectedStream() string {
	var b strings.Builder
	for n := 1; n <= soakEvents; n++ {
		b.WriteString(platformtest.Event(n))
	}
	return b.String()
}

// checkRecovered checks that each instance serves each kind of request after the
// faults, at the latest on the third attempt.
func (s *soakRun) checkRecovered(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, p := range s.instances {
		for k := range requestKinds {
			problem := ""
			for attempt := range 3 {
				id := fmt.Sprintf("end-%d-%d-%d", i, k, attempt)
				callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
				status, _, err := exchange(callCtx, client, p.frontAddress, call{requestKinds[k].method, requestKinds[k].path, id, "body " + id, nil})
				cancel()
				problem = ""
				if status != http.StatusOK {
					problem = fmt.Sprintf("%s at %s: status %d, error %v", requestKinds[k].name, p.name, status, err)
				}
				if problem == "" {
					break
				}
			}
			s.report.check(recovered, problem)
		}
	}
}

// checkFinalState compares the answers that callers received with the calls that
// upstreams ran, and checks that upstreams hold no reservations.
func (s *soakRun) checkFinalState(ctx context.Context) {
	sleep.For(ctx, time.Second)
	runs := map[string]int{}
	for _, u := range append(s.upstreamsOf(platformtest.EngineService), s.upstreamsOf(platformtest.PlainService)...) {
		for _, r := range u.Runs() {
			runs[r.CallID]++
		}
		held := ""
		if n := u.ReservationCount(); n > 0 {
			held = fmt.Sprintf("%s still holds %d reservations", u.ID, n)
		}
		s.report.check(memoryReleased, held)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// An answer with one of these statuses guarantees that the request did not run.
	notRun := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	for id, out := range s.outcomes {
		if out.kind == "write" {
			s.report.check(atMostOnce, problemIf(runs[id] > 1, "%s ran %d times", id, runs[id]))
		}
		if out.err == nil && slices.Contains(notRun, out.status) && out.kind == "write" {
			s.report.check(notRunCorrect, problemIf(runs[id] > 0, "%s was answered %d and ran", id, out.status))
		}
	}
}

// problemIf returns the formatted text if bad, and an empty one otherwise.
func problemIf(bad bool, format string, args ...any) string {
	if !bad {
		return ""
	}
	return fmt.Sprintf(format, args...)
}

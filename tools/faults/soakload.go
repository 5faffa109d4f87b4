package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// asked is one request of the soak's callers.
type asked struct {
	kind   string
	status int
	body   string
	err    error
	at     time.Time
	took   time.Duration
}

// Load of the soak.
const (
	soakCallers = 12
	// askTimeLimit is the time that callers give; the configuration's is longer.
	askTimeLimit = 4 * time.Second
	// maxThink is the longest pause of a caller between two requests.
	maxThink = 60 * time.Millisecond
)

// load keeps callers busy until ctx ends. Each keeps its connection as long as
// its instance does.
func (s *soakRun) load(ctx context.Context) {
	var wait sync.WaitGroup
	for i := range soakCallers {
		wait.Go(func() {
			r := rand.New(rand.NewPCG(s.options.seed, uint64(100+i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
			for n := 0; ctx.Err() == nil; n++ {
				p := s.instances[(i+n/20)%len(s.instances)]
				s.ask(client, p, fmt.Sprintf("c%d-%d", i, n), r.IntN(3))
				sleep.For(ctx, time.Duration(r.Int64N(int64(maxThink))))
			}
		})
	}
	wait.Wait()
}

// kinds of requests with their method and path.
var kinds = []struct{ name, method, path string }{
	{"stream", "POST", "/stream/x"},
	{"read", "GET", "/read/x"},
	{"write", "POST", "/write/x"},
}

// ask sends one request and checks what can be judged at once.
func (s *soakRun) ask(client *http.Client, p *process, id string, k int) {
	kind := kinds[k]
	ctx, cancel := context.WithTimeout(context.Background(), askTimeLimit+s.options.slack)
	defer cancel()
	a := &asked{kind: kind.name, at: time.Now()}
	a.status, a.body, a.err = exchange(ctx, client, p.front, kind.method, kind.path, id)
	a.took = time.Since(a.at)
	s.mu.Lock()
	s.asked[id] = a
	s.mu.Unlock()
	s.report.result(kind.name+" "+outcomeName(a), a.err != nil || a.status != http.StatusOK)
	late := ""
	if errors.Is(a.err, context.DeadlineExceeded) {
		late = fmt.Sprintf("%s at %s had no answer after %s", id, p.name, a.took)
	}
	s.report.check(inTime, s.unlessStopped(p, late))
	s.report.check(wholeAnswer, wholeProblem(id, a))
}

// unlessStopped drops a problem of a process that was paused by the run itself.
func (s *soakRun) unlessStopped(p *process, problem string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return ""
	}
	return problem
}

func exchange(ctx context.Context, client *http.Client, address, method, path, id string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader("body "+id))
	if err != nil {
		return 0, "", err
	}
	req.Host = platformtest.Host
	req.GetBody = nil // a request is sent once; the client must not repeat it
	platformtest.SetCallHeaders(req.Header, id, askTimeLimit)
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

func outcomeName(a *asked) string {
	if a.err != nil {
		return "broken off"
	}
	return strconv.Itoa(a.status)
}

// wholeProblem says what is wrong with an answer that looks complete, or with
// the part of a stream that came.
func wholeProblem(id string, a *asked) string {
	if a.status != http.StatusOK {
		return ""
	}
	if a.kind != "stream" {
		if a.err == nil && a.body != platformtest.Body(id) {
			return fmt.Sprintf("%s got %q", id, a.body)
		}
		return ""
	}
	whole := wholeSoakStream()
	if !strings.HasPrefix(whole, a.body) || a.err == nil && a.body != whole {
		return fmt.Sprintf("stream %s got %d of %d bytes, error %v", id, len(a.body), len(whole), a.err)
	}
	return ""
}

// soakEvents is the number of events of a stream.
const soakEvents = 12

func wholeSoakStream() string {
	var b strings.Builder
	for n := 1; n <= soakEvents; n++ {
		b.WriteString(platformtest.Event(n))
	}
	return b.String()
}

// checkServesAgain asks each instance after the faults.
func (s *soakRun) checkServesAgain(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, p := range s.instances {
		for k := range kinds {
			problem := ""
			for try := range 3 {
				id := fmt.Sprintf("end-%d-%d-%d", i, k, try)
				askCtx, cancel := context.WithTimeout(ctx, askTimeLimit)
				status, _, err := exchange(askCtx, client, p.front, kinds[k].method, kinds[k].path, id)
				cancel()
				problem = ""
				if status != http.StatusOK {
					problem = fmt.Sprintf("%s at %s: status %d, error %v", kinds[k].name, p.name, status, err)
				}
				if problem == "" {
					break
				}
			}
			s.report.check(servesAgain, problem)
		}
	}
}

// checkEnd compares what callers got with what upstreams ran.
func (s *soakRun) checkEnd(ctx context.Context) {
	sleep.For(ctx, time.Second)
	runs := map[string]int{}
	for _, u := range append(s.all(platformtest.EngineService), s.all(platformtest.PlainService)...) {
		for _, r := range u.Runs() {
			runs[r.CallID]++
		}
		held := ""
		if n := u.Held(); n > 0 {
			held = fmt.Sprintf("%s still holds %d reservations", u.ID, n)
		}
		s.report.check(noMemoryLost, held)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	promised := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	for id, a := range s.asked {
		if a.kind == "write" {
			s.report.check(atMostOnce, problemIf(runs[id] > 1, "%s ran %d times", id, runs[id]))
		}
		if a.err == nil && slices.Contains(promised, a.status) && a.kind == "write" {
			s.report.check(notRunIsTrue, problemIf(runs[id] > 0, "%s was answered %d and ran", id, a.status))
		}
	}
}

func problemIf(bad bool, format string, args ...any) string {
	if !bad {
		return ""
	}
	return fmt.Sprintf(format, args...)
}

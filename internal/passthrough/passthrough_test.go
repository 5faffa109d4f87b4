package passthrough

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/result"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the command line overrides it
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

// TestEventsAreComplete checks that, wherever a stream ends and however it is
// delivered, only complete events are returned, in order and byte for byte, and that
// an end within an event is an error.
func TestEventsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var ends []int
		for n := range rapid.IntRange(1, 12).Draw(t, "events") {
			fmt.Fprintf(&text, "id: %d\n", n+1)
			for range rapid.IntRange(1, 3).Draw(t, "lines") {
				fmt.Fprintf(&text, "data: %s\n", rapid.StringMatching(`[a-z ]{0,20}`).Draw(t, "data"))
			}
			text.WriteString("\n")
			ends = append(ends, text.Len())
		}
		cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
		reader := newEventReader(iotest.HalfReader(strings.NewReader(text.String()[:cut])))
		got, count := "", 0
		for {
			e, err := reader.next()
			if err != nil {
				atBoundary := cut == 0 || count > 0 && ends[count-1] == cut
				if (err == io.EOF) != atBoundary {
					t.Fatalf("cut at %d after %d events: error %v; want io.EOF exactly if the cut is between events", cut, count, err)
				}
				break
			}
			count++
			if e.id != fmt.Sprint(count) {
				t.Fatalf("event %d has ID %q", count, e.id)
			}
			got += string(e.raw)
		}
		if !strings.HasPrefix(text.String(), got) || count > 0 && len(got) != ends[count-1] {
			t.Fatalf("%d events were returned as %q, which is not a series of complete events of the stream", count, got)
		}
	})
}

// TestLongLinesAreOneLine checks that lines of any length around the size of the reader's
// buffer are neither taken for several lines nor for the end of an event.
func TestLongLinesAreOneLine(t *testing.T) {
	size := newEventReader(strings.NewReader("")).in.Size()
	for n := size - 10; n <= size+10; n++ {
		// The text after the first buffer of the line looks like another field.
		text := "data: " + strings.Repeat("x", n-6) + "id: 9" + "\ndata: y\nid: 1\n\n"
		for _, text := range []string{text, strings.Replace(text, "id: 9", "", 1)} {
			e, err := newEventReader(strings.NewReader(text)).next()
			if err != nil || string(e.raw) != text || e.id != "1" || !e.data {
				t.Errorf("line of %d bytes: event of %d of %d bytes, ID %q, data %t, error %v", n, len(e.raw), len(text), e.id, e.data, err)
			}
		}
	}
}

// TestRetriesOfAllInstancesStayInBudget checks that for any sequence of requests and
// retries the instances together spend at most the ratio of the requests plus the
// fixed number in each window. As the users count, the requests of the window before
// are used if they are more.
func TestRetriesOfAllInstancesStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RetryBudget{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}
		n := rapid.IntRange(1, 80).Draw(t, "instances")
		var all []*retryBudgets
		for range n {
			all = append(all, newRetryBudgets(func() RetryBudget { return limit }, func() int { return n }))
		}
		type second struct{ at, requests, retries int }
		var seconds []second
		now := time.Unix(1000, 0)
		for step := range 40 {
			at := now.Add(time.Duration(step) * time.Second)
			m := second{at: step}
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				all[rapid.IntRange(0, n-1).Draw(t, "instance")].addRequest("s", at)
				m.requests++
			}
			for range rapid.IntRange(0, 60).Draw(t, "wanted") {
				if all[rapid.IntRange(0, n-1).Draw(t, "retrying")].spend("s", at) {
					m.retries++
				}
			}
			seconds = append(seconds, m)
		}
		for from := range seconds {
			requests, before, retries := 0, 0, 0
			for _, m := range seconds {
				switch {
				case m.at >= from && m.at < from+10:
					requests += m.requests
					retries += m.retries
				case m.at >= from-10 && m.at < from:
					before += m.requests
				}
			}
			if allowed := limit.Ratio*float64(max(requests, before)) + limit.Extra; float64(retries) > allowed {
				t.Fatalf("%d retries in the 10 s from second %d on, allowed %.0f", retries, from, allowed)
			}
		}
	})
}

// TestStatusPromisesNotRun checks that a status that promises "not run" is never used
// for a request that may have run.
func TestStatusPromisesNotRun(t *testing.T) {
	for _, info := range result.Table() {
		for _, x := range []result.Execution{result.NotRun, result.MayHaveRun, result.Ran} {
			status := statusOf(result.New(info.Code, "test").WithExecution(x))
			switch status {
			case 408, 421, 429, 503:
				if x != result.NotRun {
					t.Errorf("%s with execution %s is answered %d, which promises \"not run\"", info.Name, x, status)
				}
			}
		}
	}
}

// TestTrafficSplit checks that calls are split by the weights, and that the same call
// always goes to the same service.
func TestTrafficSplit(t *testing.T) {
	route := &deployment.Route{Targets: []deployment.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprint("call-", i)
		service := pickTarget(route, id)
		count[service]++
		if pickTarget(route, id) != service {
			t.Fatal("the same call went to two services")
		}
	}
	if share := float64(count["b"]) / 10_000; share < 0.08 || share > 0.12 {
		t.Errorf("a weight of 10%% gets a share of %.3f, want 0.08 to 0.12", share)
	}
}

// TestHostIsNormalized checks that a host is compared without its port and in lower
// case.
func TestHostIsNormalized(t *testing.T) {
	for host, want := range map[string]string{"A.example": "a.example", "a.example:80": "a.example", "a.example": "a.example", "[::1]:5": "::1"} {
		if got := hostOf(host); got != want {
			t.Errorf("%q gives %q, want %q", host, got, want)
		}
	}
}

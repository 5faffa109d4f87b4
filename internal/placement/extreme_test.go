package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// TestExtremeSizesDoNotBlockThePlanner checks that sizes and times that callers or other
// instances may state, however large or negative, neither end the process nor keep the
// planner busy.
func TestExtremeSizesDoNotBlockThePlanner(t *testing.T) {
	values := []int{math.MinInt, -1, 0, 1, 1 << 31, 1 << 40, 1 << 53, math.MaxInt}
	type extreme struct{ prompt, output, most, reserved, lifetime int }
	var cases []extreme
	for _, v := range values {
		cases = append(cases, extreme{v, 400, 400, 100, int(10 * time.Second)}, extreme{5000, v, 400, 100, int(10 * time.Second)},
			extreme{5000, 400, v, 100, int(10 * time.Second)}, extreme{5000, 400, 400, v, int(10 * time.Second)},
			extreme{5000, 400, 400, 100, v}, extreme{v, v, v, v, v}, extreme{130_000, v, v, v, int(10 * time.Second)})
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			done := make(chan struct{})
			go func() {
				defer close(done)
				state := deployment.NewState()
				p := NewPlanner("")
				state.Subscribe(p.SetView)
				model := usersModel()
				now := time.Now()
				state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"llm": {Name: "llm", Engine: &model}}}, now)
				var ups []deployment.Upstream
				for i := range 4 {
					ups = append(ups, deployment.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("e", i), Slots: 16})
				}
				state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, now)
				j := shortJob("extreme")
				j.Prompt, j.Output, j.MaxOutput = c.prompt, c.output, c.most
				j.Lifetime, j.Remaining = time.Duration(c.lifetime), time.Duration(c.lifetime)
				p.Place(j, 1, now)
				j.ID = "adopted"
				p.Adopt(Adoption{Job: j, Decision: Decision{Upstream: "e0", Helpers: []Part{{Upstream: "e1", ReservedTokens: c.reserved}}}}, now)
				for i := range 20 {
					now = now.Add(500 * time.Millisecond)
					next := shortJob(fmt.Sprint("next", i))
					next.Prompt = 60_000 * (i % 3)
					p.Place(next, 1, now)
					p.FirstAnswer("adopted", now)
				}
				p.Ended("adopted", End{Outcome: Completed}, now)
			}()
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("the planner is still busy after 10 s")
			}
		})
	}
}

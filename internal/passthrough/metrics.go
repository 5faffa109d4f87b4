package passthrough

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
)

// count updates the metrics of a request that has ended. docs/OPERATIONS.md lists
// their names and units.
func count(rq *request, err *result.Error) {
	kind, code := "none", result.OK
	if rq.route != nil {
		kind = rq.route.Kind.String()
	}
	if err != nil {
		code = err.Code
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_requests_total{kind=%q,code=%q}`, kind, strconv.Itoa(int(code)))).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`banyanroute_request_seconds{kind=%q}`, kind)).UpdateDuration(rq.arrived)
	if rq.sends > 1 {
		metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_resends_total{kind=%q}`, kind)).Add(rq.sends - 1)
	}
	if rq.route == nil || rq.route.Kind != deployment.Stream || err != nil {
		return
	}
	metrics.GetOrCreateHistogram(`banyanroute_first_event_seconds`).Update(rq.record.first.Seconds())
	metrics.GetOrCreateHistogram(`banyanroute_longest_pause_seconds`).Update(rq.record.pause.Seconds())
	if n := len(rq.record.attempts); n == 1 && rq.record.attempts[0].outcome == placement.Completed {
		deviation := (rq.record.first - rq.record.attempts[0].expect).Abs()
		metrics.GetOrCreateHistogram(`banyanroute_prediction_error_seconds`).Update(deviation.Seconds())
	}
}

// countAttempt counts how an attempt at a service ended.
func countAttempt(service string, o placement.Outcome, began time.Time) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_attempts_total{service=%q,outcome=%q}`, service, o)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`banyanroute_attempt_seconds{service=%q}`, service)).UpdateDuration(began)
}

package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Events of charts/claim.yaml.
const (
	eventBegin  chart.Event = "begin"
	eventFinish chart.Event = "finish"
	eventRefuse chart.Event = "refuse"
	eventLose   chart.Event = "lose"
	eventAge    chart.Event = "age"
	eventForget chart.Event = "forget"
)

// Actions of charts/claim.yaml.
const (
	actionClaim         chart.Action = "claim"
	actionReportClaimed chart.Action = "report-claimed"
	actionReplay        chart.Action = "replay"
	actionReportSpent   chart.Action = "report-spent"
	actionWrite         chart.Action = "write"
	actionDropAnswer    chart.Action = "drop-answer"
	actionDelete        chart.Action = "delete"
)

// decision is what Begin does about an existing row.
type decision int

const (
	// reportRow returns an answer or an error to the caller.
	reportRow decision = iota
	// claimRow repeats the conditional write on the row's current version.
	claimRow
	// ownRow means that this claim has written the row.
	ownRow
)

// decide returns what a claim does about a row that its own write did not produce.
func (l *Ledger) decide(ctx context.Context, claim *Claim, row platform.Row) (decision, *Answer, *result.Error) {
	rec, err := decodeRow(row)
	if err != nil {
		return reportRow, nil, result.Wrap(err, result.Internal, "the key's row is unreadable")
	}
	if rec.ClaimID == claim.record.ClaimID && rec.State == stateClaimed {
		return ownRow, nil, nil
	}
	if rec.State != stateAbsent && rec.Fingerprint != claim.record.Fingerprint {
		l.counts.keyReused.Inc()
		return reportRow, nil, result.New(result.KeyReused, "the idempotency key was used with another route or body")
	}
	t, err := l.chart.Next(rec.State, eventBegin)
	if err != nil {
		return reportRow, nil, result.From(err)
	}
	if slices.Contains(t.Do, actionClaim) {
		return claimRow, nil, nil
	}
	answer, rerr := l.report(ctx, t.Do, rec)
	return reportRow, answer, rerr
}

// report answers a repeat from the current row.
func (l *Ledger) report(ctx context.Context, actions []chart.Action, rec record) (*Answer, *result.Error) {
	switch {
	case slices.Contains(actions, actionReplay):
		return l.replay(ctx, rec)
	case slices.Contains(actions, actionReportClaimed):
		return nil, l.reportClaimed(rec, time.Now())
	case slices.Contains(actions, actionReportSpent):
		return nil, result.New(result.AnswerUnavailable, "the request ran; its answer is no longer kept")
	default:
		return nil, l.unknown()
	}
}

// reportClaimed answers a repeat of a claim whose outcome is not stored.
func (l *Ledger) reportClaimed(rec record, now time.Time) *result.Error {
	expired := now.After(rec.deadline().Add(outcomeGrace))
	if expired || l.options.HasEnded(rec.Owner, rec.Incarnation) {
		return l.unknown()
	}
	l.counts.stillRunning.Inc()
	left := rec.deadline().Add(outcomeGrace).Sub(now)
	wait := min(jitter(retryAfterStillRunning), max(left, 0)+time.Millisecond)
	return result.New(result.StillRunning, "an earlier attempt with this key is still running").WithRetryAfter(wait)
}

func (l *Ledger) unknown() *result.Error {
	l.counts.unknown.Inc()
	return result.New(result.OutcomeUnknown, "an earlier attempt with this key may have run; it is not sent again")
}

// replay returns the stored answer of a finished row.
func (l *Ledger) replay(ctx context.Context, rec record) (*Answer, *result.Error) {
	if rec.Answer != nil {
		l.counts.replayed.Inc()
		return rec.Answer, nil
	}
	data, err := l.objects.GetObject(ctx, rec.ObjectKey)
	if err != nil {
		return nil, result.Wrap(err, result.AnswerUnavailable, "the request ran; its stored answer cannot be read now").
			WithRetryAfter(jitter(retryAfterAnswer))
	}
	answer, err := decodeAnswer(data)
	if err != nil {
		return nil, result.Wrap(err, result.AnswerUnavailable, "the request ran; its stored answer is unreadable")
	}
	l.counts.replayed.Inc()
	return answer, nil
}

// checkKey refuses a key that contains the time of its creation and is too old: its
// row may have been deleted, and a very late repeat must not run again.
func (l *Ledger) checkKey(req Request, now time.Time) *result.Error {
	if req.Key == "" {
		return result.New(result.MissingKey, "the call needs an Idempotency-Key header")
	}
	made, ok := uuidTime(req.Key)
	if ok && now.Sub(made) > l.options.KeyRetention-maxClockSkew {
		l.counts.unknown.Inc()
		return result.New(result.OutcomeUnknown, "the idempotency key is too old to know whether it has run")
	}
	return nil
}

// maxClockSkew is the maximum difference between the clocks of callers and
// instances.
const maxClockSkew = 1 * time.Hour

// uuidTime returns the time of creation that a UUID of version 7 contains.
func uuidTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

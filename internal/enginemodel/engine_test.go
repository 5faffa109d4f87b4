package enginemodel

import (
	"testing"
	"time"
)

func testModel() *Model {
	return &Model{
		Slots: 12, MemoryTokens: 197_200, Step: time.Millisecond, PrefillRate: 200_000, Chunk: 2000, Stride: 48, Joint: true,
	}
}

// readyAt returns when id's prompt is predicted to be ready, or zero.
func readyAt(e *Engine, id string, until time.Time) time.Time {
	e.Advance(until)
	var at time.Time
	e.Each(func(p Progress) {
		if p.ID == id {
			at = p.First
		}
	})
	return at
}

// wantReady checks when id's prompt is predicted to be ready, with the engine
// advanced to until.
func wantReady(t *testing.T, e *Engine, id string, until, start time.Time, want time.Duration) {
	t.Helper()
	if got := readyAt(e, id, until); !got.Equal(start.Add(want)) {
		t.Errorf("%s is ready after %v, want %v", id, got.Sub(start), want)
	}
}

func joint(id string, tokens int) Work { return Work{ID: id, Tokens: tokens, Part: true, Joint: true} }

// TestNewestJointPromptGoesFirst checks that a new part of a prompt is prefilled
// before older ones, also those already begun, from the next step on.
func TestNewestJointPromptGoesFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	e := NewEngine(testModel())
	e.Add(joint("old", 40_000), start) // 20 steps of 11 ms
	e.Add(joint("new", 10_000), start.Add(50*time.Millisecond))
	end := start.Add(time.Second)
	// The step in progress ends at 55 ms; 5 steps follow.
	wantReady(t, e, "new", end, start, 110*time.Millisecond)
	wantReady(t, e, "old", end, start, 275*time.Millisecond)
}

// TestJointPromptsGoBeforeWholeOnes checks that a part of a prompt is prefilled before
// a whole prompt, also one already begun.
func TestJointPromptsGoBeforeWholeOnes(t *testing.T) {
	start := time.Unix(1000, 0)
	e := NewEngine(testModel())
	e.Add(Work{ID: "whole", Tokens: 20_000, Output: 48}, start)
	e.Add(joint("part", 10_000), start.Add(time.Millisecond))
	end := start.Add(200 * time.Millisecond)
	wantReady(t, e, "part", end, start, 66*time.Millisecond)
	wantReady(t, e, "whole", end, start, 165*time.Millisecond)
}

// TestRemovedPromptFreesTheEngine checks that a removed prompt occupies the engine
// only until the end of the step in progress.
func TestRemovedPromptFreesTheEngine(t *testing.T) {
	start := time.Unix(1000, 0)
	e := NewEngine(testModel())
	e.Add(Work{ID: "gone", Tokens: 100_000, Output: 48}, start)
	e.Remove("gone", start.Add(100*time.Millisecond))
	e.Add(Work{ID: "next", Tokens: 2000, Output: 48}, start.Add(101*time.Millisecond))
	wantReady(t, e, "next", start.Add(150*time.Millisecond), start, 121*time.Millisecond)
}

// TestLatePartHasCost checks that a prediction counts the lateness that a new part
// causes to a prompt of which an older part is prefilled here.
func TestLatePartHasCost(t *testing.T) {
	start := time.Unix(1000, 0)
	e := NewEngine(testModel())
	old := joint("old", 40_000)
	old.Start, old.FirstBy, old.ReadyBy, old.Value = start, start.Add(400*time.Millisecond), start.Add(220*time.Millisecond), 10
	e.Add(old, start)
	before, _ := e.Predict(nil, start, start.Add(time.Second))
	w := joint("new", 60_000)
	after, _ := e.Predict(&w, start, start.Add(time.Second))
	if after-before < LateCost*old.Value*0.9 {
		t.Errorf("a part that makes an older prompt late costs %.2f, want about %.2f", after-before, LateCost*old.Value)
	}
}

// TestLongAnswersGoOn guards against a slot that is predicted to be free soon because its answer
// is longer than expected: with a tail, an answer of 50 times the expected output goes on for as
// long as a part of what it has sent.
func TestLongAnswersGoOn(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		tail      float64
		soon, far int // passes
	}{{0, 0, 3}, {0.5, 20, 32}} {
		m := testModel()
		m.Slots = 1
		e := NewEngine(m)
		e.Add(Work{ID: "long", Tokens: 100, Output: m.Stride, Tail: c.tail}, start)
		e.FirstToken("long", start)
		pass := time.Duration(m.Stride) * m.Step
		now := start.Add(50 * pass)
		_, ready := e.Predict(&Work{ID: "next", Tokens: 100, Output: m.Stride}, now, now.Add(time.Minute))
		if wait := int(ready.Sub(now) / pass); wait < c.soon || wait > c.far {
			t.Errorf("tail %.1f: a slot is expected after %d passes, want %d to %d", c.tail, wait, c.soon, c.far)
		}
	}
}

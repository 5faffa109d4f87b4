package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Parts in the tests: bad crashes upstreams, the others are sound.
const (
	bad uint64 = iota + 1
	first
	second
)

// upstreams returns the names of incarnations of upstreams, each a new one.
func incarnations() func() string {
	n := 0
	return func() string { n++; return fmt.Sprint("e", n) }
}

// fullIf returns a full trial if trial is true, else none.
func fullIf(trial bool) Trial {
	if trial {
		return FullTrial
	}
	return NoTrial
}

// crash records that a request with the parts was lost on an upstream that crashed.
func crash(x *PartTable, incarnation string, at time.Time, trial bool, parts ...uint64) Effects {
	x.Lost(incarnation, "", parts, fullIf(trial), at)
	e, _ := x.Confirm(incarnation, at)
	return e
}

// verdict returns the verdict on a request with the parts.
func verdict(x *PartTable, at time.Time, parts ...uint64) Verdict {
	return x.Assess(parts, 0, at).Verdict
}

// TestPartIsQuarantinedAfterTrial checks that a part in two crashes is a suspect, that a
// trial waits for the result of another one, that a crashed trial quarantines the part,
// and that crashes that the part explains are not held against others.
func TestPartIsQuarantinedAfterTrial(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	crash(x, next(), epoch, false, bad, first)
	if v := verdict(x, epoch, bad); v != Clear {
		t.Errorf("verdict %d after one crash, want clear", v)
	}
	crash(x, next(), epoch, false, bad, second)
	if v := verdict(x, epoch, bad); v != Suspect {
		t.Errorf("verdict %d after two crashes, want suspect", v)
	}
	crash(x, next(), epoch, true, bad, 98)
	if v := verdict(x, epoch, bad); v != Suspect {
		t.Errorf("verdict %d after one trial, want suspect", v)
	}
	trial := next()
	x.Lost(trial, "", []uint64{bad, 99}, FullTrial, epoch)
	if v := verdict(x, epoch, bad); v != Pending {
		t.Errorf("verdict %d while it is unknown why the trial was lost, want pending", v)
	}
	e, _ := x.Confirm(trial, epoch)
	if v := verdict(x, epoch, bad, second); v != Quarantined {
		t.Errorf("verdict %d after the trial, want quarantined", v)
	}
	if len(e.Saved) != 1 || len(e.Explained) != 4 {
		t.Errorf("got %+v, want one record and four explained crashes", e)
	}
	if v := verdict(x, epoch, first); v != Clear {
		t.Errorf("verdict %d on a part in two of the crashes, want clear", v)
	}
	last := next()
	x.Lost(last, "", []uint64{bad, first, second}, NoTrial, epoch)
	if _, explained := x.Confirm(last, epoch); !explained {
		t.Error("a crash with the quarantined part in flight isn't explained")
	}
}

// TestPartsThatComeTogetherAreTold checks that a request is refused if it has all parts of
// which one is the cause, and that the others are cleared by requests without the cause.
func TestPartsThatComeTogetherAreTold(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	for range suspectPartCrashes {
		crash(x, next(), epoch, false, first, second, bad)
	}
	for range provingTrials {
		crash(x, next(), epoch, true, first, second, bad)
	}
	if v := verdict(x, epoch, first, second, bad); v != Quarantined {
		t.Errorf("verdict %d on all parts, want quarantined", v)
	}
	if v := verdict(x, epoch, first, second); v != Suspect {
		t.Errorf("verdict %d on the sound parts, want a trial", v)
	}
	e := x.Served([]uint64{first, second}, epoch.Add(time.Second))
	if v := verdict(x, epoch, first, second); v != Clear {
		t.Errorf("verdict %d on the sound parts after they were served, want clear", v)
	}
	if v := verdict(x, epoch, 99, bad); v != Quarantined {
		t.Errorf("verdict %d on the cause beside another part, want quarantined", v)
	}
	if len(e.Saved) == 0 || len(e.Released) == 0 {
		t.Errorf("got %+v, want the record of the proof replaced", e)
	}
}

// TestPartIsProvedAfterManyCrashes checks that trials prove a part that was in more crashes
// than are recorded before the first trial.
func TestPartIsProvedAfterManyCrashes(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	for range 2 * maxPartCrashes {
		crash(x, next(), epoch, false, bad)
	}
	for range provingTrials {
		crash(x, next(), epoch, true, bad)
	}
	if v := verdict(x, epoch, bad); v != Quarantined {
		t.Errorf("verdict %d, want quarantined", v)
	}
}

// TestEarlierAnswerDoesNotClearPart checks that a request whose answer began before the
// first crash does not clear its parts: the part may crash upstreams since then.
func TestEarlierAnswerDoesNotClearPart(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	crash(x, next(), epoch, false, bad)
	crash(x, next(), epoch.Add(time.Second), false, bad)
	x.Served([]uint64{bad}, epoch.Add(-time.Millisecond))
	if v := verdict(x, epoch.Add(time.Second), bad); v != Suspect {
		t.Errorf("verdict %d, want suspect", v)
	}
}

// TestBrokenConnectionsDoNotCountAgainstParts checks that losses on an upstream that did
// not crash are dropped, also those whose cause is never known.
func TestBrokenConnectionsDoNotCountAgainstParts(t *testing.T) {
	x := NewPartTable()
	x.Lost("a", "", []uint64{first}, NoTrial, epoch)
	x.Lost("b", "", []uint64{first}, NoTrial, epoch)
	if v := verdict(x, epoch, first); v != Suspect {
		t.Errorf("verdict %d while two losses are unexplained, want suspect", v)
	}
	x.Dismiss("a", epoch.Add(1))
	if v := verdict(x, epoch, first); v != Clear {
		t.Errorf("verdict %d after one was a broken connection, want clear", v)
	}
	x.Lost("c", "", []uint64{first}, NoTrial, epoch)
	if v := verdict(x, epoch.Add(PendingTimeout+1), first); v != Clear {
		t.Errorf("verdict %d after the time for an explanation, want clear", v)
	}
}

// TestOutageDoesNotHoldCommonPart checks that a part that all requests share is no suspect
// after the loss of many upstreams as soon as requests with it are answered elsewhere.
func TestOutageDoesNotHoldCommonPart(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	const lost = 8
	for range lost {
		crash(x, next(), epoch, false, first)
	}
	for range lost + excessAnswers {
		x.Answered([]uint64{first})
	}
	if v := verdict(x, epoch, first); v != Clear {
		t.Errorf("verdict %d, want clear", v)
	}
}

// TestCrashWithTwoSuspectsProvesNothing checks that a trial does not prove its part to be
// the cause if another suspect part was in flight on the same upstream.
func TestCrashWithTwoSuspectsProvesNothing(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	crash(x, next(), epoch, false, first)
	crash(x, next(), epoch, false, first)
	crash(x, next(), epoch, false, bad)
	both := next()
	x.Lost(both, "", []uint64{first}, FullTrial, epoch)
	x.Lost(both, "", []uint64{bad}, NoTrial, epoch)
	x.Confirm(both, epoch)
	if v := verdict(x, epoch, first); v != Suspect {
		t.Errorf("verdict %d, want suspect", v)
	}
}

// TestProvedPartIsClearedWithoutItsCrashes checks that a request that is answered clears a
// part of a proof whose crashes are not known, as after a restart.
func TestProvedPartIsClearedWithoutItsCrashes(t *testing.T) {
	x := NewPartTable()
	x.Restore(Record{Parts: []uint64{first, bad}, Since: epoch}, epoch)
	x.Served([]uint64{first}, epoch.Add(time.Second))
	if v := verdict(x, epoch, second, bad); v != Quarantined {
		t.Errorf("verdict %d on the other part of the proof, want quarantined", v)
	}
	x.Served([]uint64{bad}, epoch.Add(time.Second))
	if v := verdict(x, epoch, bad); v != Clear {
		t.Errorf("verdict %d on a part that was served, want clear", v)
	}
}

// TestAnsweredPartDoesNotSpoilTrial checks that a part that is no suspect, because requests
// with it are answered, does not keep a trial beside it from proving another part.
func TestAnsweredPartDoesNotSpoilTrial(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	for range suspectPartCrashes {
		crash(x, next(), epoch, false, first)
		crash(x, next(), epoch, false, bad)
	}
	for range 10 {
		x.Answered([]uint64{first})
	}
	for range provingTrials {
		up := next()
		x.Lost(up, "", []uint64{bad}, FullTrial, epoch)
		x.Lost(up, "", []uint64{first}, NoTrial, epoch)
		x.Confirm(up, epoch)
	}
	if v := verdict(x, epoch, bad); v != Quarantined {
		t.Errorf("verdict %d, want quarantined", v)
	}
	if v := verdict(x, epoch, first); v != Clear {
		t.Errorf("verdict %d on the part that is answered, want clear", v)
	}
}

// TestOneTrialAfterQuarantine checks that after a quarantine the part is a suspect, and
// that the crash of the next trial quarantines it again.
func TestOneTrialAfterQuarantine(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	for range suspectPartCrashes {
		crash(x, next(), epoch, false, bad)
	}
	for range provingTrials {
		crash(x, next(), epoch, true, bad)
	}
	later := epoch.Add(quarantineTime + time.Second)
	if v := verdict(x, later, bad); v != Suspect {
		t.Fatalf("verdict %d after the quarantine, want suspect", v)
	}
	crash(x, next(), later, true, bad)
	if v := verdict(x, later, bad); v != Quarantined {
		t.Errorf("verdict %d after another crash, want quarantined", v)
	}
}

// TestProofReachesOtherInstances checks that notices and stored records have the effect
// of the crashes themselves, and that a clearance reaches other instances.
func TestProofReachesOtherInstances(t *testing.T) {
	x, next := NewPartTable(), incarnations()
	var e Effects
	for range suspectPartCrashes {
		e.add(crash(x, next(), epoch, false, first, bad))
	}
	for range provingTrials {
		e.add(crash(x, next(), epoch, true, first, bad))
	}
	noticed, restored := NewPartTable(), NewPartTable()
	receive := func(list []Notice) {
		t.Helper()
		messages, err := Messages(list)
		if err != nil {
			t.Fatal(err)
		}
		for _, payload := range messages {
			decoded, err := Decode("peer", payload)
			if err != nil {
				t.Fatal(err)
			}
			for _, n := range decoded {
				noticed.Observe(n, epoch)
			}
		}
	}
	receive(e.Notices)
	for _, r := range x.Records() {
		restored.Restore(r, epoch)
	}
	for name, y := range map[string]*PartTable{"notices": noticed, "records": restored} {
		if v := verdict(y, epoch, first, bad); v != Quarantined {
			t.Errorf("%s: verdict %d, want quarantined", name, v)
		}
	}
	receive(x.Served([]uint64{first}, epoch.Add(time.Second)).Notices)
	if v := verdict(noticed, epoch, first); v != Clear {
		t.Errorf("verdict %d on a cleared part, want clear", v)
	}
	if v := verdict(noticed, epoch, bad, second); v != Quarantined {
		t.Errorf("verdict %d on the cause, want quarantined", v)
	}
}

// The users' bound: from containmentTime after its fifth crash, at most maxLateSends
// requests with the part are sent.
const (
	containmentTime = 3 * time.Second
	maxLateSends    = 3
)

// TestOnlyCrashingPartsAreQuarantined runs random requests on random upstreams and checks
// that requests without a crashing part are not quarantined once each part was served,
// and that crashing parts are contained within the users' bound.
func TestOnlyCrashingPartsAreQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, next := NewPartTable(), incarnations()
		soundParts := rapid.IntRange(1, 12).Draw(t, "sound parts")
		badParts := rapid.IntRange(1, 2).Draw(t, "bad parts")
		now, crashes, fifth, late := epoch, map[uint64]int{}, map[uint64]time.Time{}, map[uint64]int{}
		isBad := func(part uint64) bool { return part >= 1000 }
		for step := range 150 {
			now = now.Add(100 * time.Millisecond)
			// The last steps serve each sound part by itself.
			parts := []uint64{uint64(rapid.IntRange(1, soundParts).Draw(t, "first"))}
			if rapid.Bool().Draw(t, "two") {
				parts = append(parts, uint64(rapid.IntRange(1, soundParts).Draw(t, "second")))
			}
			if step < 100 && rapid.Bool().Draw(t, "bad") {
				parts = append(parts, 1000+uint64(rapid.IntRange(0, badParts-1).Draw(t, "which")))
			}
			a := x.Assess(parts, 0, now)
			if a.Verdict >= Pending {
				continue
			}
			cause := parts[len(parts)-1]
			if !isBad(cause) {
				x.Answered(parts)
				x.Served(parts, now)
				continue
			}
			if crashes[cause]++; crashes[cause] == 5 {
				fifth[cause] = now
			}
			if at, known := fifth[cause]; known && now.Sub(at) > containmentTime {
				late[cause]++
			}
			up := next()
			bystander := uint64(rapid.IntRange(0, soundParts).Draw(t, "bystander"))
			if bystander > 0 && verdict(x, now, bystander) == Clear { // else it would be a trial, on another upstream
				x.Lost(up, "", []uint64{bystander}, NoTrial, now)
			}
			x.Lost(up, "", parts, fullIf(a.Verdict == Suspect), now)
			x.Confirm(up, now)
		}
		for part := range uint64(soundParts) {
			x.Served([]uint64{part + 1}, now.Add(time.Second))
		}
		for part := range uint64(soundParts) {
			if v := verdict(x, now, part+1); v != Clear {
				t.Errorf("verdict %d on sound part %d that was served, want clear", v, part+1)
			}
		}
		for part, n := range late {
			if n > maxLateSends {
				t.Errorf("part %d crashed %d upstreams, %d of them later than %s after the fifth, want at most %d", part, crashes[part], n, containmentTime, maxLateSends)
			}
		}
	})
}

package main

import (
	"testing"
	"time"
)

// TestParseFault checks that a fault needs a known kind, a start and a length.
func TestParseFault(t *testing.T) {
	got, err := parseFault("grey@20s+1m")
	if want := (scheduledFault{faultGrey, 20 * time.Second, time.Minute}); err != nil || got != want {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, text := range []string{"grey", "grey@1s", "grey@1+1s", "other@1s+1s"} {
		if _, err := parseFault(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

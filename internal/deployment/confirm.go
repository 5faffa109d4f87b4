package deployment

import (
	"context"
	"time"
)

// confirmation is the progress of a follower's calls, for Confirm. The Follower's mu guards it.
type confirmation struct {
	// asked reports whether a snapshot is to be read without waiting for anything else.
	asked bool
	// hurry ends a wait between two calls.
	hurry chan struct{}
	// answeredBegan and failedBegan are when the last calls began that were answered or failed;
	// changed is closed and replaced when one of them changes.
	answeredBegan, failedBegan time.Time
	changed                    chan struct{}
}

// Confirm reads the source again, and waits until the result of a call that began after this one
// is in the state. A failed call ends the wait only from patience on: until then the next one may
// succeed. It returns the error of ctx if that ends first.
func (f *Follower) Confirm(ctx context.Context, patience time.Duration) error {
	began := time.Now()
	impatient := time.After(patience)
	f.mu.Lock()
	f.confirm.asked = true
	if f.interrupt != nil {
		f.interrupt()
	}
	f.mu.Unlock()
	select {
	case f.confirm.hurry <- struct{}{}:
	default:
	}
	for {
		f.mu.Lock()
		answered, failed := !f.confirm.answeredBegan.Before(began), !f.confirm.failedBegan.Before(began)
		changed := f.confirm.changed
		f.mu.Unlock()
		if answered || failed && time.Since(began) >= patience {
			return nil
		}
		select {
		case <-changed:
		case <-impatient:
			impatient = nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beforeCall applies what another instance has sent, and reports whether a snapshot is asked for.
func (f *Follower) beforeCall() bool {
	f.applyFetched()
	return f.takeConfirmation()
}

// takeConfirmation reports whether a snapshot was asked for since the last call.
func (f *Follower) takeConfirmation() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.confirm.asked
	f.confirm.asked = false
	return asked
}

// setInterrupt sets what interrupts the current call, and does so if a snapshot is asked for.
func (f *Follower) setInterrupt(interrupt context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = interrupt
	if f.confirm.asked {
		interrupt()
	}
}

// recordCall records the end of a call whose result, if it has one, is in the state.
func (f *Follower) recordCall(began time.Time, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed {
		f.confirm.failedBegan = began
	} else {
		f.confirm.answeredBegan = began
	}
	close(f.confirm.changed)
	f.confirm.changed = make(chan struct{})
}

// pause waits for d, until ctx ends, or until a snapshot is asked for.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-f.confirm.hurry:
	case <-time.After(d):
	case <-ctx.Done():
	}
}

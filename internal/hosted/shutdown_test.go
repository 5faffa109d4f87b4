package hosted

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/run"
	"pgregory.net/rapid"
)

// TestShutdownUsesGracePeriodsOfAnyLength guards against a shutdown that ends requests before the
// last sixth of a short grace period, in which alone the users allow it, or after the process is killed.
func TestShutdownUsesGracePeriodsOfAnyLength(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1000, 0)
		grace := time.Duration(rapid.IntRange(1, 600_000).Draw(t, "grace_ms")) * time.Millisecond
		stop := planStop(began, grace)
		if stop.End.Before(began.Add(grace * 5 / 6)) {
			t.Errorf("with %s requests are ended after %s", grace, stop.End.Sub(began))
		}
		if !stop.End.Before(began.Add(grace)) {
			t.Errorf("with %s no time is left for the exit", grace)
		}
		if stop.NewUntil.After(stop.End) || stop.NewUntil.Sub(began) > 3*time.Second {
			t.Errorf("with %s requests that may outlast it are begun for %s", grace, stop.NewUntil.Sub(began))
		}
	})
	if stop := planStop(time.Unix(1000, 0), 0); stop.Grace != defaultStopGrace {
		t.Errorf("without a grace period %s are used", stop.Grace)
	}
}

// TestStopSignalIsNotLostAmongReloads guards against a SIGTERM that is dropped because reloads that
// have not been handled fill the queue of signals.
func TestStopSignalIsNotLostAmongReloads(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte("changed"), 0o600); err != nil {
		t.Fatal(err)
	}
	blocked := make(chan struct{})
	n := New(Options{
		Settings:      Settings{Instance: "i", StopGrace: time.Second, CallersAddress: "127.0.0.1:0"},
		ReadinessPath: "/ready",
		SettingsFile: SettingsFile{Path: file, Parse: func([]byte) (Settings, error) {
			<-blocked // a file system that does not answer
			return Settings{}, context.Canceled
		}},
	})
	var group run.Group
	if err := n.addCallersServer(&group); err != nil {
		t.Fatal(err)
	}
	n.addSignalHandler(t.Context(), &group)
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	for range 10 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond) // signals of one kind that follow at once are merged
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); !n.draining(); {
		if time.Now().After(deadline) {
			t.Fatal("SIGTERM had no effect for 5 s")
		}
		time.Sleep(time.Millisecond)
	}
	close(blocked)
	if err := <-ended; err != nil {
		t.Errorf("the shutdown ended with %v", err)
	}
}

// TestGracePeriodChangedJustBeforeTheStopCounts guards against requests that are begun, right after
// SIGTERM, for a longer grace period than the settings file has by then.
func TestGracePeriodChangedJustBeforeTheStopCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := newSettingsFile(t)
		file.write(t, "6s")
		n := &Instance{follower: newSettingsFollower(Settings{StopGrace: 6 * time.Second}, SettingsFile{file.path, file.parse})}
		n.follower.Refresh()
		file.write(t, "2s")
		if !n.beginStop(time.Now()) {
			t.Fatal("the shutdown did not begin")
		}
		if got := n.stop.Load().Grace; got != 2*time.Second {
			t.Errorf("grace %s, want 2s", got)
		}
	})
}

// TestGracePeriodOfAFileBeingWrittenIsAdopted guards against a shutdown that ends requests early because
// the settings file was being written when it began.
func TestGracePeriodOfAFileBeingWrittenIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := newSettingsFile(t)
		file.write(t, "3s")
		n := &Instance{follower: newSettingsFollower(Settings{StopGrace: 3 * time.Second}, SettingsFile{file.path, file.parse})}
		n.follower.Refresh()
		file.write(t, "half")
		n.stop.Store(planStop(time.Now(), n.follower.Current().StopGrace))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { n.followGrace(ctx); close(done) }()
		time.Sleep(graceCheckInterval / 2)
		file.write(t, "6s")
		time.Sleep(3 * graceCheckInterval)
		if got := n.stop.Load().Grace; got != 6*time.Second {
			t.Errorf("grace %s, want 6s, which the file was to hold when the shutdown began", got)
		}
		file.write(t, "9s")
		time.Sleep(3 * graceCheckInterval)
		if got := n.stop.Load().Grace; got > 6*time.Second {
			t.Errorf("grace %s: a longer one comes too late", got)
		}
		cancel()
		<-done
	})
}

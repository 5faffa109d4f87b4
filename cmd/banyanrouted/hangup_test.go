package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/platform"
)

// TestHangupDuringStartEndsNothing guards against a SIGHUP that ends a process which is still reading its
// settings. The settings file is a pipe, so the process waits there for as long as the test does.
func TestHangupDuringStartEndsNothing(t *testing.T) {
	program, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "--platform")
	cmd.Env = append(os.Environ(), platform.BootVariable+"="+path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	timeout := time.AfterFunc(30*time.Second, func() { _ = cmd.Process.Kill() })
	defer timeout.Stop()
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the process reads
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Errorf("sending SIGHUP: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = settings.WriteString("no settings") // fails if the process has ended
	settings.Close()
	_ = cmd.Wait() // its code is checked below
	if code := cmd.ProcessState.ExitCode(); code != exitBadUsage {
		t.Errorf("the process ended with %s, want code %d for its settings", cmd.ProcessState, exitBadUsage)
	}
}

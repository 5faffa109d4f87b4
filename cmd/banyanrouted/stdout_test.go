package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/platform"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

func TestMain(m *testing.M) {
	if os.Getenv(platform.BootVariable) == "" {
		os.Exit(m.Run())
	}
	os.Args = []string{os.Args[0], "--platform"}
	os.Exit(mainCode())
}

// hostedProcess is an instance that runs in a process of its own.
type hostedProcess struct {
	cmd     *exec.Cmd
	callers string
	// output is the reading end of the standard output.
	output *os.File
	ended  chan error
}

// startHosted starts an instance and waits until it is ready.
func startHosted(t *testing.T, rig *platformtest.Rig) *hostedProcess {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, rig.Settings(t, "front-1"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	output, input, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &hostedProcess{cmd: exec.Command(os.Args[0]), callers: s.CallersAddress, output: output, ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), platform.BootVariable+"="+path)
	p.cmd.Stdout, p.cmd.Stderr = input, os.Stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	input.Close()
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if it has ended
		output.Close()
	})
	platformtest.WaitFor(t, "readiness", func() bool {
		res, err := http.Get("http://" + s.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	return p
}

// ask sends a request of a stream.
func (p *hostedProcess) ask(t *testing.T, id string) platformtest.Reply {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return platformtest.SendRequest(ctx, p.callers, "POST", "/stream/x", id, nil)
}

// TestClosedLogCutsNoRequest guards against a process that ends at once, with all its requests, when
// it writes to a standard output that nobody reads any more.
func TestClosedLogCutsNoRequest(t *testing.T) {
	rig := platformtest.NewRig(t, 1, 0)
	rig.Engines[0].EventInterval = 300 * time.Millisecond
	p := startHosted(t, rig)
	replies := make(chan platformtest.Reply, 1)
	go func() { replies <- p.ask(t, "running") }()
	platformtest.WaitFor(t, "the stream", func() bool { return len(rig.Engines[0].Runs()) == 1 })
	p.output.Close()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil { // logs that it was received
		t.Fatal(err)
	}
	if r := <-replies; r.Status != http.StatusOK || r.Err != nil {
		t.Errorf("status %d, error %v; want the whole stream", r.Status, r.Err)
	}
	if err := <-p.ended; err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// TestUnreadLogDoesNotHoldTheExit guards against a process that has shut down and waits for a reader
// of its log until it is killed.
func TestUnreadLogDoesNotHoldTheExit(t *testing.T) {
	rig := platformtest.NewRig(t, 1, 0)
	rig.GraceS = 4
	p := startHosted(t, rig)
	for i := range 900 { // each line has 0.5 KB or more; a pipe holds 64 KB
		conn, err := net.Dial("tcp", p.callers)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET /nowhere/%d HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", i)
		_, err = io.Copy(io.Discard, conn)
		conn.Close()
		if err != nil {
			t.Fatal(err)
		}
	}
	if r := p.ask(t, "after"); r.Status != http.StatusOK || !strings.Contains(r.Body, "data") {
		t.Errorf("status %d, error %v; want the whole stream", r.Status, r.Err)
	}
	began := time.Now()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-p.ended:
		t.Logf("the process ended after %s with %v", time.Since(began), err)
	case <-time.After(4 * time.Second):
		t.Error("the process still runs at the end of its grace period")
	}
}

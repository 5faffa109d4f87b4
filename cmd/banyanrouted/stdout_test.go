package main

import (
	"bytes"
	"context"
	"errors"
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

// ownSettings is the environment variable with the settings file of a process that runs an
// instance with its own interface instead of the tests.
const ownSettings = "BANYANROUTE_TEST_SETTINGS"

func TestMain(m *testing.M) {
	switch path := os.Getenv(ownSettings); {
	case path != "":
		os.Args = []string{os.Args[0], "--config", path}
	case os.Getenv(platform.BootVariable) != "":
		os.Args = []string{os.Args[0], "--platform"}
	default:
		code := m.Run()
		_ = os.RemoveAll(daemonDir) // empty if no test has built the daemon
		os.Exit(code)
	}
	os.Exit(mainCode())
}

// hostedProcess is an instance that runs in a process of its own.
type hostedProcess struct {
	cmd *exec.Cmd
	// settings is its settings file.
	settings []byte
	callers  string
	// output is the reading end of the standard output.
	output *os.File
	ended  chan error
}

// maxStarts bounds the starts of an instance whose ports were taken by another process after they were
// chosen.
const maxStarts = 4

// startHosted starts an instance of a program, which is this one or the daemon, and waits until it is
// ready.
func startHosted(t *testing.T, rig *platformtest.Rig, program string) *hostedProcess {
	t.Helper()
	for range maxStarts {
		if p := startOnce(t, rig, program); p != nil {
			return p
		}
	}
	t.Fatalf("ports were taken by other processes in %d starts", maxStarts)
	return nil
}

// startOnce is startHosted with ports that may be taken by now; it returns nil if one is.
func startOnce(t *testing.T, rig *platformtest.Rig, program string) *hostedProcess {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	settings := rig.Settings(t, "front-1")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
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
	p := &hostedProcess{cmd: exec.Command(program, "--platform"), settings: settings, callers: s.CallersAddress, output: output, ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), platform.BootVariable+"="+path)
	errorText := &bytes.Buffer{}
	p.cmd.Stdout, p.cmd.Stderr = input, errorText
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	input.Close()
	exited := make(chan struct{})
	go func() {
		p.ended <- p.cmd.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if it has ended
		<-exited
		output.Close()
		if t.Failed() {
			t.Logf("standard error: %s", errorText)
		}
	})
	portTaken := false
	platformtest.WaitFor(t, "readiness", func() bool {
		select {
		case <-exited:
			if !strings.Contains(errorText.String(), syscall.EADDRINUSE.Error()) {
				t.Fatalf("the process ended at its start: %s", errorText)
			}
			portTaken = true
			return true
		default:
		}
		res, err := http.Get("http://" + s.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	if portTaken {
		return nil
	}
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
	p := startHosted(t, rig, os.Args[0])
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
	const grace = 6 * time.Second
	rig := platformtest.NewRig(t, 1, 0)
	rig.GraceS = grace.Seconds()
	p := startHosted(t, rig, os.Args[0])
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
	case <-time.After(grace):
		t.Error("the process still runs at the end of its grace period")
	}
}

// TestUnreadLogHoldsNoRequest guards against requests that wait for a reader of the log of an instance
// with its own interface.
func TestUnreadLogHoldsNoRequest(t *testing.T) {
	callers, operators := platformtest.FreeAddress(t), platformtest.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Appendf(nil, `
instance: front-1
region: r
data_centre: dc
listen: {callers: {address: %q}, operators: {address: %q}, links: {address: %q}}
platform: {url: "http://%s"}
secrets: {links: link-secret-0123456789, orders: order-key-0123456789, bootstrap_token_sha256: %s}
`, callers, operators, platformtest.FreeAddress(t), platformtest.FreeAddress(t), strings.Repeat("0", 64))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	output, input, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	_ = input.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := io.Copy(input, neverEnding('x')); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), ownSettings+"="+path)
	cmd.Stderr = input
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	input.Close()
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // fails: it was killed
	}()
	client := &http.Client{Timeout: time.Second}
	platformtest.WaitFor(t, "an answer", func() bool {
		res, err := client.Get("http://" + callers + "/v1/chat/completions")
		if err == nil {
			res.Body.Close()
		}
		return err == nil
	})
}

// neverEnding reads as one byte without end.
type neverEnding byte

func (b neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

package localfleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Process is one process of the deployment.
type Process struct {
	Name    string
	program string
	args    []string
	logPath string

	mu sync.Mutex
	// cmd is nil while the process is not running.
	cmd *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
}

// newProcess returns a process, not yet started, whose output is appended to
// dir/NAME.log.
func newProcess(dir, name, program string, args ...string) *Process {
	return &Process{Name: name, program: program, args: args, logPath: filepath.Join(dir, name+".log")}
}

// Start starts the process. It returns an error if the process is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return trace.BadParameter("process %s is already running", p.Name)
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer out.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// Kills the child when the parent exits, even if the parent is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.Name)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go p.wait(cmd, p.done)
	return nil
}

// wait waits for cmd to exit and then marks the process as not running.
func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	cmd.Wait() //nolint:errcheck // a killed process exits with an error
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	close(done)
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s) //nolint:errcheck // the process may have exited
	}
}

// Kill kills the process, even a paused one, and waits up to a minute for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.WaitExit(time.Minute)
}

// Pause pauses the process with SIGSTOP until Resume is called.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume resumes a paused process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which begins a graceful shutdown.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// WaitExit waits up to limit for the process to exit, and reports whether it
// exited.
func (p *Process) WaitExit(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	running := p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Running reports whether the process is running.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// PID returns the process ID, or zero if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// freeAddresses returns n loopback addresses whose ports are currently free.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.Wrap(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	if len(out) != n {
		return nil, fmt.Errorf("got %d addresses, want %d", len(out), n)
	}
	return out, nil
}

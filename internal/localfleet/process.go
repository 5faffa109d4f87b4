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
	Name string
	path string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newProcess describes a process whose output goes to dir/NAME.log.
func newProcess(dir, name, path string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, log: filepath.Join(dir, name+".log")}
}

// Start starts the process; a running one is an error.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return trace.BadParameter("process %s is running", p.Name)
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer out.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The child ends with its parent, however the parent ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.Name)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	cmd.Wait() //nolint:errcheck // a killed process ends with an error
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	close(done)
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s) //nolint:errcheck // it may have ended meanwhile
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.Join(time.Minute)
}

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Terminate asks for a planned stop.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Join waits for the end and states whether the process ended in time.
func (p *Process) Join(limit time.Duration) bool {
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

// Running states whether the process runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// PID returns the process's ID, or zero.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// freeAddresses returns n loopback addresses with ports that are free now.
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

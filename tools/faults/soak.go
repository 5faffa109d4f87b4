package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/standin/relay"
	"github.com/banyanroute/banyanroute/platform"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// soakRun is a deployment on stand-ins of the users' platform: instances as
// processes, each with a relay of its own to the store, and upstreams behind
// relays.
type soakRun struct {
	options options
	dir     string
	report  *report
	store   *platformtest.Store

	mu        sync.Mutex
	instances []*process
	upstreams []*soakUpstream
	nextID    int
	// version is the newest configuration's.
	version int64
	// troubled is until when a fault may still have effects.
	troubled time.Time
	asked    map[string]*asked
}

// process is one instance.
type process struct {
	name     string
	settings string
	front    string
	ready    string
	relay    *relay.Relay

	mu  sync.Mutex
	cmd *exec.Cmd
	// stopping and paused keep faults of one process apart.
	stopping bool
	gone     chan struct{}
}

// soakUpstream is one upstream with its relay.
type soakUpstream struct {
	*platformtest.Upstream
	relay   *relay.Relay
	leaving bool
}

// plainUpstreams is the number of processes of the plain service.
const plainUpstreams = 3

// recoveryTime is how long after the last fault requests may still fail.
const recoveryTime = 12 * time.Second

// soak runs overlapping series of faults and checks the promises meanwhile.
func soak(ctx context.Context, o options, dir string) error {
	store, err := platformtest.NewStore()
	if err != nil {
		return trace.Wrap(err)
	}
	defer store.Close()
	s := &soakRun{options: o, dir: dir, report: newReport(o), store: store, version: 1, asked: map[string]*asked{}}
	defer s.stopAll()
	if err := s.build(); err != nil {
		return err
	}
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { s.load(loadCtx) })
	s.series(ctx, rand.New(rand.NewPCG(o.seed, 1)))
	sleep.For(ctx, recoveryTime)
	s.checkServesAgain(ctx)
	stopLoad()
	load.Wait()
	s.checkEnd(ctx)
	return s.report.finish(o.out)
}

// build starts upstreams and instances.
func (s *soakRun) build() error {
	s.store.Put("op", "config", platformtest.Configuration(s.version))
	for range s.options.engines {
		if err := s.addUpstream(platformtest.EngineService); err != nil {
			return err
		}
	}
	for range plainUpstreams {
		if err := s.addUpstream(platformtest.PlainService); err != nil {
			return err
		}
	}
	for i := range s.options.instances {
		p, err := s.newProcess(fmt.Sprintf("front-%d", i))
		if err != nil {
			return err
		}
		s.instances = append(s.instances, p)
		if err := p.start(s.options.bin, s.dir); err != nil {
			return err
		}
	}
	return nil
}

// addUpstream starts an upstream behind a relay and lists it.
func (s *soakRun) addUpstream(service string) error {
	s.mu.Lock()
	s.nextID++
	id := fmt.Sprintf("%s-%d", service, s.nextID)
	s.mu.Unlock()
	up, err := platformtest.NewUpstream(id, service)
	if err != nil {
		return trace.Wrap(err)
	}
	up.Events, up.Pause, up.Work = 12, 20*time.Millisecond, 10*time.Millisecond
	r, err := relay.New("127.0.0.1:0", up.Address())
	if err != nil {
		return trace.Wrap(err)
	}
	go r.Run() //nolint:errcheck // ends with Close
	up.Advertised = r.Addr()
	u := &soakUpstream{Upstream: up, relay: r}
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	s.store.Put("servers", id, up.Entry(false))
	return nil
}

// newProcess prepares an instance's settings and its relay to the store.
func (s *soakRun) newProcess(name string) (*process, error) {
	r, err := relay.New("127.0.0.1:0", s.store.Address())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	go r.Run() //nolint:errcheck // ends with Close
	p := &process{name: name, settings: filepath.Join(s.dir, name+".yaml"), relay: r}
	return p, p.assignPorts()
}

// assignPorts writes settings with ports that were free a moment ago.
func (p *process) assignPorts() error {
	var addresses [4]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return trace.Wrap(err)
		}
		addresses[i] = l.Addr().String()
		defer l.Close()
	}
	_, port, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return trace.Wrap(err)
	}
	p.front, p.ready = addresses[0], addresses[1]
	text := platformtest.SettingsText(p.name, addresses[0], addresses[1], addresses[2], port, p.relay.Addr())
	return trace.ConvertSystemError(os.WriteFile(p.settings, text, 0o600))
}

// start runs the process; its log goes to a file.
func (p *process) start(bin, dir string) error {
	out, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	cmd := exec.Command(filepath.Join(bin, "banyanrouted"), "--platform")
	cmd.Env = append(os.Environ(), platform.BootVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.name)
	}
	gone := make(chan struct{})
	go func() {
		_ = cmd.Wait() // faults end it by signals
		out.Close()
		close(gone)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.gone, p.stopping = cmd, gone, false
	return nil
}

// signal sends a signal to the process if it still runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.gone:
	default:
		_ = p.cmd.Process.Signal(sig) // it may have ended just now
	}
}

// hasEnded states whether the process has ended.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

// isReady asks the process as the platform does.
func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.ready + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startTimeout bounds the first start of all instances.
const startTimeout = 20 * time.Second

func (s *soakRun) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, p := range s.instances {
		for !p.isReady() {
			if p.hasEnded() {
				// Another program took a port meanwhile.
				if err := p.assignPorts(); err != nil {
					return err
				}
				s.restart(p)
			}
			if time.Now().After(deadline) || !sleep.For(ctx, 20*time.Millisecond) {
				return trace.LimitExceeded("%s is not ready after %s; its log is in %s", p.name, startTimeout, s.dir)
			}
		}
	}
	return nil
}

// stopAll ends the processes that the run started.
func (s *soakRun) stopAll() {
	for _, p := range s.instances {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.relay.Close()
	}
	for _, u := range s.upstreams {
		u.relay.Close()
		u.Close()
	}
}

// all returns the present upstreams of a service, those that leave included.
func (s *soakRun) all(service string) []*soakUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*soakUpstream
	for _, u := range s.upstreams {
		if u.Service == service {
			list = append(list, u)
		}
	}
	return list
}

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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/standin/relay"
	"github.com/banyanroute/banyanroute/platform"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// soakRun is a deployment on stand-ins of the users' platform. Each instance is a
// process that reaches the store through its own relay; each upstream is behind a
// relay as well.
type soakRun struct {
	options options
	dir     string
	report  *report
	store   *platformtest.Store
	builds  *builds

	mu        sync.Mutex
	instances []*process
	upstreams []*soakUpstream
	nextID    int
	// version is the version of the newest configuration.
	version int64
	// configuration is the newest configuration.
	configuration []byte
	// affectedUntil is the time up to which a fault may have effects.
	affectedUntil time.Time
	// evacuatedAt is when the row of an evacuation was last written; zero if there is none.
	evacuatedAt time.Time
	// assigned holds the addresses of all instances.
	assigned map[string]bool
	// outcomes holds the outcome of each request by its ID.
	outcomes map[string]*outcome
}

// process is one instance.
type process struct {
	name             string
	settingsFile     string
	frontAddress     string
	readinessAddress string
	// relay forwards the connections to the store.
	relay *relay.Relay

	// isPrevious reports whether the process runs the previous build.
	isPrevious atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// claimed reports whether a fault that kills, shuts down or pauses the process
	// has claimed it, so that no second such fault begins meanwhile.
	claimed bool
	// unplanned counts the beginnings and ends of faults that kill or pause the process.
	unplanned int
	// exited is closed once the process has exited.
	exited chan struct{}
}

// soakUpstream is one upstream behind its relay.
type soakUpstream struct {
	*platformtest.Upstream
	relay *relay.Relay
	// leaving reports whether the upstream leaves; its entry is then marked, or absent if
	// unlisted is set.
	leaving  bool
	unlisted bool
	// claimed reports whether a fault has chosen the upstream to leave.
	claimed bool
}

// plainUpstreams is the number of processes of the plain service.
const plainUpstreams = 3

// soakRecoveryTime is how long requests may still fail after the last fault.
const soakRecoveryTime = 12 * time.Second

// soak is the run of the flag -platform: it causes overlapping faults under load and
// checks the guarantees meanwhile and afterwards.
func soak(ctx context.Context, o options, dir string) error {
	store, err := platformtest.NewStore()
	if err != nil {
		return trace.Wrap(err)
	}
	defer store.Close()
	s := &soakRun{options: o, dir: dir, report: newReport(o), store: store, builds: newBuilds(o), version: 1, assigned: map[string]bool{}, outcomes: map[string]*outcome{}}
	defer s.stopAll()
	if err := s.start(); err != nil {
		return err
	}
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { s.load(loadCtx) })
	// Drills have their own random numbers, so that they don't change the faults of a seed.
	drillCtx, stopDrills := context.WithCancel(ctx)
	load.Go(func() { s.crashUpstreams(drillCtx, rand.New(rand.NewPCG(o.seed, 4))) })
	load.Go(func() { s.returnStore(drillCtx, rand.New(rand.NewPCG(o.seed, 5))) })
	load.Go(func() { s.limitUpstreams(drillCtx, rand.New(rand.NewPCG(o.seed, 6))) })
	load.Go(func() { s.pauseUpstreams(drillCtx, rand.New(rand.NewPCG(o.seed, 7))) })
	load.Go(func() { s.evacuate(drillCtx, rand.New(rand.NewPCG(o.seed, 10))) })
	load.Go(func() { s.stopUnderUse(drillCtx, rand.New(rand.NewPCG(o.seed, 9))) })
	s.runFaults(ctx, rand.New(rand.NewPCG(o.seed, 1)))
	stopDrills()
	sleep.For(ctx, soakRecoveryTime)
	s.checkRecovered(ctx)
	stopLoad()
	load.Wait()
	s.checkFinalState(ctx)
	return s.report.finish(o.out)
}

// start starts upstreams and instances.
func (s *soakRun) start() error {
	s.configuration = platformtest.Configuration(s.version)
	s.store.Put("op", "config", s.configuration)
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
		if err := s.startProcess(p); err != nil {
			return err
		}
	}
	return nil
}

// addUpstream starts an upstream behind a relay and adds its entry to the store.
func (s *soakRun) addUpstream(service string) error {
	s.mu.Lock()
	s.nextID++
	id, inEvacuated := fmt.Sprintf("%s-%d", service, s.nextID), s.nextID%evacuatedZoneEach == 0
	s.mu.Unlock()
	up, err := platformtest.NewUpstream(id, service)
	if err != nil {
		return trace.Wrap(err)
	}
	if inEvacuated {
		up.DataCentre = evacuatedZone
	}
	up.Events, up.EventInterval, up.RequestDuration = 12, 20*time.Millisecond, 10*time.Millisecond
	up.SlowPath, up.SlowEventInterval = slowPath, slowEventInterval
	r, err := relay.New("127.0.0.1:0", up.Address())
	if err != nil {
		return trace.Wrap(err)
	}
	go r.Run() //nolint:errcheck // ends with Close
	up.Advertised = r.Addr()
	u := &soakUpstream{Upstream: up, relay: r}
	s.mu.Lock()
	up.CrashOnRequest(crashOf(rand.New(rand.NewPCG(s.options.seed, uint64(1000+s.nextID)))))
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	up.OnRestart = func() { s.list(u) }
	s.list(u)
	return nil
}

// list writes the entry of an upstream.
func (s *soakRun) list(u *soakUpstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEntry(u)
}

// writeEntry writes the entry of an upstream as its state requires. The caller must hold
// mu.
func (s *soakRun) writeEntry(u *soakUpstream) {
	if u.unlisted {
		s.store.Delete("servers", u.ID)
		return
	}
	s.store.Put("servers", u.ID, u.Entry(u.leaving))
}

// newProcess writes the settings of an instance and starts its relay to the store.
func (s *soakRun) newProcess(name string) (*process, error) {
	r, err := relay.New("127.0.0.1:0", s.store.Address())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	go r.Run() //nolint:errcheck // ends with Close
	p := &process{name: name, settingsFile: filepath.Join(s.dir, name+".yaml"), relay: r}
	return p, s.assignPorts(p)
}

// assignPorts writes settings with ports that were free when it chose them and that no
// other instance of the run has; another program may take one before the process starts.
func (s *soakRun) assignPorts(p *process) error {
	var addresses [4]string
	for i := 0; i < len(addresses); {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return trace.Wrap(err)
		}
		defer l.Close()
		if address := l.Addr().String(); !s.assigned[address] {
			s.assigned[address] = true
			addresses[i] = address
			i++
		}
	}
	_, port, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return trace.Wrap(err)
	}
	p.frontAddress, p.readinessAddress = addresses[0], addresses[1]
	text := platformtest.SettingsText(p.name, addresses[0], addresses[1], addresses[2], port, p.relay.Addr())
	text = platformtest.WithEvacuation(text, evacuationBound)
	return trace.ConvertSystemError(os.WriteFile(p.settingsFile, text, 0o600))
}

// start starts the process with its output appended to a log file.
func (p *process) start(bin, dir string) error {
	out, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	cmd := exec.Command(filepath.Join(bin, "banyanrouted"), "--platform")
	cmd.Env = append(os.Environ(), platform.BootVariable+"="+p.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // a fault may have ended it by a signal
		out.Close()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited, p.claimed = cmd, exited, false
	return nil
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(sig) // it may just have exited
	}
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// isReady reports whether the process passes the readiness check of the platform.
func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.readinessAddress + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startTimeout bounds the wait until all instances are ready for the first time.
const startTimeout = 20 * time.Second

func (s *soakRun) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, p := range s.instances {
		for !p.isReady() {
			if p.hasExited() {
				// Another program may have taken a port meanwhile.
				if err := s.assignPorts(p); err != nil {
					return err
				}
				s.restart(p)
			}
			if time.Now().After(deadline) || !sleep.For(ctx, 20*time.Millisecond) {
				return trace.LimitExceeded("%s did not become ready within %s; its log is in %s", p.name, startTimeout, s.dir)
			}
		}
	}
	return nil
}

// stopAll kills the processes and closes the upstreams that the run started.
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

// upstreamsOf returns all upstreams of a service, including those that are leaving
// or have left.
func (s *soakRun) upstreamsOf(service string) []*soakUpstream {
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

package stand

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// machine is one process of the system, started with the command of the deploy file.
type machine struct {
	run       *run
	name      string
	zone      string
	front     string
	readiness string
	cmd       *exec.Cmd
	starts    int
	exited    chan struct{}
}

// Settings like those of a small deployment of the users.
const settingsText = `node_name: %q
role: "instance"
machine_class: "front"
serves:
  - "front"
  - "control"
ip: "127.0.0.1"
zone: %q
region: "r1"
listen_addresses:
  front: %q
  readiness_address: %q
  control: %q
internal_ports:
  - %d
  - %d
seeds: []
bootstrap: true
limits:
  cpu_share: 0.4
  cpu_cores: 1
  memory_mb: 284
  file_descriptors: 4200
  disk_mb: 0
heartbeat_interval_ms: 1200
bounds:
  reuse_after_s: 2
  stable_window_ms: 3000
  ack_timeout_ms: 4000
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  outer_bound_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  budget_extra_tries: 102
  recovery_s: 12
  pass_ms: 120
  stall_ms: 1500
  hold_max_ms: 20000
  free_ms: 4000
  idle_max_ms: 9000
platform:
  address: %q
  form: "table"
  history_s: 20
`

// The ports of all servers lie below the range from which the kernel takes those of outgoing
// connections.
const (
	firstPort = 12000
	lastPort  = 31000
)

// taken holds the ports that were given out.
var taken = map[int]bool{}

// freePort returns a port that is free, with the next one, and was not given out before.
func freePort() int {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if !taken[port] && !taken[port+1] && isFree(port) && isFree(port+1) {
			taken[port], taken[port+1] = true, true
			return port
		}
	}
}

func isFree(port int) bool {
	l, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// loopback returns a loopback address with a port.
func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freeAddress returns a free loopback address.
func freeAddress() string { return loopback(freePort()) }

// startMachines starts n machines and waits until all are ready.
func (r *run) startMachines(n int) {
	for i := range n {
		m := &machine{run: r, name: fmt.Sprintf("front-%d", i+1), zone: fmt.Sprintf("z%d", i%3+1)}
		r.machines = append(r.machines, m)
		m.start()
	}
	for _, m := range r.machines {
		m.waitReady()
	}
	time.Sleep(linkTime)
	r.note("%d machines are ready", n)
}

const (
	// linkTime is the time in which instances that are ready link to the others.
	linkTime = 4 * time.Second
	// maxStarts bounds the starts of a process: another one may take a port that was free.
	maxStarts = 4
)

// start starts the process with new ports.
func (m *machine) start() {
	r := m.run
	m.starts++
	m.front, m.readiness = freeAddress(), freeAddress()
	port := freePort()
	text := fmt.Sprintf(settingsText, m.name, m.zone, m.front, m.readiness, freeAddress(), port, port+1, r.store.address)
	file := filepath.Join(r.temp, m.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		r.giveUp("%v", err)
	}
	logs, err := os.Create(filepath.Join(r.temp, m.name+".log"))
	if err != nil {
		r.giveUp("%v", err)
	}
	defer logs.Close()
	m.cmd = exec.Command(filepath.Join(r.root, "target", "banyanrouted"), "--platform")
	m.cmd.Dir = r.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.temp, "BANYANROUTE_BOOT=" + file}
	m.cmd.Stdout, m.cmd.Stderr = logs, logs
	if err := m.cmd.Start(); err != nil {
		r.giveUp("%v", err)
	}
	exited := make(chan struct{})
	m.exited = exited
	go func() {
		_ = m.cmd.Wait()
		close(exited)
	}()
}

// waitReady waits until the machine says that it is ready. A process that ends at its start is
// started again with other ports.
func (m *machine) waitReady() {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-m.exited:
			if m.starts >= maxStarts {
				m.run.giveUp("%s ends at its start", m.name)
			}
			m.run.note("%s ends at its start; it is started again with other ports", m.name)
			m.start()
		default:
		}
		res, err := http.Get("http://" + m.readiness + "/v1/readiness")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
	}
	m.run.giveUp("%s is not ready", m.name)
}

// kill ends the process; with KEEP_LOGS set its log is copied to that folder first.
func (m *machine) kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		data, _ := os.ReadFile(filepath.Join(m.run.temp, m.name+".log"))
		_ = os.WriteFile(filepath.Join(dir, m.name+".log"), data, 0o600)
	}
	_ = m.cmd.Process.Kill()
	<-m.exited
}

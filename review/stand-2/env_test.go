// Package stand plays the platform, upstreams and clients for the cases of the second review, against
// instances that it starts as separate processes. It is a module of its own without dependencies, and it
// consists of test files because it speaks the platform's wire format; review/build-2.sh builds it.
package stand

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// env is one small deployment.
type env struct {
	start time.Time
	dir   string
	store *store
	runs  runs
	// trouble reports whether the disruption happens.
	trouble bool
	// quiet leaves runs at servers that don't leave out of the record.
	quiet bool
	// key is the key of the tenant in the first configuration.
	key string

	mu        sync.Mutex
	out       *os.File
	machines  []*machine
	violation string
	last      int
	// restarts are the planned restarts that are under way.
	restarts sync.WaitGroup
}

// newEnv returns a deployment without machines; its record goes to the file named out.
func newEnv(out string, trouble bool) (*env, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(out)
	if err != nil {
		return nil, err
	}
	return &env{start: time.Now(), dir: dir, store: newStore(), trouble: trouble, key: basicConfiguration().Tenants[0].APIKeys[0], out: f}, nil
}

// record writes a line to the record.
func (e *env) record(what, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.out, "%8.3f %-9s %s\n", time.Since(e.start).Seconds(), what, fmt.Sprintf(format, args...))
}

// broken records that the rule was broken; the first record counts.
func (e *env) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.record("BROKEN", "%s", text)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.violation == "" {
		e.violation = text
	}
}

// nextID returns the id of a client attempt.
func (e *env) nextID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last++
	return fmt.Sprintf("%016x", uint64(0x9c41d07be2a00000)+uint64(e.last))
}

// close ends all processes that were started.
func (e *env) close() {
	e.restarts.Wait()
	for _, m := range e.machines {
		m.kill()
	}
	os.RemoveAll(e.dir)
	e.out.Close()
}

// machine is one instance of the product, a process of its own.
type machine struct {
	env                       *env
	name, ip                  string
	front, readiness, control string
	store, settings           string
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

// freePort returns a port that is free on ip.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

const settingsText = `node_name: %q
role: "instance"
machine_class: "front"
serves: ["front", "control"]
ip: %q
zone: "zone-a"
region: "region-a"
zones:
  zone-a: "region-a"
listen_addresses:
  front: %q
  readiness_address: %q
  control: %q
internal_ports: [%d, %d]
seeds: []
bootstrap: true
loss_counts: false
limits:
  cpu_share: 0.4
  cpu_cores: 1
  memory_mb: 284
  file_descriptors: 4200
  link_mbps: 1000.0
  disk_mb: 0
data_directory: null
discovery: "platform"
entry: "virtual_ip"
heartbeat_interval_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"]
tolerance: {machines: 1, zones: 0, regions: 0}
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: 3000
  ack_timeout_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  outer_bound_ms: 5000
  strict_revocation: false
  revoke_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  budget_extra_tries: 100
  recovery_s: 12
  pass_ms: 120
  retry_after_s: 0
  stall_ms: 1500
  hold_max_ms: 20000
  free_ms: 4000
  idle_max_ms: 9000
platform:
  address: %q
  form: "table"
  writes_per_s: 400
  reads_per_s: 2000
  transaction_ms: 3.0
  partition_writes_s: 300
  row_bytes: 65536
  across: true
  history_s: 20
`

// newMachine prepares a machine that reaches the store at an address of its own.
func (e *env) newMachine() (*machine, error) {
	n := len(e.machines) + 1
	m := &machine{env: e, name: fmt.Sprintf("front-%d", n), ip: fmt.Sprintf("127.0.0.%d", 10+n)}
	storeAddress, err := e.store.listen(m.name)
	if err != nil {
		return nil, err
	}
	m.store = storeAddress
	e.machines = append(e.machines, m)
	return m, m.startOnFreePorts()
}

// startOnFreePorts writes the settings with ports that are free now, and starts the process.
func (m *machine) startOnFreePorts() error {
	var ports [4]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(m.ip); err != nil {
			return err
		}
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	m.front, m.readiness, m.control = at(ports[0]), at(ports[1]), at(ports[2])
	m.settings = filepath.Join(m.env.dir, m.name+".yaml")
	text := fmt.Sprintf(settingsText, m.name, m.ip, m.front, m.readiness, m.control, ports[3], ports[3]+1, m.store)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return m.startProcess()
}

// startProcess starts the program as the deploy file says.
func (m *machine) startProcess() error {
	m.cmd = exec.Command("target/banyanrouted", "--platform")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.env.dir, "BANYANROUTE_BOOT=" + m.settings}
	if logs := os.Getenv("STAND_LOGS"); logs != "" {
		log, err := os.OpenFile(filepath.Join(logs, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		m.cmd.Stdout, m.cmd.Stderr = log, log
	}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // how it ended doesn't matter
		close(exited)
	}(m.cmd, m.exited)
	m.env.record("machine", "%s starts", m.name)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.env.record("machine", "%s gets %s", m.name, s)
	_ = m.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process.
func (m *machine) kill() {
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
}

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until the machine says that it is ready.
func (m *machine) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for range 100 {
		if m.hasEnded() { // another process may have taken a port
			if err := m.startOnFreePorts(); err != nil {
				return err
			}
		}
		res, err := client.Get("http://" + m.readiness + "/v1/readiness")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				m.env.record("machine", "%s is ready", m.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New(m.name + " does not become ready")
}

// start starts n machines and waits until they are ready.
func (e *env) startMachines(n int) error {
	for range n {
		if _, err := e.newMachine(); err != nil {
			return err
		}
	}
	for _, m := range e.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// dial opens a client's connection to a machine.
func (m *machine) dial() (*clientConn, error) {
	c, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

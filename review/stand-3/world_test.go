package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func random(n int) string {
	b := make([]byte, n/2)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// world is one run of a case: the store, the engines, the machines and the record.
type world struct {
	began   time.Time
	dir     string
	trouble bool
	store   *store
	nodes   []*node

	mu       sync.Mutex
	record   *os.File
	engines  []*engine
	arrivals []*arrival
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// arrived records a request that has reached an engine, with what became of it.
func (w *world) arrived(a *arrival, result string) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	w.log("engine %s gets %s %s: %s", a.engine, a.attempt, a.path, result)
}

// arrivalsOf returns the arrivals that match.
func (w *world) arrivalsOf(match func(*arrival) bool) []*arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*arrival
	for _, a := range w.arrivals {
		if match(a) {
			list = append(list, a)
		}
	}
	return list
}

// node is one machine of the system.
type node struct {
	w         *world
	name      string
	zone      string
	gate      *gate
	front     string
	readiness string
	control   string
	internal  int
	settings  string
	out       *os.File
	cmd       *exec.Cmd
	ended     chan struct{}
	stopping  bool
}

// freePort returns a port that is free at an address now.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// addNode prepares a machine; start starts it.
func (w *world) addNode(zone string) *node {
	i := len(w.nodes) + 1
	ip := fmt.Sprintf("127.0.0.%d", 10+i)
	n := &node{w: w, name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, gate: w.store.openGate()}
	n.front = fmt.Sprintf("%s:%d", ip, freePort(ip))
	n.readiness = fmt.Sprintf("%s:%d", ip, freePort(ip))
	n.control = fmt.Sprintf("%s:%d", ip, freePort(ip))
	n.internal = freePort(ip)
	n.settings = filepath.Join(w.dir, n.name+".yaml")
	must(os.WriteFile(n.settings, []byte(fmt.Sprintf(settingsText, n.name, ip, zone, n.front, n.readiness, n.control, n.internal, n.internal+15, n.gate.address)), 0o600))
	out, err := os.Create(filepath.Join(w.dir, n.name+".log"))
	must(err)
	n.out = out
	w.nodes = append(w.nodes, n)
	return n
}

const settingsText = `node_name: %q
role: "instance"
machine_class: "front"
serves: ["front", "control"]
ip: %q
zone: %q
region: "sicilia"
zones: {palermo: "sicilia", catania: "sicilia", trapani: "sicilia"}
listen_addresses:
  front: %q
  readiness_address: %q
  control: %q
internal_ports: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: 284, file_descriptors: 4200, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "virtual_ip"
heartbeat_interval_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"]
tolerance: {machines: 1, zones: 0, regions: 0}
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
  budget_extra_tries: 100
  recovery_s: 12
  pass_ms: 120
  stall_ms: 1500
  hold_max_ms: 20000
  free_ms: 4000
  idle_max_ms: 9000
platform:
  address: %q
  form: "table"
  writes_per_s: 400
  reads_per_s: 2000
`

// start starts the machine's process with the command of the deploy file.
func (n *node) start() {
	cmd := exec.Command("target/banyanrouted", "--platform")
	cmd.Env = append([]string{"BANYANROUTE_BOOT=" + n.settings}, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"))
	cmd.Stdout, cmd.Stderr = n.out, n.out
	must(cmd.Start())
	ended := make(chan struct{})
	n.cmd, n.ended, n.stopping = cmd, ended, false
	n.w.log("%s starts, pid %d", n.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		n.w.log("%s has ended: %s", n.name, cmd.ProcessState)
		close(ended)
	}()
}

// signal sends a signal to the machine's process.
func (n *node) signal(s syscall.Signal) {
	n.w.log("%s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// ready reports whether the machine says that it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until they are ready, and some seconds more.
func (w *world) startAll() bool {
	for _, n := range w.nodes {
		n.start()
	}
	until := time.Now().Add(15 * time.Second)
	for _, n := range w.nodes {
		for !n.ready() {
			if time.Now().After(until) {
				w.log("%s is not ready", n.name)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	w.log("all machines are ready")
	return true
}

// end ends all processes that are left.
func (w *world) end() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
}

// newWorld returns a world whose record is written to a folder.
func newWorld(folder string) *world {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	w := &world{began: time.Now(), dir: dir, record: record, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	w.log("trouble: %t", w.trouble)
	return w
}

func lines(text string) string { return strings.ReplaceAll(text, "\n", " | ") }

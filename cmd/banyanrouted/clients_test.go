package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/platform"
	"github.com/banyanroute/banyanroute/platform/platformtest"
)

// The crowd of clients that ignore limits, and the limits of the process that it meets.
const (
	crowdClients     = 1200
	crowdMemoryMB    = 96
	crowdDescriptors = 512
	// crowdTime is how long the crowd is there before an ordinary request is sent beside it.
	crowdTime = 3 * time.Second
	// crowdPause is the pause of a client before it opens the next connection.
	crowdPause = 50 * time.Millisecond
	// endlessPause is the pause after each piece of what a client sends without end.
	endlessPause = 5 * time.Millisecond
	// maxBodyBytes is the limit of bodies in the configuration.
	maxBodyBytes = 4 << 20
	// shortBodyBytes is the size of bodies that are held outside the limit for large ones.
	shortBodyBytes = 31 << 10
	// ordinaryBodyBytes is the size of the ordinary request's body, which counts as a large one.
	ordinaryBodyBytes = 256 << 10
)

// daemonDir holds the daemon that buildDaemon has built; TestMain removes it.
var daemonDir string

// buildDaemon builds the daemon without the race detector, whose memory would count.
var buildDaemon = sync.OnceValues(func() (string, error) {
	var err error
	if daemonDir, err = os.MkdirTemp("", "banyanrouted-"); err != nil {
		return "", err
	}
	program := filepath.Join(daemonDir, "banyanrouted")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return program, nil
})

// limitedProcess is a daemon with the crowd's limits.
type limitedProcess struct {
	*hostedProcess
	rig *platformtest.Rig
	// ports are the addresses of its listeners by name.
	ports map[string]string
	// maxOpen is the largest number of descriptors that was seen open.
	maxOpen int
}

// startLimited starts a daemon with the crowd's limits and waits until it is ready.
func startLimited(t *testing.T) *limitedProcess {
	t.Helper()
	program, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	rig := platformtest.NewRig(t, 2, 2)
	rig.MemoryMB, rig.FileDescriptors = crowdMemoryMB, crowdDescriptors
	var config map[string]any
	if err := json.Unmarshal(platformtest.Configuration(1), &config); err != nil {
		t.Fatal(err)
	}
	config["version"] = 2
	config["limits"].(map[string]any)["max_body_bytes"] = maxBodyBytes
	data, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	rig.Store.Put("op", "config", data)
	p := startHosted(t, rig, program)
	s, err := platform.ParseSettings(p.settings)
	if err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, p.output) // ends with the process
	return &limitedProcess{hostedProcess: p, rig: rig, ports: map[string]string{
		"callers": s.CallersAddress, "readiness": s.ReadinessAddress, "operators": s.OperatorsAddress, "links": s.LinksAddress,
	}}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *limitedProcess) peakMemory(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(data)
	if m == nil {
		t.Fatal("the process has ended")
	}
	kilobytes, err := strconv.Atoi(string(m[1]))
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// watchDescriptors counts the open descriptors until ctx ends.
func (p *limitedProcess) watchDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)) // fails if the process has ended
		p.maxOpen = max(p.maxOpen, len(entries))
		time.Sleep(20 * time.Millisecond)
	}
}

// withstand sends a crowd against a port of a process and checks that the process lives, stays
// within its limits and answers one ordinary request while the crowd is there.
func withstand(t *testing.T, p *limitedProcess, port string, c client) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var crowd sync.WaitGroup
	for i := range crowdClients {
		crowd.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.connect(ctx, p.ports[port], fmt.Sprintf("c-%d-%d", i, n))
				select {
				case <-ctx.Done():
				case <-time.After(crowdPause):
				}
			}
		})
	}
	crowd.Go(func() { p.watchDescriptors(ctx) })
	time.Sleep(crowdTime)
	answered := 0
	platformtest.WaitFor(t, "the answer to an ordinary request", func() bool {
		answered++
		reply := platformtest.SendBody(ctx, p.callers, "POST", "/write/x", fmt.Sprint("ordinary-", answered), strings.Repeat("x", ordinaryBodyBytes))
		return reply.Status == http.StatusOK && reply.Err == nil
	})
	cancel()
	crowd.Wait()
	select {
	case err := <-p.ended:
		t.Fatalf("the process ended: %v", err)
	default:
	}
	peak := p.peakMemory(t)
	t.Logf("peak memory %.1f MiB of %d, descriptors %d of %d, ordinary requests %d", float64(peak)/(1<<20), crowdMemoryMB, p.maxOpen, crowdDescriptors, answered)
	if peak > crowdMemoryMB<<20 {
		t.Errorf("the process had %.1f MiB, its limit is %d", float64(peak)/(1<<20), crowdMemoryMB)
	}
	if p.maxOpen > crowdDescriptors {
		t.Errorf("the process had %d descriptors open, its limit is %d", p.maxOpen, crowdDescriptors)
	}
}

// client is a client that ignores limits.
type client struct {
	// begin returns what it sends first on a connection, with the ID of its requests.
	begin func(id string) io.Reader
	// endless is what it sends then, again and again; nil for nothing.
	endless []byte
	// reads reports whether it reads answers.
	reads bool
}

// connect opens a connection and uses it until the process closes it or ctx ends.
func (c client) connect(ctx context.Context, address, id string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if tcp, ok := conn.(*net.TCPConn); ok && !c.reads {
		_ = tcp.SetReadBuffer(4 << 10) // the kernel holds little of the answers
	}
	ended := make(chan struct{})
	if c.reads {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	if c.begin != nil {
		if _, err := io.Copy(conn, c.begin(id)); err != nil {
			return
		}
	}
	for c.endless != nil {
		if _, err := conn.Write(c.endless); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
	select {
	case <-ctx.Done():
	case <-ended:
	}
}

// head returns the head of a request without its last, empty line.
func head(method, path, id string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nAuthorization: Token " + platformtest.Key +
		"\r\nBanyanroute-Attempt-Id: " + id + "\r\nBanyanroute-Token-Counts: 100,80\r\n"
}

// shortLines returns size bytes of header lines that are as short, and as many, as can be told apart.
func shortLines(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.Bytes()
}

// chunks returns a chunked body of size bytes without its end, in chunks of chunk bytes, each with an
// extension.
func chunks(size, chunk int, extension string) string {
	one := fmt.Sprintf("%x%s\r\n%s\r\n", chunk, extension, strings.Repeat("x", chunk))
	return strings.Repeat(one, size/chunk)
}

// begins returns a client's first part that is a head with the given lines and rest.
func begins(method, path, rest string) func(string) io.Reader {
	return func(id string) io.Reader {
		return io.MultiReader(strings.NewReader(head(method, path, id)), strings.NewReader(rest))
	}
}

// heads are clients that never complete a head.
func heads() map[string]client {
	lines := shortLines(15 << 10)
	return map[string]client{
		"many short lines":        {begin: begins("GET", "/read/x", string(lines)), reads: true},
		"short lines without end": {begin: begins("GET", "/read/x", string(shortLines(60<<10))), endless: []byte("X:\r\n"), reads: true},
		"one endless line":        {begin: begins("GET", "/read/x", "X: "+strings.Repeat("x", 60<<10)), endless: bytes.Repeat([]byte("x"), 1<<10), reads: true},
	}
}

var silent = client{reads: true}

// each runs the crowd of each kind against a port of a process of its own.
func each(t *testing.T, port string, kinds map[string]client, prepare func(rig *platformtest.Rig)) {
	for name, c := range kinds {
		t.Run(name, func(t *testing.T) {
			p := startLimited(t)
			if prepare != nil {
				prepare(p.rig)
			}
			withstand(t, p, port, c)
		})
	}
}

// TestHeadsWithoutEnd guards against a process that ends for want of memory because each connection
// may hold a head far over the configured limit, or in a form that takes many times its size.
func TestHeadsWithoutEnd(t *testing.T) { each(t, "callers", heads(), nil) }

// TestEmptyLinesWithoutEnd guards against connections that are kept by empty lines before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	lines := bytes.Repeat([]byte("\r\n"), 512)
	each(t, "callers", map[string]client{
		"first request":    {endless: lines, reads: true},
		"after an answer":  {begin: begins("GET", "/read/x", "\r\n"), endless: lines, reads: true},
		"after a POST":     {begin: begins("POST", "/write/x", "Content-Length: 0\r\n\r\n"), endless: lines, reads: true},
		"line feeds alone": {endless: bytes.Repeat([]byte("\n"), 1<<10), reads: true},
	}, nil)
}

// TestChunkedBodiesWithoutEnd guards against a process that ends for want of memory because many
// chunked bodies stop before their end, each below the size that counts, or that refuses all other
// bodies meanwhile.
func TestChunkedBodiesWithoutEnd(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	body := func(size, chunk int, extension string) func(string) io.Reader {
		return begins("POST", "/write/x", chunked+chunks(size, chunk, extension))
	}
	extension := ";x=" + strings.Repeat("y", 1000)
	each(t, "callers", map[string]client{
		"short bodies, large chunks":     {begin: body(shortBodyBytes, shortBodyBytes/4, ""), reads: true},
		"short bodies, tiny chunks":      {begin: body(shortBodyBytes, 16, ""), reads: true},
		"short bodies, one-byte chunks":  {begin: body(8<<10, 1, ""), reads: true},
		"short bodies, long extensions":  {begin: body(shortBodyBytes, 1<<10, extension), reads: true},
		"long bodies, large chunks":      {begin: body(maxBodyBytes-(64<<10), 64<<10, ""), reads: true},
		"trailer of short lines":         {begin: begins("POST", "/write/x", chunked+chunks(1<<10, 1<<10, "")+"0\r\n"+string(shortLines(3<<10))), reads: true},
		"one-byte chunks without end":    {begin: body(1<<10, 1, ""), endless: []byte(chunks(1, 1, "")), reads: true},
		"endless trailer of short lines": {begin: begins("POST", "/write/x", chunked+chunks(1<<10, 1<<10, "")+"0\r\n"), endless: shortLines(1 << 10), reads: true},
	}, nil)
}

// TestBodiesOverTheLimit guards against a process that ends for want of memory because of bodies that
// are over the limit, announced or not.
func TestBodiesOverTheLimit(t *testing.T) {
	data := bytes.Repeat([]byte("x"), 16<<10)
	each(t, "callers", map[string]client{
		"announced":            {begin: begins("POST", "/write/x", "Content-Length: 1000000000\r\n\r\n"), endless: data, reads: true},
		"not announced":        {begin: begins("POST", "/write/x", "Transfer-Encoding: chunked\r\n\r\n"), endless: []byte(chunks(16<<10, 16<<10, "")), reads: true},
		"announced, unsent":    {begin: begins("POST", "/write/x", "Content-Length: 30000\r\n\r\n"), reads: true},
		"large and just short": {begin: begins("POST", "/write/x", "Content-Length: 4000000\r\n\r\n"+strings.Repeat("x", 1<<20)), reads: true},
	}, nil)
}

// TestSilentConnections guards against a process that runs out of descriptors, which it needs for its
// store, links and upstreams, because of connections without a request.
func TestSilentConnections(t *testing.T) {
	each(t, "callers", map[string]client{"silent": silent, "idle after an answer": {begin: begins("GET", "/nowhere", "\r\n"), reads: true}}, nil)
}

// TestUnreadAnswers guards against a process that ends for want of memory or descriptors because
// clients do not read what it sends.
func TestUnreadAnswers(t *testing.T) {
	requests := func(method, path string, n int) func(string) io.Reader {
		return func(id string) io.Reader {
			var b strings.Builder
			for i := range n {
				b.WriteString(head(method, path, fmt.Sprint(id, "-", i)) + "Banyanroute-Deadline-Remaining: 5000\r\n\r\n")
			}
			return strings.NewReader(b.String())
		}
	}
	each(t, "callers", map[string]client{
		"pipelined":     {begin: requests("GET", "/read/x", 200)},
		"large answers": {begin: requests("GET", "/read/x", 1)},
		"streams":       {begin: requests("POST", "/stream/x", 1)},
	}, func(rig *platformtest.Rig) {
		for _, u := range rig.PlainServices {
			u.PaddingBytes = 256 << 10
		}
		for _, u := range rig.Engines {
			u.Events, u.EventInterval, u.PaddingBytes = 10_000, time.Millisecond, 4<<10
		}
	})
}

// TestOtherPorts guards against a process that ends for want of memory or descriptors because of
// clients of the ports that are not for callers.
func TestOtherPorts(t *testing.T) {
	for _, port := range []string{"readiness", "operators", "links"} {
		t.Run(port, func(t *testing.T) {
			kinds := heads()
			kinds["silent"] = silent
			each(t, port, kinds, nil)
		})
	}
}

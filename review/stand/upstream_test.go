package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workTime is how long an upstream works on a request.
const workTime = 30 * time.Millisecond

// upstream is a stand-in of one upstream of the plain service. Each start is a new incarnation.
type upstream struct {
	run  *run
	name string
	port int
	// service is the service that the upstream belongs to, slots its places.
	service string
	slots   int
	// behave, if set, handles a request that the upstream would run; it reports whether it has.
	behave func(u *upstream, a arrival, w http.ResponseWriter) bool

	mu       sync.Mutex
	starts   int
	current  *incarnation
	arrivals []arrival
	// cutOff is whether the upstream does not reach the store.
	cutOff bool
}

// incarnation is one start of an upstream.
type incarnation struct {
	id   string
	born int64
	// dark is closed when its machine goes dark, ended when the next one starts.
	dark, ended chan struct{}
	listener    *darkListener
}

// arrival is a request that has reached an upstream.
type arrival struct {
	at       time.Time
	upstream string
	id       string
	method   string
	target   string
	// path is the path that the upstream runs.
	path   string
	body   string
	tenant string
	// ran is false if the upstream has rejected the request.
	ran bool
}

// startUpstreams starts n upstreams of a service in different zones.
func (r *run) startUpstreams(n int, service string, slots int, behave func(*upstream, arrival, http.ResponseWriter) bool) []*upstream {
	var list []*upstream
	for i := range n {
		u := &upstream{run: r, name: fmt.Sprintf("u%d", i+1), port: freePort(), service: service, slots: slots, behave: behave}
		u.start()
		go u.beat(fmt.Sprintf("z%d", i%3+1))
		list = append(list, u)
	}
	return list
}

// start starts a new incarnation at the upstream's address.
func (u *upstream) start() {
	u.mu.Lock()
	u.starts++
	inc := &incarnation{
		id: fmt.Sprintf("i-%s-%d", u.name, u.starts), born: time.Now().UnixMilli(),
		dark: make(chan struct{}), ended: make(chan struct{}),
	}
	u.mu.Unlock()
	l, err := listenSmall(u.port)
	if err != nil {
		u.run.giveUp("starting %s: %v", inc.id, err)
	}
	inc.listener = &darkListener{Listener: l, inc: inc}
	u.mu.Lock()
	u.current = inc
	u.mu.Unlock()
	u.run.note("upstream %s starts", inc.id)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { u.serve(inc, w, q) })}
	go server.Serve(inc.listener) //nolint:errcheck // ends with the incarnation
}

// beat renews the entry in the store.
func (u *upstream) beat(zone string) {
	for {
		u.mu.Lock()
		inc, cut := u.current, u.cutOff
		u.mu.Unlock()
		select {
		case <-inc.dark:
		default:
			if !cut {
				u.run.store.beat(inc.id, map[string]any{
					"service": u.service, "address": u.address(), "zone": zone, "version": "v1", "slots": u.slots,
					"state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": inc.born,
				})
			}
		}
		time.Sleep(heartbeat / 4)
	}
}

func (u *upstream) address() string { return loopback(u.port) }

// setCutOff cuts the upstream off from the store, or heals the cut.
func (u *upstream) setCutOff(cut bool) {
	u.mu.Lock()
	u.cutOff = cut
	u.mu.Unlock()
	u.run.note("upstream %s: cut off from the store: %t", u.name, cut)
}

// serve handles one request.
func (u *upstream) serve(inc *incarnation, w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("Banyanroute-Instance-Id", inc.id)
	if q.URL.Path == "/health" {
		return
	}
	a := arrival{
		at: time.Now(), upstream: inc.id, id: q.Header.Get("Banyanroute-Attempt-Id"), method: q.Method, target: q.RequestURI,
		path: q.URL.Path, body: string(body), tenant: q.Header.Get("Banyanroute-Tenant"), ran: true,
	}
	w.Header().Set("Banyanroute-Attempt-Id", a.id)
	if want := q.Header.Get("Banyanroute-Expected-Instance"); want != "" && want != inc.id {
		a.ran = false
		u.arrived(a)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.behave != nil && u.behave(u, a, w) {
		return
	}
	u.arrived(a)
	time.Sleep(workTime)
	u.answer(w, a)
}

// answer answers a request with success.
func (u *upstream) answer(w http.ResponseWriter, a arrival) {
	w.Header().Set("Banyanroute-Response-Signature", "signed-"+a.id)
	_, _ = io.WriteString(w, "done by "+a.upstream)
}

// answerStream answers a request with a stream of events.
func (u *upstream) answerStream(w http.ResponseWriter, a arrival, n int, interval time.Duration) {
	u.arrived(a)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Banyanroute-Response-Signature", "signed-"+a.id)
	for i := range n {
		if i > 0 {
			time.Sleep(interval)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", i+1, i+1, n); err != nil {
			u.run.note("upstream %s stops %s after %d pieces: its connection is closed", a.upstream, a.id, i)
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	u.run.note("upstream %s has sent all %d pieces of %s", a.upstream, n, a.id)
}

// arrived records an arrival.
func (u *upstream) arrived(a arrival) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, a)
	u.mu.Unlock()
	what := "runs"
	if !a.ran {
		what = "rejects"
	}
	u.run.note("upstream %s %s %s: %s %s, path %s, tenant %q, body %.40q", a.upstream, what, a.id, a.method, a.target, a.path, a.tenant, a.body)
}

// all returns the arrivals so far.
func (u *upstream) all() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// goDark ends the incarnation without a sign, as a machine that loses power, and starts the
// next one after d.
func (u *upstream) goDark(inc *incarnation, d time.Duration) {
	u.run.note("upstream %s crashes: its machine is dark for %s", inc.id, d)
	close(inc.dark)
	held := inc.listener.fill(u.address())
	time.AfterFunc(d, func() {
		close(inc.ended)
		inc.listener.reset()
		for _, c := range held {
			c.Close()
		}
		u.start()
	})
}

// crash ends the incarnation as a process that dies: its connections are reset at once and new
// ones are refused. The next one starts after d.
func (u *upstream) crash(inc *incarnation, d time.Duration) {
	u.run.note("upstream %s crashes: its process dies, its connections are reset", inc.id)
	close(inc.dark)
	close(inc.ended)
	inc.listener.reset()
	time.AfterFunc(d, u.start)
}

// smallBacklog is the length of the queue of connections that are not accepted yet.
const smallBacklog = 16

// listenSmall listens with a short queue, so that a machine that is dark can drop connections.
func listenSmall(port int) (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, smallBacklog); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// darkListener accepts nothing once its incarnation is dark, and its connections go silent.
type darkListener struct {
	net.Listener
	inc   *incarnation
	mu    sync.Mutex
	conns []*darkConn
}

func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d := &darkConn{Conn: c, inc: l.inc}
	l.mu.Lock()
	l.conns = append(l.conns, d)
	l.mu.Unlock()
	select {
	case <-l.inc.dark:
		<-l.inc.ended
		return nil, net.ErrClosed
	default:
		return d, nil
	}
}

// fill fills the queue of connections, so that further ones get no answer, and returns the
// connections with which it did.
func (l *darkListener) fill(address string) []net.Conn {
	var held []net.Conn
	for range 4 * smallBacklog {
		c, err := net.DialTimeout("tcp", address, 30*time.Millisecond)
		if err != nil {
			break
		}
		held = append(held, c)
	}
	return held
}

// reset closes the listener and resets its connections.
func (l *darkListener) reset() {
	l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Conn.Close()
	}
}

// darkConn is a connection that goes silent with its incarnation.
type darkConn struct {
	net.Conn
	inc *incarnation
}

func (c *darkConn) Write(b []byte) (int, error) {
	select {
	case <-c.inc.dark:
		<-c.inc.ended
		return 0, net.ErrClosed
	default:
		return c.Conn.Write(b)
	}
}

func (c *darkConn) Close() error {
	select {
	case <-c.inc.dark:
		return nil // reset does it
	default:
		return c.Conn.Close()
	}
}

// hasBody reports whether a request is the one with the given body.
func (a arrival) hasBody(body string) bool { return strings.HasPrefix(a.body, body) }

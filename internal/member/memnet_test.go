package member

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

var errClosed = errors.New("connection closed")

// memNet connects overlays in memory. A partition causes no errors: messages are
// lost and dialling hangs. A frozen instance, as in a process pause, reads and
// writes nothing until it is unfrozen.
type memNet struct {
	mu          sync.Mutex
	latency     time.Duration
	nodes       map[string]*Overlay
	partitioned map[[2]string]bool
	unfrozen    map[string]chan struct{}
	list        []platform.LiveListEntry
	bytes       int
}

func newMemNet() *memNet {
	return &memNet{
		latency:     time.Millisecond,
		nodes:       map[string]*Overlay{},
		partitioned: map[[2]string]bool{},
		unfrozen:    map[string]chan struct{}{},
	}
}

func (n *memNet) List(context.Context) ([]platform.LiveListEntry, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]platform.LiveListEntry(nil), n.list...), nil
}

func (n *memNet) setPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = partitioned, partitioned
}

func (n *memNet) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[[2]string{a, b}]
}

// waitUnfrozen blocks while id is frozen.
func (n *memNet) waitUnfrozen(ctx context.Context, id string) error {
	n.mu.Lock()
	unfrozen := n.unfrozen[id]
	n.mu.Unlock()
	if unfrozen == nil {
		return ctx.Err()
	}
	select {
	case <-unfrozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// memDialer dials as one instance; addresses are instance IDs.
type memDialer struct {
	net  *memNet
	from string
}

func (d memDialer) Dial(ctx context.Context, address string) (Conn, error) {
	d.net.mu.Lock()
	target := d.net.nodes[address]
	d.net.mu.Unlock()
	if d.net.isPartitioned(d.from, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if target == nil {
		return nil, errors.New("connection refused")
	}
	toTarget, toDialler := make(chan frame, 4096), make(chan frame, 4096)
	ours := &memConn{net: d.net, self: d.from, peer: address, in: toDialler, out: toTarget, closed: make(chan struct{})}
	theirs := &memConn{net: d.net, self: address, peer: d.from, in: toTarget, out: toDialler, closed: make(chan struct{})}
	ours.other, theirs.other = theirs, ours
	go target.Accept(theirs)
	return ours, nil
}

type frame struct {
	data []byte
	at   time.Time
}

type memConn struct {
	net        *memNet
	self, peer string
	in         <-chan frame
	out        chan<- frame
	closed     chan struct{}
	once       sync.Once
	other      *memConn
	// discardWrites silently discards all writes from now on.
	discardWrites atomic.Bool
}

func (c *memConn) Read(ctx context.Context) ([]byte, error) {
	for {
		select {
		case f := <-c.in:
			time.Sleep(time.Until(f.at))
			if err := c.net.waitUnfrozen(ctx, c.self); err != nil {
				return nil, err
			}
			return f.data, nil
		case <-c.closed:
			return nil, errClosed
		case <-ctx.Done():
			c.Close()
			return nil, ctx.Err()
		}
	}
}

func (c *memConn) Write(ctx context.Context, data []byte) error {
	if err := c.net.waitUnfrozen(ctx, c.self); err != nil {
		return err
	}
	if c.discardWrites.Load() || c.net.isPartitioned(c.self, c.peer) {
		return nil // a write succeeds although the message is lost
	}
	c.net.mu.Lock()
	c.net.bytes += len(data)
	c.net.mu.Unlock()
	select {
	case c.out <- frame{data, time.Now().Add(c.net.latency)}:
		return nil
	case <-c.closed:
		return errClosed
	}
}

func (c *memConn) peerBuild() string {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if o := c.net.nodes[c.peer]; o != nil {
		return o.build
	}
	return ""
}

// Close closes the other side too, unless there is a partition between the two.
func (c *memConn) Close() {
	c.once.Do(func() { close(c.closed) })
	if !c.net.isPartitioned(c.self, c.peer) {
		c.other.once.Do(func() { close(c.other.closed) })
	}
}

// node is one instance of a test cluster.
type node struct {
	*Overlay
	stop           context.CancelFunc
	stopped        chan struct{}
	controlBlocked chan Dump
	deliveries     sync.Map // payload -> count of deliveries
}

// cluster is a deployment in memory, for use in a synctest bubble.
type cluster struct {
	t      *testing.T
	net    *memNet
	nodes  map[string]*node
	starts uint64
	// onMessage, if set, is called with the payload of each call and broadcast.
	onMessage func(payload string)
	// build, if set, names the build of instances that are started.
	build string
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, net: newMemNet(), nodes: map[string]*node{}}
}

const testTopic peer.Topic = "test"

// start runs one instance whose ID is "region/data centre/name".
func (c *cluster) start(id string) *node {
	parts := strings.Split(id, "/")
	c.starts++
	self := peer.Member{ID: id, Incarnation: c.starts, Address: id, Region: parts[0], DataCentre: parts[0] + "/" + parts[1]}
	o, err := New(Options{Self: self, Secret: []byte("secret"), LiveList: c.net, Dialer: memDialer{c.net, id}})
	if err != nil {
		c.t.Fatal(err)
	}
	if c.build != "" {
		o.build, o.builds = c.build, newBuilds(self, c.build, time.Now())
	}
	n := &node{Overlay: o, stopped: make(chan struct{})}
	onMessage := c.onMessage
	if onMessage == nil {
		onMessage = func(string) {}
	}
	o.HandleBroadcast(testTopic, func(_ string, payload []byte) {
		onMessage(string(payload))
		count, _ := n.deliveries.LoadOrStore(string(payload), new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
	})
	o.HandleCall(testTopic, func(_ context.Context, from string, payload []byte) ([]byte, error) {
		onMessage(string(payload))
		return append([]byte(from+": "), payload...), nil
	})
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	c.net.mu.Lock()
	c.net.nodes[id] = o
	c.net.mu.Unlock()
	go func() {
		defer close(n.stopped)
		_ = o.Run(ctx)
	}()
	c.nodes[id] = n
	return n
}

// startAll starts and lists n instances, round robin over the data centres.
func (c *cluster) startAll(n int, centres ...string) {
	for i := range n {
		id := fmt.Sprintf("%s/n%03d", centres[i%len(centres)], i)
		c.listAs(id, platform.Live)
		c.start(id)
	}
}

// listAs sets an instance's phase on the platform's list; "" removes it.
func (c *cluster) listAs(id string, phase platform.Phase) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	var list []platform.LiveListEntry
	for _, item := range c.net.list {
		if item.ID != id {
			list = append(list, item)
		}
	}
	if phase != "" {
		list = append(list, platform.LiveListEntry{ID: id, Role: "instance", Address: id, Phase: phase})
	}
	c.net.list = list
}

// kill stops an instance abruptly: the others receive no notice.
func (c *cluster) kill(id string) {
	c.net.mu.Lock()
	delete(c.net.nodes, id)
	c.net.mu.Unlock()
	for other := range c.nodes {
		c.net.setPartition(id, other, true)
	}
	c.nodes[id].stop()
	<-c.nodes[id].stopped
	for other := range c.nodes {
		c.net.setPartition(id, other, false)
	}
	delete(c.nodes, id)
}

// leave shuts an instance down gracefully.
func (c *cluster) leave(id string) {
	c.nodes[id].stop()
	<-c.nodes[id].stopped
	c.net.mu.Lock()
	delete(c.net.nodes, id)
	c.net.mu.Unlock()
	delete(c.nodes, id)
}

// freeze blocks an instance's links and its control goroutine.
func (c *cluster) freeze(id string) {
	n := c.nodes[id]
	c.net.mu.Lock()
	c.net.unfrozen[id] = make(chan struct{})
	c.net.mu.Unlock()
	n.controlBlocked = make(chan Dump) // unbuffered: the control goroutine blocks until it is received
	n.events <- dumpRequested{n.controlBlocked}
}

func (c *cluster) unfreeze(id string) {
	c.net.mu.Lock()
	close(c.net.unfrozen[id])
	delete(c.net.unfrozen, id)
	c.net.mu.Unlock()
	<-c.nodes[id].controlBlocked
}

// split creates or heals a partition between the instances for which side holds
// and all others.
func (c *cluster) split(side func(id string) bool, partitioned bool) {
	for a := range c.nodes {
		for b := range c.nodes {
			if side(a) && !side(b) {
				c.net.setPartition(a, b, partitioned)
			}
		}
	}
}

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		<-n.stopped
	}
}

func (c *cluster) ids() []string {
	ids := make([]string, 0, len(c.nodes))
	for id := range c.nodes {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// viewOf returns the IDs of the members in an instance's view.
func (c *cluster) viewOf(id string) []string {
	var ids []string
	for _, m := range c.nodes[id].Members() {
		ids = append(ids, m.ID)
	}
	return ids
}

// disagreement returns "" if the view of each instance holds exactly the running
// instances that it can reach according to connected.
func (c *cluster) disagreement(connected func(a, b string) bool) string {
	for _, id := range c.ids() {
		var want []string
		for _, other := range c.ids() {
			if connected(id, other) {
				want = append(want, other)
			}
		}
		if got := c.viewOf(id); fmt.Sprint(got) != fmt.Sprint(want) {
			return fmt.Sprintf("%s sees %v, want %v", id, got, want)
		}
	}
	return ""
}

func all(string, string) bool { return true }

// converge waits in virtual time until there is no disagreement, and returns how
// long it took.
func (c *cluster) converge(limit time.Duration, connected func(a, b string) bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for {
		problem := c.disagreement(connected)
		if problem == "" {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			c.t.Fatalf("views did not converge within %v: %s", limit, problem)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// deliveredTo returns how many instances received the payload, failing the test on
// a second delivery.
func (c *cluster) deliveredTo(payload string) int {
	count := 0
	for id, n := range c.nodes {
		times, ok := n.deliveries.Load(payload)
		if ok {
			count++
		}
		if ok && times.(*atomic.Int64).Load() > 1 {
			c.t.Fatalf("%s received the broadcast %d times", id, times.(*atomic.Int64).Load())
		}
	}
	return count
}

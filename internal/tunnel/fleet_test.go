package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/peer"
)

// fleet is a set of instances in memory that can be cut off from upstreams.
type fleet struct {
	mu        sync.Mutex
	members   []peer.Member
	instances []*fakeInstance
	upstreams map[string]deployment.Upstream
	// cut reports how the path of an instance to an address fails; nil if it does not.
	cut func(instance int, address string) *cutPath
	// down lists the upstreams that refuse all connections.
	down map[string]bool
	// streams counts the streams that were opened between instances.
	streams atomic.Int64
	// broadcasts counts the notices.
	broadcasts atomic.Int64
	// latency is the time of a message between instances.
	latency time.Duration
}

// cutPath is how a path fails.
type cutPath struct {
	// refused fails at once, otherwise there is no answer.
	refused bool
}

// fakeInstance is one instance of a fleet; it implements peer.StreamBus.
type fakeInstance struct {
	*Dialer
	f        *fleet
	index    int
	handler  peer.StreamHandler
	onNotice peer.BroadcastHandler
	dials    atomic.Int64
	// frozen instances answer nothing.
	frozen   atomic.Bool
	draining atomic.Bool
	// maxServed is the most tunnels at a time.
	maxServed atomic.Int64
}

// newFleet returns linked instances in three data centres, and upstreams.
func newFleet(instances, upstreams int, latency time.Duration) *fleet {
	f := &fleet{upstreams: map[string]deployment.Upstream{}, down: map[string]bool{}, latency: latency, cut: func(int, string) *cutPath { return nil }}
	for i := range upstreams {
		address := fmt.Sprintf("u%d", i)
		f.upstreams[address] = deployment.Upstream{ID: "i-" + address, Service: "s", Address: address, DataCentre: fmt.Sprint("dc", i%3)}
	}
	for i := range instances {
		m := peer.Member{ID: fmt.Sprintf("front-%d", i), DataCentre: fmt.Sprint("dc", i%3), Capacity: uint32(200 + 200*(i%3))}
		f.members = append(f.members, m)
		n := &fakeInstance{f: f, index: i}
		n.Dialer = NewDialer(Options{
			Direct: n.direct,
			Upstream: func(address string) (deployment.Upstream, bool) {
				u, listed := f.upstreams[address]
				return u, listed
			},
			DataCentre: m.DataCentre,
			Draining:   n.draining.Load,
		})
		f.instances = append(f.instances, n)
	}
	for _, n := range f.instances {
		n.SetBus(n)
	}
	return f
}

// connectTime is the time of a TCP handshake.
const connectTime = 2 * time.Millisecond

// direct opens a connection to an upstream that echoes what it receives.
func (n *fakeInstance) direct(ctx context.Context, network, address string) (net.Conn, error) {
	n.dials.Add(1)
	n.f.mu.Lock()
	cut, down := n.f.cut(n.index, address), n.f.down[address]
	n.f.mu.Unlock()
	if cut != nil && !cut.refused {
		select {
		case <-ctx.Done():
		case <-time.After(400 * time.Millisecond):
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
	}
	time.Sleep(connectTime)
	if cut != nil || down {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	here, there := net.Pipe()
	go func() {
		defer there.Close()
		_, _ = io.Copy(there, there)
	}()
	return here, nil
}

// Self implements peer.Bus.
func (n *fakeInstance) Self() peer.Member { return n.f.members[n.index] }

// Members implements peer.Bus.
func (n *fakeInstance) Members() []peer.Member { return n.f.members }

// Neighbours implements peer.Bus.
func (n *fakeInstance) Neighbours() []string { return nil }

// Call implements peer.Bus.
func (n *fakeInstance) Call(context.Context, string, peer.Topic, []byte) ([]byte, error) {
	return nil, peer.ErrUnreachable
}

// HandleCall implements peer.Bus.
func (n *fakeInstance) HandleCall(peer.Topic, peer.CallHandler) {}

// HandleBroadcast implements peer.Bus.
func (n *fakeInstance) HandleBroadcast(_ peer.Topic, h peer.BroadcastHandler) { n.onNotice = h }

// Broadcast implements peer.Bus. It reaches distant instances over others.
func (n *fakeInstance) Broadcast(_ peer.Topic, payload []byte) {
	n.f.broadcasts.Add(1)
	time.AfterFunc(3*n.f.latency, func() {
		for _, other := range n.f.instances {
			if other != n {
				other.onNotice(n.Self().ID, payload)
			}
		}
	})
}

// HandleStreams implements peer.StreamBus.
func (n *fakeInstance) HandleStreams(h peer.StreamHandler) { n.handler = h }

// OpenStream implements peer.StreamBus.
func (n *fakeInstance) OpenStream(ctx context.Context, to string) (peer.Stream, error) {
	var index int
	if _, err := fmt.Sscanf(to, "front-%d", &index); err != nil {
		return nil, err
	}
	other := n.f.instances[index]
	n.f.streams.Add(1)
	if other.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(3 * n.f.latency) // connection and handshake
	a, b := newPipe(n.f.latency)
	go func() {
		other.maxServed.Store(max(other.maxServed.Load(), int64(other.Served())+1))
		other.handler(context.Background(), n.Self().ID, b)
		b.Close()
	}()
	return a, nil
}

// pipe is one end of a stream in memory.
type pipe struct {
	in, out chan []byte
	closed  chan struct{}
	once    *sync.Once
	latency time.Duration
}

func newPipe(latency time.Duration) (a, b *pipe) {
	x, y := make(chan []byte, 4), make(chan []byte, 4)
	closed, once := make(chan struct{}), &sync.Once{}
	return &pipe{x, y, closed, once, latency}, &pipe{y, x, closed, once, latency}
}

// Read implements peer.Stream. Messages that were sent before the end still arrive.
func (p *pipe) Read(ctx context.Context) ([]byte, error) {
	select {
	case data := <-p.in:
		return data, nil
	default:
	}
	select {
	case data := <-p.in:
		return data, nil
	case <-p.closed:
		select {
		case data := <-p.in:
			return data, nil
		default:
			return nil, io.EOF
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Write implements peer.Stream.
func (p *pipe) Write(ctx context.Context, data []byte) error {
	if p.latency > 0 {
		time.Sleep(p.latency)
	}
	select {
	case <-p.closed:
		return io.ErrClosedPipe
	default:
	}
	select {
	case p.out <- append([]byte{}, data...):
		return nil
	case <-p.closed:
		return io.ErrClosedPipe
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close implements peer.Stream.
func (p *pipe) Close() { p.once.Do(func() { close(p.closed) }) }

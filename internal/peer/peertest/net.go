// Package peertest connects buses in memory, with latency and broken links, for
// tests.
package peertest

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// Net is an in-memory network of buses. Use it inside a synctest bubble for
// exact timing.
type Net struct {
	mu      sync.Mutex
	nodes   map[string]*Node
	broken  map[[2]string]bool
	silent  map[[2]string]bool
	latency time.Duration
}

// NewNet returns a network in which each message takes latency.
func NewNet(latency time.Duration) *Net {
	return &Net{nodes: map[string]*Node{}, broken: map[[2]string]bool{}, silent: map[[2]string]bool{}, latency: latency}
}

// Node is the bus of one instance.
type Node struct {
	net        *Net
	self       peer.Member
	mu         sync.Mutex
	broadcasts map[peer.Topic]peer.BroadcastHandler
	calls      map[peer.Topic]peer.CallHandler
}

var _ peer.Bus = (*Node)(nil)

// Join adds a member and returns its bus. A member with the same ID is
// replaced, as after a restart.
func (n *Net) Join(m peer.Member) *Node {
	node := &Node{
		net:        n,
		self:       m,
		broadcasts: map[peer.Topic]peer.BroadcastHandler{},
		calls:      map[peer.Topic]peer.CallHandler{},
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[m.ID] = node
	return node
}

// Leave removes a member immediately, as in a crash.
func (n *Net) Leave(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, id)
}

// SetLinkBroken breaks or restores the link between two members, in both directions.
func (n *Net) SetLinkBroken(a, b string, broken bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broken[[2]string{a, b}] = broken
	n.broken[[2]string{b, a}] = broken
}

// SetSilent sets whether messages from one member to another are lost although both remain
// members: calls get no answer.
func (n *Net) SetSilent(from, to string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[[2]string{from, to}] = silent
}

// isSilent reports whether messages from one member to another are lost.
func (n *Net) isSilent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[[2]string{from, to}]
}

// reachable returns the node of id, or nil if a message from the member from cannot
// reach it.
func (n *Net) reachable(from, id string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.broken[[2]string{from, id}] {
		return nil
	}
	return n.nodes[id]
}

// Self implements peer.Bus.
func (b *Node) Self() peer.Member { return b.self }

// Members implements peer.Bus: it returns the members to which the link is not
// broken.
func (b *Node) Members() []peer.Member {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	var members []peer.Member
	for id, node := range b.net.nodes {
		if !b.net.broken[[2]string{b.self.ID, id}] {
			members = append(members, node.self)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Neighbours implements peer.Bus.
func (b *Node) Neighbours() []string {
	var ids []string
	for _, m := range b.Members() {
		if m.ID != b.self.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Broadcast implements peer.Bus.
func (b *Node) Broadcast(topic peer.Topic, payload []byte) {
	for _, id := range b.Neighbours() {
		time.AfterFunc(b.net.latency, func() { b.deliver(id, topic, payload) })
	}
}

// deliver passes a broadcast to the handler of a member if the member is reachable.
func (b *Node) deliver(id string, topic peer.Topic, payload []byte) {
	node := b.net.reachable(b.self.ID, id)
	if node == nil || b.net.isSilent(b.self.ID, id) {
		return
	}
	node.mu.Lock()
	h := node.broadcasts[topic]
	node.mu.Unlock()
	if h != nil {
		h(b.self.ID, payload)
	}
}

// Call implements peer.Bus.
func (b *Node) Call(ctx context.Context, to string, topic peer.Topic, payload []byte) ([]byte, error) {
	if err := wait(ctx, b.net.latency); err != nil {
		return nil, err
	}
	node := b.net.reachable(b.self.ID, to)
	if node == nil {
		return nil, peer.ErrUnreachable
	}
	if b.net.isSilent(b.self.ID, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	node.mu.Lock()
	h := node.calls[topic]
	node.mu.Unlock()
	if h == nil {
		return nil, errors.New("no handler for topic " + string(topic))
	}
	answer, err := h(ctx, b.self.ID, payload)
	if err != nil {
		return nil, err
	}
	if err := wait(ctx, b.net.latency); err != nil {
		return nil, err
	}
	if b.net.reachable(to, b.self.ID) == nil {
		return nil, peer.ErrUnreachable
	}
	return answer, nil
}

// wait waits for d, or returns the error of ctx if it ends first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HandleBroadcast implements peer.Bus.
func (b *Node) HandleBroadcast(topic peer.Topic, h peer.BroadcastHandler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broadcasts[topic] = h
}

// HandleCall implements peer.Bus.
func (b *Node) HandleCall(topic peer.Topic, h peer.CallHandler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[topic] = h
}

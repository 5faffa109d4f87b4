package member

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// growingList is a live list to which tests add instances.
type growingList struct {
	mu     sync.Mutex
	listed []platform.LiveListEntry
}

func (l *growingList) List(context.Context) ([]platform.LiveListEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.LiveListEntry(nil), l.listed...), nil
}

func (l *growingList) add(id, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = append(l.listed, platform.LiveListEntry{ID: id, Role: "instance", Address: address})
}

// serve starts an overlay on a loopback port and stops it with the test.
func serve(t *testing.T, id, secret string, list *growingList) *Overlay {
	t.Helper()
	return serveBuild(t, id, secret, build.ID(), list)
}

// serveBuild is serve with the name of the overlay's build; "" sends none.
func serveBuild(t *testing.T, id, secret, name string, list *growingList) *Overlay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	self := peer.Member{ID: id, Incarnation: 1, Address: address, DataCentre: "a", Region: "r"}
	o, err := New(Options{Self: self, Secret: []byte(secret), LiveList: list})
	if err != nil {
		t.Fatal(err)
	}
	o.build, o.builds = name, newBuilds(self, name, time.Now())
	o.dialer.(*webSocketDialer).build = name
	o.HandleCall(testTopic, func(_ context.Context, from string, _ []byte) ([]byte, error) {
		return []byte(from), nil
	})
	list.add(id, address)
	server := &http.Server{Handler: o.Handler()}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = o.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		_ = server.Close()
	})
	return o
}

// TestWebSocketLinks checks that two overlays link and call each other over
// WebSocket on loopback.
func TestWebSocketLinks(t *testing.T) {
	var list growingList
	a := serve(t, "a", "secret", &list)
	b := serve(t, "b", "secret", &list)
	for len(a.Members()) < 2 || len(b.Neighbours()) == 0 {
		runtime.Gosched()
	}
	got, err := b.Call(t.Context(), "a", testTopic, nil)
	if err != nil || string(got) != "b" {
		t.Fatalf("call: %q, %v", got, err)
	}
}

// TestWrongSecretIsRefused checks that an instance with another secret gets no
// link.
func TestWrongSecretIsRefused(t *testing.T) {
	var list growingList
	a := serve(t, "a", "secret", &list)
	wrongSecret, err := New(Options{Self: peer.Member{ID: "b", Address: "127.0.0.1:1"}, Secret: []byte("other")})
	if err != nil {
		t.Fatal(err)
	}
	for !a.spawn(func(context.Context) {}) {
		runtime.Gosched()
	}
	_, err = wrongSecret.openLink(t.Context(), a.self, linkOverlay)
	if err == nil || !strings.Contains(err.Error(), "secret") {
		t.Fatalf("link with a wrong secret: %v", err)
	}
}

package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/sockets"
)

// inBubble runs a test in virtual time and waits for the ends of its connections.
func inBubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(lingerTime + openTimeout)
	})
}

// cutOff cuts an instance off from all upstreams.
func (f *fleet) cutOff(refused bool, instances ...int) {
	lost := map[int]bool{}
	for _, i := range instances {
		lost[i] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = func(instance int, _ string) *cutPath {
		if lost[instance] {
			return &cutPath{refused}
		}
		return nil
	}
}

// dial opens a connection and returns the instance that it goes through.
func (n *fakeInstance) dial(t *testing.T, address string) (net.Conn, string, error) {
	t.Helper()
	conn, err := n.DialContext(t.Context(), "tcp", address)
	if c, ok := conn.(*Conn); ok {
		return conn, c.Via(), err
	}
	return conn, "", err
}

// TestTunnelCarriesAllBytes checks that bytes pass a tunnel unchanged in both directions.
func TestTunnelCarriesAllBytes(t *testing.T) {
	f := newFleet(2, 1, 0)
	f.cutOff(true, 0)
	conn, via, err := f.instances[0].dial(t, "u0")
	if err != nil || via != "front-1" {
		t.Fatalf("got %v through %q, want a connection through front-1", err, via)
	}
	defer conn.Close()
	sent := make([]byte, 3<<20)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(sent)
	go func() {
		for rest := sent; len(rest) > 0; {
			n := min(len(rest), 1+int(random.Uint64()%50_000))
			_, _ = conn.Write(rest[:n])
			rest = rest[n:]
		}
	}()
	received := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, received); err != nil || !bytes.Equal(sent, received) {
		t.Errorf("got %v, equal: %v; want the bytes that were sent", err, bytes.Equal(sent, received))
	}
}

// serveOne has instance 1 of a fleet of two connect to what serve does, and returns the
// connection of instance 0 to it.
func serveOne(t *testing.T, serve func(net.Conn)) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			serve(conn)
		}
	}()
	f := newFleet(2, 1, 0)
	f.cutOff(true, 0)
	f.instances[1].opts.Direct = func(ctx context.Context, network, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, network, listener.Addr().String())
	}
	conn, _, err := f.instances[0].dial(t, "u0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestEndAndFailureAreToldApart checks that the end of an upstream's bytes arrives as their end,
// and a reset connection does not.
func TestEndAndFailureAreToldApart(t *testing.T) {
	for _, reset := range []bool{false, true} {
		conn := serveOne(t, func(c net.Conn) {
			_, _ = c.Write([]byte("part"))
			time.Sleep(20 * time.Millisecond) // a reset may discard bytes that were not read yet
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		})
		data, err := io.ReadAll(conn)
		if string(data) != "part" || (err != nil) != reset {
			t.Errorf("reset %v: got %q, %v", reset, data, err)
		}
	}
}

// TestResetDuringUploadBreaksTheTunnel guards against a connection that is reset while bytes are
// written to it ending its tunnel in order: the write may be told of the reset in place of the read.
func TestResetDuringUploadBreaksTheTunnel(t *testing.T) {
	for range 10 {
		conn := serveOne(t, func(c net.Conn) {
			_, _ = io.CopyN(io.Discard, c, 1000)
			_, _ = c.Write([]byte("part"))
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
		go func() {
			for range 200 {
				if _, err := conn.Write(make([]byte, 32<<10)); err != nil {
					return
				}
			}
		}()
		if data, err := io.ReadAll(conn); err == nil {
			t.Fatalf("got %q and its end; want an error", data)
		}
	}
}

// TestClosedTunnelClosesItsConnection checks that an upstream learns at once that its caller has
// left.
func TestClosedTunnelClosesItsConnection(t *testing.T) {
	left := make(chan time.Time, 1)
	conn := serveOne(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		left <- time.Now()
	})
	_, _ = conn.Write([]byte("request"))
	closed := time.Now()
	conn.Close()
	select {
	case at := <-left:
		if late := at.Sub(closed); late > 300*time.Millisecond {
			t.Errorf("the upstream learned of it after %v", late)
		}
	case <-time.After(5 * time.Second):
		t.Error("the upstream did not learn of it in 5 s")
	}
}

// TestSlowReaderSlowsTheUpstream checks that a tunnel whose caller does not read holds a
// bounded number of bytes.
func TestSlowReaderSlowsTheUpstream(t *testing.T) {
	written := make(chan int, 1)
	conn := serveOne(t, func(c net.Conn) {
		total := 0
		_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		for {
			n, err := c.Write(make([]byte, 64<<10))
			total += n
			if err != nil {
				break
			}
		}
		written <- total
	})
	// The rest is held by the sockets of the test.
	if total := <-written; total > 32<<20 {
		t.Errorf("%d bytes were accepted from an upstream whose caller does not read", total)
	}
	conn.Close()
}

// TestTunnelsAreRefused checks the refusals of an instance that is asked for a tunnel.
func TestTunnelsAreRefused(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 1, time.Millisecond)
		n := f.instances[1]
		open := func(address string) openCode {
			_, answer, _ := f.instances[0].open(t.Context(), "front-1", address)
			return answer.Code
		}
		if code := open("elsewhere"); code != notListed {
			t.Errorf("an address that is not listed: got %s", code)
		}
		n.draining.Store(true)
		if code := open("u0"); code != busy {
			t.Errorf("an instance that leaves: got %s", code)
		}
		n.draining.Store(false)
		n.served.Store(maxServed)
		if code := open("u0"); code != busy {
			t.Errorf("too many tunnels: got %s", code)
		}
		n.served.Store(0)
		n.paths.tunnelled("u0", "test", nil, time.Now())
		if code := open("u0"); code != noPath {
			t.Errorf("an instance without a path: got %s", code)
		}
	})
}

// TestPathsAreLearnedAndForgotten checks that connections go through another instance soon
// after the path is cut, and directly soon after it is whole, with few direct trials between.
func TestPathsAreLearnedAndForgotten(t *testing.T) {
	for _, refused := range []bool{false, true} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(3, 1, time.Millisecond)
			n := f.instances[0]
			connect := func() (via string, took time.Duration) {
				began := time.Now()
				conn, via, err := n.dial(t, "u0")
				if err != nil {
					t.Fatalf("refused %v: %v", refused, err)
				}
				conn.Close()
				took = time.Since(began)
				time.Sleep(20 * time.Millisecond)
				return via, took
			}
			if via, _ := connect(); via != "" {
				t.Errorf("whole path: went through %q", via)
			}
			f.cutOff(refused, 0)
			if via, took := connect(); via == "" || took > headStart+20*time.Millisecond {
				t.Errorf("refused %v: first connection of the cut through %q after %v", refused, via, took)
			}
			before := n.dials.Load()
			const count = 100
			began := time.Now()
			for range count {
				if via, took := connect(); via == "" || took > 20*time.Millisecond {
					t.Errorf("refused %v: known cut: through %q after %v", refused, via, took)
				}
			}
			if dials := n.dials.Load() - before; dials > 1+int64(time.Since(began)/trialInterval) {
				t.Errorf("refused %v: %d direct trials in %v", refused, dials, time.Since(began))
			}
			f.cutOff(refused)
			time.Sleep(trialInterval)
			connect() // may still go through another instance beside the trial
			if via, _ := connect(); via != "" || len(n.paths.dump(time.Now())) != 0 {
				t.Errorf("refused %v: after the cut: through %q, broken %v", refused, via, n.paths.dump(time.Now()))
			}
		})
	}
}

// TestDownUpstreamBreaksNoPath checks that an upstream that refuses all connections is reported
// as such, after few tries, and that its paths count as whole.
func TestDownUpstreamBreaksNoPath(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(20, 2, time.Millisecond)
		f.down["u0"] = true
		n := f.instances[0]
		for _, other := range f.instances {
			conn, _, err := other.dial(t, "u1")
			if err != nil {
				t.Fatal(err)
			}
			conn.Close()
		}
		if _, _, err := n.dial(t, "u0"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got %v, want a refusal", err)
		}
		if len(n.paths.dump(time.Now())) != 0 || f.streams.Load() > conclusiveReports {
			t.Errorf("%v broken, %d instances asked; want none and %d", n.paths.dump(time.Now()), f.streams.Load(), conclusiveReports)
		}
	})
}

// TestRefusalOnOnePathIsNoEndOfTheUpstream checks that a refusal that no other instance confirms
// is not reported as that of the upstream, which would count as its crash.
func TestRefusalOnOnePathIsNoEndOfTheUpstream(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 1, time.Millisecond)
		f.cutOff(true, 0)
		f.instances[1].frozen.Store(true)
		if _, _, err := f.instances[0].dial(t, "u0"); err == nil || isRefused(err) {
			t.Errorf("got %v, want an error that is no refusal", err)
		}
	})
}

// TestReportsOfOthersWithoutPathsProveLittle checks that an upstream is reached although others
// that were asked could not connect: two that have connected to nothing lately, or one that has,
// to another upstream.
func TestReportsOfOthersWithoutPathsProveLittle(t *testing.T) {
	for name, reach := range map[string]bool{"cut off from all": false, "cut off from one": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(4, 2, time.Millisecond)
				lost := map[int]bool{0: true, 1: true, 2: !reach}
				f.cut = func(instance int, address string) *cutPath {
					if lost[instance] && (address == "u0" || !reach) {
						return &cutPath{refused: true}
					}
					return nil
				}
				for i := range 30 {
					for _, n := range f.instances {
						n.paths = newPaths()
						if !reach {
							continue
						}
						conn, _, err := n.dial(t, "u1")
						if err != nil {
							t.Fatal(err)
						}
						conn.Close()
					}
					conn, _, err := f.instances[0].dial(t, "u0")
					if err != nil {
						t.Fatalf("round %d: %v", i, err)
					}
					conn.Close()
				}
			})
		})
	}
}

// TestFrozenInstancesDelayLittle checks that connections succeed although instances that are
// asked do not answer.
func TestFrozenInstancesDelayLittle(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(4, 1, time.Millisecond)
		f.cutOff(true, 0)
		f.instances[1].frozen.Store(true)
		f.instances[2].frozen.Store(true)
		slow := 0
		for i := range 20 {
			began := time.Now()
			conn, via, err := f.instances[0].dial(t, "u0")
			took := time.Since(began)
			if err != nil || via != "front-3" || took > 2*headStart+20*time.Millisecond {
				t.Errorf("%d: got %v through %q after %v", i, err, via, took)
			}
			if took > 20*time.Millisecond {
				slow++
			}
			if conn != nil {
				conn.Close()
			}
			time.Sleep(50 * time.Millisecond)
		}
		if slow > 2 {
			t.Errorf("%d of 20 connections waited for a frozen instance, want 2", slow)
		}
	})
}

// TestIsolatedInstanceRefusesAtOnce checks that an instance that reaches nothing fails at once,
// tries seldom, and works again soon after the cut.
func TestIsolatedInstanceRefusesAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 6, time.Millisecond)
		f.cutOff(false, 0, 1, 2)
		n := f.instances[0]
		for i := range isolatedFailures {
			_, _, _ = n.dial(t, n.address(i))
		}
		at := time.Now()
		var isolated atomic.Int64
		for i := range 200 {
			began := time.Now()
			go func() {
				conn, _, err := n.dial(t, n.address(i))
				if conn != nil {
					conn.Close()
				}
				if errors.Is(err, sockets.ErrIsolated) {
					isolated.Add(1)
					if took := time.Since(began); took > time.Millisecond {
						t.Errorf("refused after %v", took)
					}
				}
			}()
			time.Sleep(10 * time.Millisecond)
		}
		if tried := 200 - int(isolated.Load()); tried > 1+int(time.Since(at)/isolatedTrialInterval) {
			t.Errorf("%d of 200 connections were tried in %v", tried, time.Since(at))
		}
		f.cutOff(false)
		time.Sleep(isolatedTrialInterval + dialTimeout)
		for i := range 2 {
			conn, _, err := n.dial(t, n.address(i))
			if err != nil {
				t.Fatalf("after the cut, connection %d: %v", i, err)
			}
			conn.Close()
		}
	})
}

// dialAll opens a connection to each upstream at the same time and returns how many failed, and
// how many of these were not tried because the instance counts as isolated.
func (n *fakeInstance) dialAll(t *testing.T) (failed, isolated int) {
	t.Helper()
	results := make(chan error)
	for i := range len(n.f.upstreams) {
		go func() {
			conn, _, err := n.dial(t, n.address(i))
			if conn != nil {
				conn.Close()
			}
			results <- err
		}()
	}
	for range len(n.f.upstreams) {
		err := <-results
		if err != nil {
			failed++
		}
		if errors.Is(err, sockets.ErrIsolated) {
			isolated++
		}
	}
	return failed, isolated
}

// TestSlowMomentOfAnotherInstanceIsNoIsolation guards against requests that were refused at once
// although another instance had a path: connections that had failed at the same moment counted
// as proof that no upstream can be reached.
func TestSlowMomentOfAnotherInstanceIsNoIsolation(t *testing.T) {
	const upstreams = 5
	for slow := 1; slow <= 2; slow++ { // rounds of connections in which the other instance is silent
		inBubble(t, func(t *testing.T) {
			f := newFleet(2, upstreams, time.Millisecond)
			f.cutOff(false, 0)
			n, other := f.instances[0], f.instances[1]
			other.frozen.Store(true)
			for range slow {
				if failed, isolated := n.dialAll(t); failed != upstreams || isolated != 0 {
					t.Errorf("silent for %d rounds: %d of %d connections failed, %d untried; want all tried", slow, failed, upstreams, isolated)
				}
			}
			other.frozen.Store(false)
			failed, isolated := n.dialAll(t)
			// One connection is tried even if the instance counts as isolated.
			if want := (slow - 1) * (upstreams - 1); failed != want || isolated != want {
				t.Errorf("after %d silent rounds %d of %d connections failed, %d untried; want %d", slow, failed, upstreams, isolated, want)
			}
		})
	}
}

// address returns the address of an upstream.
func (n *fakeInstance) address(i int) string {
	return "u" + string(rune('0'+i%len(n.f.upstreams)))
}

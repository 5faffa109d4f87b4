package graceful

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestStopResetsNoConnection guards against connections that are opened while the listener closes, and
// are reset instead of refused or served.
func TestStopResetsNoConnection(t *testing.T) {
	const (
		stops   = 96
		atOnce  = 8
		callers = 16
	)
	var cut, served atomic.Int64
	stop := func() {
		s := newTestServer(t, false)
		go s.Serve(func(err error) { t.Errorf("Serve failed with %v", err) })
		address := s.listener.Addr().String()
		var work sync.WaitGroup
		for range callers {
			work.Go(func() {
				for {
					conn, err := net.DialTimeout("tcp", address, 5*time.Second)
					if errors.Is(err, syscall.ECONNREFUSED) {
						return
					}
					if err != nil {
						t.Error(err)
						return
					}
					_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
					_, err = conn.Write([]byte(line + rest))
					var res *http.Response
					if err == nil {
						res, err = http.ReadResponse(bufio.NewReader(conn), nil)
					}
					conn.Close()
					if err != nil {
						cut.Add(1)
						continue
					}
					res.Body.Close()
					served.Add(1)
				}
			})
		}
		time.Sleep(3 * time.Millisecond)
		if err := s.Stop(t.Context()); err != nil {
			t.Error(err)
		}
		work.Wait()
		s.Close()
	}
	var all sync.WaitGroup
	for range atOnce {
		all.Go(func() {
			for range stops / atOnce {
				stop()
			}
		})
	}
	all.Wait()
	if n := cut.Load(); n > 0 {
		t.Errorf("%d connections were reset, %d requests served", n, served.Load())
	}
}

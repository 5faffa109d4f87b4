package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/settings"
)

// processSettings is the environment variable with the settings file of a process that runs an
// instance instead of the tests.
const processSettings = "BANYANROUTE_TEST_SETTINGS"

func TestMain(m *testing.M) {
	path := os.Getenv(processSettings)
	if path == "" {
		os.Exit(m.Run())
	}
	s, err := settings.Load(path)
	if err == nil {
		var d *Daemon
		if d, err = New(s); err == nil {
			err = d.Run(context.Background())
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// startProcess starts an instance in a process of its own, with more settings, and waits until it
// is ready.
func (f *fleet) startProcess(name, more string) (*exec.Cmd, settings.Settings) {
	f.t.Helper()
	s, text := f.settings(name, more)
	path := filepath.Join(f.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), processSettings+"="+path, "GORACE=atexit_sleep_ms=0") // the race detector delays the exit
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }) // fail if it has ended
	f.list(platform.LiveListEntry{ID: name, Role: "instance", Address: s.Listen.Links.Address})
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + s.Listen.Operators.Address + "/readyz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return cmd, s
			}
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s is not ready after 20 s", name)
		}
	}
}

// ranKey reports whether a service has run the call with an idempotency key.
func (f *fleet) ranKey(key string) bool {
	for _, s := range f.services {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/standin/record", nil))
		if strings.Contains(w.Body.String(), fmt.Sprintf("%q", key)) {
			return true
		}
	}
	return false
}

// TestRequestsEndBeforeTheProcessIsKilled guards against calls that a stopping instance begins
// although its supervisor kills it before they end. Each gets its whole answer or a refusal that
// is true.
func TestRequestsEndBeforeTheProcessIsKilled(t *testing.T) {
	const notice, grace, workTime = time.Second, 4 * time.Second, 2500 * time.Millisecond
	f := &fleet{t: t, workTime: workTime}
	f.start(1)
	cmd, s := f.startProcess("p1", fmt.Sprintf("drain: {notice: %s, grace: %s}", notice, grace))
	f.callers = append(f.callers, s.Listen.Callers.Address)
	var work sync.WaitGroup
	for i := range 10 { // the instance learns how long calls take
		work.Go(func() {
			if status, body := f.send(1, http.MethodPost, "/services/bookings/book", fmt.Sprint("first-", i), "{}"); status != http.StatusOK {
				t.Errorf("status %d, %s", status, body)
			}
		})
	}
	work.Wait()
	stop := time.Now().Add(time.Second)
	for _, ms := range []int{-500, 100, 500, 900, 1200, 1800, 2500, 3200} {
		work.Go(func() {
			key := fmt.Sprint("late", ms)
			status, answer, err := sendLate(s.Listen.Callers.Address, key, stop.Add(min(time.Duration(ms)*time.Millisecond, notice/2)-200*time.Millisecond), stop.Add(time.Duration(ms)*time.Millisecond))
			switch ran := f.ranKey(key); {
			case err != nil && ran:
				t.Errorf("%s was cut off %s after SIGTERM: %v", key, time.Since(stop), err)
			case err != nil:
				t.Errorf("%s got no answer: %v", key, err)
			case status == http.StatusServiceUnavailable && ran:
				t.Errorf("%s was refused and has run: %s", key, answer)
			case status == http.StatusServiceUnavailable && ms <= 100:
				t.Errorf("%s was refused though it could end in time: %s", key, answer)
			case status != http.StatusOK && status != http.StatusServiceUnavailable:
				t.Errorf("%s: status %d, %s", key, status, answer)
			}
			t.Logf("%s: status %d", key, status)
		})
	}
	time.Sleep(time.Until(stop))
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(grace, func() { _ = cmd.Process.Kill() }) // fails if it has ended
	defer kill.Stop()
	work.Wait()
}

// TestLongCallsGetAnErrorBeforeTheProcessIsKilled guards against connections that end without an
// answer because a call that began long before a stop outlasts the grace period.
func TestLongCallsGetAnErrorBeforeTheProcessIsKilled(t *testing.T) {
	const notice, grace = 500 * time.Millisecond, 2 * time.Second
	f := &fleet{t: t, workTime: 2 * grace}
	f.start(1)
	cmd, s := f.startProcess("p1", fmt.Sprintf("drain: {notice: %s, grace: %s}", notice, grace))
	var work sync.WaitGroup
	work.Go(func() {
		now := time.Now()
		status, answer, err := sendLate(s.Listen.Callers.Address, "long", now, now)
		if err != nil || status != http.StatusServiceUnavailable || !strings.Contains(answer, "draining") || !strings.Contains(answer, "may-have-run") {
			t.Errorf("status %d, %s, %v; want 503 draining, may have run", status, answer, err)
		}
	})
	limit := time.Now().Add(5 * time.Second)
	for !f.ranKey("long") && time.Now().Before(limit) {
		time.Sleep(10 * time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(grace, func() { _ = cmd.Process.Kill() }) // fails if it has ended
	defer kill.Stop()
	work.Wait()
	if err := cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v, want its own exit within the grace period", err)
	}
}

// sendLate opens a connection and sends the beginning of a call at one moment, and the rest at
// another, and returns the answer.
func sendLate(address, key string, opened, at time.Time) (status int, body string, err error) {
	time.Sleep(time.Until(opened))
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	const line = "POST /services/bookings/book HTTP/1.1\r\n"
	if _, err := io.WriteString(conn, line); err != nil {
		return 0, "", err
	}
	time.Sleep(time.Until(at))
	if _, err := fmt.Fprintf(conn, "Host: x\r\nAuthorization: Bearer %s\r\nX-Request-Timeout: 5s\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}", callerKey, key); err != nil {
		return 0, "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

package graceful

import (
	"io"
	"net/http"
	"time"
)

// unreadBodyTimeout bounds the wait for the rest of a body after its request has been answered.
const unreadBodyTimeout = 5 * time.Second

// trackedBody tells a connection how much of the body of its request has arrived.
type trackedBody struct {
	io.ReadCloser
	c *conn
	// length is the announced length, negative if there is none.
	length int64
}

// Read implements io.Reader. After the server has closed the connection it returns an error, so that a
// request whose body was not complete by then does not run.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.c.tracker.charge(b.c, b.c.awaitBody(b.length)) {
		return 0, errClosedByServer
	}
	n, err := b.ReadCloser.Read(p)
	cost, closed := b.c.bodyReceived(n, err != nil, b.length)
	if closed || cost > 0 && !b.c.tracker.charge(b.c, cost) {
		return 0, errClosedByServer
	}
	return n, err
}

// awaitBody records that the handler waits for the body and returns what its beginning costs.
func (c *conn) awaitBody(length int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.body.since.IsZero() {
		return 0
	}
	c.body = bodyProgress{isAwaited: true, since: time.Now()}
	return min(max(length, 0), shortBodyBytes)
}

// bodyReceived records that n bytes have arrived, and whether the body has ended, and returns what they
// cost. The memory of a body that isn't announced may be twice its size while it grows.
func (c *conn) bodyReceived(n int, ended bool, length int64) (cost int64, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if length < 0 {
		cost = 2 * (min(c.body.bytes+int64(n), shortBodyBytes) - min(c.body.bytes, shortBodyBytes))
	}
	c.body.bytes += int64(n)
	if ended {
		c.body.isAwaited, c.bodyFollows = false, false
	}
	return cost, c.closed
}

// handler returns a handler that tells the tracker which connections are being served, and that refuses
// requests for which the connections hold too much memory.
func (t *tracker) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		c.beginRequest(hasBody)
		defer c.endRequest(hasBody)
		if !t.admit(c, r.Header) {
			refuse(w)
			return
		}
		if hasBody {
			r.Body = &trackedBody{ReadCloser: r.Body, c: c, length: r.ContentLength}
		}
		next.ServeHTTP(w, r)
	})
}

// refuse answers a request that has not run and will not.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the connections of this instance hold too much memory", http.StatusServiceUnavailable)
}

// beginRequest records that a handler serves a request.
func (c *conn) beginRequest(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isServed, c.body, c.bodyFollows = true, bodyProgress{}, hasBody
}

// endRequest records that the handler has returned.
func (c *conn) endRequest(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isServed, c.returnedAt = false, time.Now()
	isRead := !c.body.since.IsZero() && !c.body.isAwaited
	c.body.isAwaited = false
	if hasBody && !isRead && c.state == http.StateActive {
		_ = c.SetReadDeadline(c.returnedAt.Add(unreadBodyTimeout)) // fails if the connection is closed
	}
}

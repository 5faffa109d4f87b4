package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

const (
	// maxOverlayQueueMessages, maxDirectQueueMessages and maxLinkQueueBytes
	// bound the send queue of a link. Direct links are many, so their queues are
	// shorter.
	maxOverlayQueueMessages = 1024
	maxDirectQueueMessages  = 256
	maxLinkQueueBytes       = 24 << 20
	// maxAnnounced bounds the number of announcements in one heartbeat.
	maxAnnounced = 512
)

// link is an authenticated connection to one other instance.
type link struct {
	conn        Conn
	kind        linkKind
	dialled     bool
	peer        peer.Member
	out         chan []byte
	queuedBytes atomic.Int64
	// lastReceived and lastCall are the times of the last message received and
	// of the last call, in nanoseconds since the Unix epoch.
	lastReceived atomic.Int64
	lastCall     atomic.Int64
	// activeCalls counts the running calls in both directions.
	activeCalls atomic.Int64
	closed      chan struct{}
	once        sync.Once

	// lazy links get announcements of broadcasts instead of the broadcasts.
	lazy atomic.Bool

	mu           sync.Mutex
	pendingCalls map[uint64]chan callAnswer
	announced    []broadcastKey

	// The fields below belong to the control goroutine.

	// mismatches counts heartbeats in a row with a different table digest.
	mismatches    int
	nextSync      time.Time
	unwantedSince time.Time
	// closeExpected is set once either side has announced that it will close the
	// link.
	closeExpected bool
}

func newLink(conn Conn, kind linkKind, dialled bool, m peer.Member) *link {
	queue := maxDirectQueueMessages
	if kind == linkOverlay {
		queue = maxOverlayQueueMessages
	}
	l := &link{
		conn:         conn,
		kind:         kind,
		dialled:      dialled,
		peer:         m,
		out:          make(chan []byte, queue),
		closed:       make(chan struct{}),
		pendingCalls: map[uint64]chan callAnswer{},
	}
	l.markReceived()
	l.lastCall.Store(time.Now().UnixNano())
	return l
}

// markReceived sets lastReceived to the current time.
func (l *link) markReceived() { l.lastReceived.Store(time.Now().UnixNano()) }

func (l *link) silentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, l.lastReceived.Load()))
}

func (l *link) idleFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, l.lastCall.Load()))
}

// send queues one message without blocking. It returns false if the queue is
// full.
func (l *link) send(data []byte) bool {
	if l.queuedBytes.Add(int64(len(data))) > maxLinkQueueBytes {
		l.queuedBytes.Add(-int64(len(data)))
		return false
	}
	select {
	case l.out <- data:
		return true
	default:
		l.queuedBytes.Add(-int64(len(data)))
		return false
	}
}

// write sends queued messages until the link is closed.
func (l *link) write(ctx context.Context) {
	defer l.close()
	for {
		select {
		case data := <-l.out:
			if !l.writeOne(ctx, data) {
				return
			}
		case <-l.closed:
			return
		}
	}
}

func (l *link) writeOne(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := l.conn.Write(ctx, data)
	l.queuedBytes.Add(-int64(len(data)))
	return err == nil
}

// close ends the link and fails its pending calls. It may be called repeatedly.
func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// isClosed reports whether close was called.
func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// registerCall registers a pending call; the channel receives its answer.
func (l *link) registerCall(id uint64) <-chan callAnswer {
	answers := make(chan callAnswer, 1)
	l.activeCalls.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingCalls[id] = answers
	return answers
}

// unregisterCall removes a pending call.
func (l *link) unregisterCall(id uint64) {
	l.activeCalls.Add(-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingCalls, id)
}

// deliver passes an answer to the waiting call, if any.
func (l *link) deliver(a callAnswer) {
	l.mu.Lock()
	answers := l.pendingCalls[a.ID]
	delete(l.pendingCalls, a.ID)
	l.mu.Unlock()
	if answers != nil {
		answers <- a
	}
}

// announce adds a broadcast to the announcements of the next heartbeat.
func (l *link) announce(key broadcastKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.announced) < maxAnnounced {
		l.announced = append(l.announced, key)
	}
}

// takeAnnounced returns and clears the broadcasts to announce.
func (l *link) takeAnnounced() []broadcastKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.announced
	l.announced = nil
	return keys
}

package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

const (
	// overlayQueueMessages, directQueueMessages and linkQueueBytes bound what
	// waits to be sent. Direct links are many, so their queue is shorter.
	overlayQueueMessages = 1024
	directQueueMessages  = 256
	linkQueueBytes       = 24 << 20
	// maxAnnounced bounds the announcements in one heartbeat.
	maxAnnounced = 512
)

// link is an authenticated connection to one other instance.
type link struct {
	conn    Conn
	kind    linkKind
	dialled bool
	peer    peer.Member
	out     chan []byte
	queued  atomic.Int64
	// heard and used are times of the last message and the last call.
	heard atomic.Int64
	used  atomic.Int64
	// active counts the calls in both directions that have not ended.
	active atomic.Int64
	closed chan struct{}
	once   sync.Once

	// lazy links get announcements of broadcasts instead of the broadcasts.
	lazy atomic.Bool

	mu        sync.Mutex
	pending   map[uint64]chan callAnswer
	announced []broadcastKey

	// Fields of the control goroutine.
	mismatches    int
	nextSync      time.Time
	unwantedSince time.Time
	bye           bool
}

func newLink(conn Conn, kind linkKind, dialled bool, m peer.Member) *link {
	queue := directQueueMessages
	if kind == linkOverlay {
		queue = overlayQueueMessages
	}
	l := &link{
		conn:    conn,
		kind:    kind,
		dialled: dialled,
		peer:    m,
		out:     make(chan []byte, queue),
		closed:  make(chan struct{}),
		pending: map[uint64]chan callAnswer{},
	}
	l.touch()
	l.used.Store(time.Now().UnixNano())
	return l
}

// touch notes that the peer was heard.
func (l *link) touch() { l.heard.Store(time.Now().UnixNano()) }

func (l *link) silentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, l.heard.Load()))
}

func (l *link) idleFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, l.used.Load()))
}

// send queues one message without blocking and states whether it was taken.
func (l *link) send(data []byte) bool {
	if l.queued.Add(int64(len(data))) > linkQueueBytes {
		l.queued.Add(-int64(len(data)))
		return false
	}
	select {
	case l.out <- data:
		return true
	default:
		l.queued.Add(-int64(len(data)))
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
	l.queued.Add(-int64(len(data)))
	return err == nil
}

// close ends the link and fails its pending calls. It may be called repeatedly.
func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// isClosed states whether close was called.
func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// expect registers a call; the channel receives its answer.
func (l *link) expect(id uint64) <-chan callAnswer {
	answers := make(chan callAnswer, 1)
	l.active.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[id] = answers
	return answers
}

func (l *link) forget(id uint64) {
	l.active.Add(-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliver passes an answer to the waiting call, if any.
func (l *link) deliver(a callAnswer) {
	l.mu.Lock()
	answers := l.pending[a.ID]
	delete(l.pending, a.ID)
	l.mu.Unlock()
	if answers != nil {
		answers <- a
	}
}

// announce notes a broadcast for the next heartbeat.
func (l *link) announce(key broadcastKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.announced) < maxAnnounced {
		l.announced = append(l.announced, key)
	}
}

// takeAnnounced returns the broadcasts to announce.
func (l *link) takeAnnounced() []broadcastKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.announced
	l.announced = nil
	return keys
}

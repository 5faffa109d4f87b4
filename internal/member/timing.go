package member

import "time"

// Timing holds the intervals and timeouts of the overlay. A zero field takes
// its default. All instances of a deployment should use the same values.
type Timing struct {
	// HeartbeatInterval is the time between heartbeats on a link; default 1 s.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a received message after which a link
	// is closed; default 3 s.
	SilenceTimeout time.Duration
	// DialTimeout bounds opening a link including the handshake; default 1.5 s.
	DialTimeout time.Duration
	// SuspicionTimeout is the time in which a suspect must refute the suspicion
	// before it is declared dead; default 3 s.
	SuspicionTimeout time.Duration
	// UnreachableTimeout is the time without a change of a data centre's counter
	// after which its members are omitted from the view; default 15 s.
	UnreachableTimeout time.Duration
	// DeadRetention is how long records of dead instances are kept; default
	// 15 min.
	DeadRetention time.Duration
	// ListLag is the time by which the platform's list may be out of date;
	// default 15 s.
	ListLag time.Duration
	// ListInterval is the minimum time between two reads of the platform's list;
	// default 2 s. In a large fleet the time between reads grows with the number
	// of members.
	ListInterval time.Duration
	// ListTrustPeriod is the time after its start during which an instance adds
	// instances on the platform's list as members before it has a link to them,
	// so that a fleet whose instances all restart agrees on its members
	// immediately; default 0.
	ListTrustPeriod time.Duration
	// ProbeInterval is the base interval of attempts to reach instances that are
	// listed or known but not alive; default 3 s.
	ProbeInterval time.Duration
	// DirectIdleTimeout is the time without calls after which a direct link is
	// closed; default 60 s.
	DirectIdleTimeout time.Duration
}

// Intervals and timeouts that are not configurable.
const (
	// tickInterval is the resolution of the control goroutine's timers.
	tickInterval = 200 * time.Millisecond
	// pauseThreshold is the gap between ticks above which the process is taken
	// to have been paused rather than busy.
	pauseThreshold = 2 * time.Second
	// counterInterval is the time between two increments of a data centre's
	// counter.
	counterInterval = 2 * time.Second
	// unwantedLinkTimeout is how long a link stays open after it is no longer
	// wanted.
	unwantedLinkTimeout = 10 * time.Second
	// syncInterval is the minimum time between two table exchanges on a link.
	syncInterval = 5 * time.Second
	// gossipInterval is the minimum time between two gossip messages.
	gossipInterval = 100 * time.Millisecond
	// maxRedialDelay is the largest random delay before a member whose link
	// broke is redialled, so that its neighbours do not dial at the same time.
	maxRedialDelay = 500 * time.Millisecond
	// minDialBackoff and maxDialBackoff bound the exponential backoff in which
	// a member that cannot be dialled is not chosen as a neighbour.
	minDialBackoff = 5 * time.Second
	maxDialBackoff = 2 * time.Minute
	// listIntervalPerMember, multiplied by the number of members, is a lower bound
	// of the list interval, so that the total rate of list reads does not grow
	// with the fleet.
	listIntervalPerMember = 250 * time.Millisecond
	// leaveTimeout bounds the sending of the last messages at shutdown.
	leaveTimeout = 500 * time.Millisecond
	// writeTimeout bounds one write; a link on which it expires is closed.
	writeTimeout = 5 * time.Second
)

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&t.HeartbeatInterval, time.Second)
	set(&t.SilenceTimeout, 3*time.Second)
	set(&t.DialTimeout, 1500*time.Millisecond)
	set(&t.SuspicionTimeout, 3*time.Second)
	set(&t.UnreachableTimeout, 15*time.Second)
	set(&t.DeadRetention, 15*time.Minute)
	set(&t.ListLag, 15*time.Second)
	set(&t.ListInterval, 2*time.Second)
	set(&t.ProbeInterval, 3*time.Second)
	set(&t.DirectIdleTimeout, time.Minute)
	return t
}

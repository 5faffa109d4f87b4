package member

import "time"

// Timing holds the intervals and timeouts of the overlay. A zero field takes
// its default. All instances of a deployment should use the same values.
type Timing struct {
	// HeartbeatInterval is the time between heartbeats on a link; default 1 s.
	HeartbeatInterval time.Duration
	// SilenceTimeout closes a link on which nothing arrived; default 3 s.
	SilenceTimeout time.Duration
	// DialTimeout bounds opening a link with its handshake; default 1.5 s.
	DialTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has for its refutation;
	// default 3 s.
	SuspicionTimeout time.Duration
	// UnreachableAfter leaves out a data centre whose counter stood still for
	// this time; default 15 s.
	UnreachableAfter time.Duration
	// ForgetAfter is how long the dead are remembered; default 15 min.
	ForgetAfter time.Duration
	// ListLag is the time by which the platform's list may lag; default 15 s.
	ListLag time.Duration
	// ListInterval is the least time between two reads of the platform's
	// list; default 2 s. It grows with the number of members.
	ListInterval time.Duration
	// TrustList is how long after its start an instance takes those on the
	// platform's list for members, so that a whole fleet that starts anew agrees
	// on its members at once; none by default.
	TrustList time.Duration
	// ProbeInterval is the least time between two attempts to reach members
	// that are listed or remembered but not alive; default 3 s.
	ProbeInterval time.Duration
	// DirectIdle closes an unused direct link; default 60 s.
	DirectIdle time.Duration
}

// Intervals that follow from others or need no setting.
const (
	// tickInterval is the resolution of the control goroutine's timers.
	tickInterval = 200 * time.Millisecond
	// pauseThreshold is a gap between ticks that shows that the process was
	// paused rather than busy.
	pauseThreshold = 2 * time.Second
	// counterInterval is the time between two steps of a data centre's counter.
	counterInterval = 2 * time.Second
	// unwantedLinger is how long a link stays open that is no longer needed.
	unwantedLinger = 10 * time.Second
	// syncInterval is the least time between two table exchanges on a link.
	syncInterval = 5 * time.Second
	// gossipInterval is the least time between two gossip messages.
	gossipInterval = 100 * time.Millisecond
	// maxVerifyDelay spreads the attempts to reach a member whose link broke.
	maxVerifyDelay = 500 * time.Millisecond
	// minAvoid and maxAvoid bound how long a member that cannot be dialled is
	// passed over as a neighbour.
	minAvoid = 5 * time.Second
	maxAvoid = 2 * time.Minute
	// listIntervalPerMember keeps the fleet's rate of list reads constant.
	listIntervalPerMember = 50 * time.Millisecond
	// farewellTimeout bounds sending the last messages when stopping.
	farewellTimeout = 500 * time.Millisecond
	// writeTimeout closes a link on which a write does not end.
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
	set(&t.UnreachableAfter, 15*time.Second)
	set(&t.ForgetAfter, 15*time.Minute)
	set(&t.ListLag, 15*time.Second)
	set(&t.ListInterval, 2*time.Second)
	set(&t.ProbeInterval, 3*time.Second)
	set(&t.DirectIdle, time.Minute)
	return t
}

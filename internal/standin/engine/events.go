package engine

import (
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// maxEvents bounds the number of retained cache events.
const maxEvents = 4096

// loggedEvent is a cache event with its time.
type loggedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

// eventLog keeps the latest cache events. Readers see them after a lag; a random
// share is dropped.
type eventLog struct {
	lag time.Duration
	// lossRate is the share of events that is dropped.
	lossRate float64
	random   *rand.Rand
	sequence uint64
	events   []loggedEvent
}

func newEventLog(s Settings) eventLog {
	return eventLog{lag: s.EventLag, lossRate: s.EventLossRate, random: rand.New(rand.NewPCG(s.Seed, 0))}
}

func (l *eventLog) add(now time.Time, added, removed []string) {
	l.sequence++
	if l.random.Float64() < l.lossRate {
		return
	}
	event := upstream.CacheEvent{Sequence: l.sequence, Added: added, Removed: removed}
	l.events = append(l.events, loggedEvent{now, event})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// after returns the events with a higher sequence number that are older than the
// lag.
func (l *eventLog) after(now time.Time, sequence uint64) []upstream.CacheEvent {
	due := []upstream.CacheEvent{}
	for _, e := range l.events {
		if e.event.Sequence > sequence && !e.at.After(now.Add(-l.lag)) {
			due = append(due, e.event)
		}
	}
	return due
}

// cacheChanged logs a change of the prefix cache. The caller must hold mu.
func (e *Engine) cacheChanged(added, removed []string) {
	e.events.add(time.Now(), added, removed)
}

// Events returns the visible cache events after a sequence number.
func (e *Engine) Events(after uint64) upstream.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return upstream.CacheEvents{Boot: e.settings.Boot, Events: e.events.after(time.Now(), after)}
}

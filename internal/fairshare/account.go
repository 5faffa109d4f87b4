package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Window is the time constant with which older work counts less. It is several times the
	// duration of an answer, and shorter than the deadlines of callers.
	Window = 5 * time.Second
	// waitTime is how long a workspace counts as waiting after one of its requests found no room.
	waitTime = time.Second
	// maxEntries bounds the workspaces of an account. Those that have used the least are dropped
	// first, which at most lets them count as new.
	maxEntries = 2048
	// refreshTime is how long a computed fair share is used. It bounds the processor time for
	// decisions, and is short compared with the second within which shares are reclaimed.
	refreshTime = 50 * time.Millisecond
	// forgetShare is the dominant share below which a workspace is dropped.
	forgetShare = 1e-6
)

// Work is an amount of work, each resource as the fraction of what all engines offer in a second.
type Work struct {
	Time   float64
	Memory float64
}

// Add returns the sum of two amounts.
func (w Work) Add(o Work) Work { return Work{w.Time + o.Time, w.Memory + o.Memory} }

// Scale returns the amount times a factor.
func (w Work) Scale(f float64) Work { return Work{w.Time * f, w.Memory * f} }

// Dominant returns the larger of the two resources.
func (w Work) Dominant() float64 { return max(w.Time, w.Memory) }

// entry is the account of one workspace.
type entry struct {
	// work is the decayed sum of charged work as of at.
	work   Work
	at     time.Time
	weight float64
	// waits is until when the workspace counts as waiting for room.
	waits time.Time
}

// Account holds the work of the workspaces of one service. It is not safe for concurrent use.
type Account struct {
	entries map[string]*entry
	// fair is the fair share of a workspace of weight 1, and total the sum of the dominant
	// shares, as of fairAt.
	fair, total float64
	fairAt      time.Time
	stale       bool
}

// New returns an empty account.
func New() *Account { return &Account{entries: map[string]*entry{}, stale: true} }

// decay returns the factor by which work counts less after some time.
func decay(d time.Duration) float64 { return math.Exp(-float64(max(d, 0)) / float64(Window)) }

// advance decays the entry to now.
func (e *entry) advance(now time.Time) {
	if now.After(e.at) {
		e.work = e.work.Scale(decay(now.Sub(e.at)))
		e.at = now
	}
}

// share returns the dominant share over the window.
func (e *entry) share(now time.Time) float64 {
	return e.work.Dominant() * decay(now.Sub(e.at)) / Window.Seconds()
}

// entry returns the entry of a workspace, which it creates if needed.
func (a *Account) entry(workspace string, now time.Time) *entry {
	e := a.entries[workspace]
	if e == nil {
		if len(a.entries) >= maxEntries {
			a.prune(now)
		}
		e = &entry{at: now, weight: 1}
		a.entries[workspace] = e
	}
	return e
}

// prune drops entries without work, and if there are none the half that has used the least.
func (a *Account) prune(now time.Time) {
	type rated struct {
		name  string
		share float64
	}
	var list []rated
	for name, e := range a.entries {
		share := e.share(now)
		if share < forgetShare && !now.Before(e.waits) {
			delete(a.entries, name)
			continue
		}
		list = append(list, rated{name, share})
	}
	if len(list) < maxEntries {
		return
	}
	slices.SortFunc(list, func(a, b rated) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.name, b.name))
	})
	for _, r := range list[:len(list)/2] {
		delete(a.entries, r.name)
	}
}

// SetWeight sets the weight of a workspace's share relative to others; 1 by default. Weights
// that are not positive are ignored.
func (a *Account) SetWeight(workspace string, weight float64, now time.Time) {
	if weight > 0 && !math.IsInf(weight, 1) {
		a.entry(workspace, now).weight = weight
		a.stale = true
	}
}

// Charge adds work that a workspace was given at a time, now or earlier.
func (a *Account) Charge(workspace string, w Work, at, now time.Time) {
	e := a.entry(workspace, now)
	e.advance(now)
	e.work = e.work.Add(w.Scale(decay(now.Sub(at))))
}

// Refund takes back work that was charged for a time. An entry never becomes negative.
func (a *Account) Refund(workspace string, w Work, at, now time.Time) {
	e := a.entries[workspace]
	if e == nil {
		return
	}
	e.advance(now)
	e.work = e.work.Add(w.Scale(-decay(now.Sub(at))))
	e.work = Work{max(e.work.Time, 0), max(e.work.Memory, 0)}
}

// Wait records that a request of a workspace found no room.
func (a *Account) Wait(workspace string, now time.Time) {
	a.entry(workspace, now).waits = now.Add(waitTime)
}

// Total returns the sum of the dominant shares of all workspaces.
func (a *Account) Total(now time.Time) float64 {
	a.refresh(now)
	return a.total
}

// Share returns the dominant share of a workspace.
func (a *Account) Share(workspace string, now time.Time) float64 {
	if e := a.entries[workspace]; e != nil {
		return e.share(now)
	}
	return 0
}

// Level returns the dominant share of a workspace as a multiple of its fair share: 0 if it has
// used nothing, 1 at its share.
func (a *Account) Level(workspace string, now time.Time) float64 {
	a.refresh(now)
	e := a.entries[workspace]
	if e == nil || a.fair <= 0 {
		return 0
	}
	return e.share(now) / (e.weight * a.fair)
}

// refresh computes the fair share if the last one is too old.
func (a *Account) refresh(now time.Time) {
	if a.stale || now.Sub(a.fairAt) >= refreshTime || now.Before(a.fairAt) {
		a.fair, a.total = a.fill(now)
		a.fairAt, a.stale = now, false
	}
}

// fill divides the work done in the window by max-min fairness and returns the share of a
// workspace of weight 1, and the work. Workspaces that do not wait ask for what they use, the
// others for any amount.
func (a *Account) fill(now time.Time) (fair, total float64) {
	type bidder struct{ share, weight float64 }
	var content []bidder // by share relative to weight
	weights := 0.0
	for _, e := range a.entries {
		share := e.share(now)
		if share < forgetShare && !now.Before(e.waits) {
			continue
		}
		total += share
		weights += e.weight
		if !now.Before(e.waits) {
			content = append(content, bidder{share, e.weight})
		}
	}
	slices.SortFunc(content, func(a, b bidder) int { return cmp.Compare(a.share*b.weight, b.share*a.weight) })
	rest := total
	for _, b := range content {
		if b.share > rest*b.weight/weights || weights-b.weight <= weights*1e-9 {
			break
		}
		rest -= b.share
		weights -= b.weight
	}
	if weights <= 0 {
		return 0, total
	}
	return max(rest, 0) / weights, total
}

// State is the account of one workspace in a state dump.
type State struct {
	Workspace string `json:"workspace"`
	// Share is the dominant share of all engines, Level its multiple of the fair share.
	Share   float64 `json:"share"`
	Level   float64 `json:"level"`
	Weight  float64 `json:"weight"`
	Waiting bool    `json:"waiting"`
}

// States returns the accounts of the n workspaces with the largest shares.
func (a *Account) States(n int, now time.Time) []State {
	a.refresh(now)
	list := make([]State, 0, len(a.entries))
	for name, e := range a.entries {
		list = append(list, State{name, e.share(now), a.Level(name, now), e.weight, now.Before(e.waits)})
	}
	slices.SortFunc(list, func(a, b State) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(n, len(list))]
}

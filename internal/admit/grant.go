package admit

import "sync"

// Grant lets one attempt of a request run on one upstream. Done must be called
// once the attempt has ended; the other notifications are optional.
type Grant struct {
	scheduler *Scheduler
	state     *state
	upstream  Upstream
	work      float64
	priority  int
	parts     []Part
	done      sync.Once
}

// Upstream returns the upstream to send to.
func (g *Grant) Upstream() Upstream { return g.upstream }

// Priority returns the value of upstream.HeaderPriority; lower runs sooner.
func (g *Grant) Priority() int { return g.priority }

// Parts returns the reservations of a prompt larger than one engine, already
// made; empty for any other request.
func (g *Grant) Parts() []Part { return g.parts }

// Sent says that the first byte of the request is about to be written.
func (g *Grant) Sent() {}

// FirstToken says that the first token of the answer arrived.
func (g *Grant) FirstToken() {}

// Progress says that tokens more tokens of the answer arrived.
func (g *Grant) Progress(int) {}

// Done ends the grant. Later calls have no effect.
func (g *Grant) Done(Outcome) {
	g.done.Do(func() {
		g.scheduler.mu.Lock()
		defer g.scheduler.mu.Unlock()
		g.state.work -= g.work
	})
}

package admit

import (
	"container/heap"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/load"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/route"
)

// Lanes of a queue in the order in which they are served. A lane whose first
// request finds no upstream does not block the other lanes.
const (
	// laneAged holds requests that have waited for long, by deadline.
	laneAged = iota
	// laneSuspect holds requests that must run alone, by deadline.
	laneSuspect
	// laneNormal is the first of the lanes of normal requests; there is one
	// lane for each class and size, ordered by class and then by size.
	laneNormal
	laneCount = laneNormal + route.Sizes*classCount
)

// classCount is the number of scheduling classes.
const classCount = 3

// classRank returns 0 for the most urgent class.
func classRank(c catalogue.Class) int {
	switch c {
	case catalogue.ClassInteractive:
		return 0
	case catalogue.ClassBatch:
		return 2
	}
	return 1
}

// waiter is a request that waits for an upstream.
type waiter struct {
	request *Request
	demand  route.Demand
	holders [load.MaxHolders]route.Holder
	// work is the request's work in the queue: the prompt tokens that are
	// probably not cached.
	work float64
	// tag is the virtual finish time, by which the lane is ordered; the lanes
	// of aged and suspect requests use the deadline instead.
	tag  float64
	lane int
	// index is the position in the lane's heap; -1 if not queued.
	index int
	// ageAt is when the request is promoted to laneAged; expireAt is when it
	// is refused.
	ageAt    time.Time
	expireAt time.Time
	queuedAt time.Time
	// exclusive is the upstream that is kept free for the request, or nil.
	exclusive *state
	// quarantineLeft is the remaining quarantine of a request that turned out
	// to be poison while it waited; 0 for any other.
	quarantineLeft time.Duration
	// answer gets the decision; its buffer holds one.
	answer chan decision
}

// decision ends a wait; exactly one field is set.
type decision struct {
	grant   *Grant
	refusal *result.Error
}

// lane is a heap of waiters by tag. It implements heap.Interface.
type lane []*waiter

func (l lane) Len() int           { return len(l) }
func (l lane) Less(i, j int) bool { return l[i].tag < l[j].tag }

func (l lane) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push implements heap.Interface.
func (l *lane) Push(x any) {
	w := x.(*waiter)
	w.index = len(*l)
	*l = append(*l, w)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	old := *l
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	w.index = -1
	return w
}

// flow is the queued work of one workspace in a queue.
type flow struct {
	weight float64
	count  int
	work   float64
	// lastTag is the virtual finish time of the last request queued.
	lastTag float64
}

// queue holds the waiters of one pool. It applies weighted fair queueing between
// workspaces: each request gets a virtual finish time that grows with its work
// divided by the workspace's weight, and the lowest is served first.
type queue struct {
	lanes [laneCount]lane
	// flows holds the flow of each workspace.
	flows map[string]*flow
	// virtual is the virtual time: the highest virtual start time of the
	// requests granted so far.
	virtual float64
	count   int
	work    float64
}

// push adds w to its lane and sets its tag.
func (q *queue) push(w *waiter) {
	f := q.flow(w.request)
	f.lastTag = max(f.lastTag, q.virtual) + w.work/f.weight
	f.count++
	f.work += w.work
	q.count++
	q.work += w.work
	w.tag = f.lastTag
	if w.lane < laneNormal {
		w.tag = deadlineTag(w.request)
	}
	heap.Push(&q.lanes[w.lane], w)
}

// flow returns the flow of r's workspace with r's weight, and creates it if it
// does not exist.
func (q *queue) flow(r *Request) *flow {
	f := q.flows[r.Workspace]
	if f == nil {
		f = &flow{}
		q.flows[r.Workspace] = f
	}
	f.weight = r.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	return f
}

// remove removes w from the queue.
func (q *queue) remove(w *waiter) {
	heap.Remove(&q.lanes[w.lane], w.index)
	q.count--
	q.work -= w.work
	f := q.flows[w.request.Workspace]
	f.count--
	f.work -= w.work
	if f.count == 0 && f.lastTag <= q.virtual {
		delete(q.flows, w.request.Workspace)
	}
	if q.count == 0 {
		q.virtual = 0
		q.work = 0
		clear(q.flows)
	}
}

// advance advances the virtual time to the start of a request that is about to
// run.
func (q *queue) advance(w *waiter) {
	if w.lane >= laneNormal {
		q.virtual = max(q.virtual, w.tag-w.work/q.flow(w.request).weight)
	}
}

// promote moves w to laneAged.
func (q *queue) promote(w *waiter) {
	heap.Remove(&q.lanes[w.lane], w.index)
	w.lane = laneAged
	w.tag = deadlineTag(w.request)
	w.demand.Aged = true
	heap.Push(&q.lanes[laneAged], w)
}

// workAhead estimates the queued work that is served before a new request of the
// lane: that of the lanes before it, and in its own lane that of the requests
// with a lower or the same tag. Suspects wait for idle upstreams and delay no
// other request.
func (q *queue) workAhead(r *Request, laneIndex int, work float64) float64 {
	ahead := 0.0
	for i := range laneIndex {
		if i == laneSuspect {
			continue
		}
		for _, w := range q.lanes[i] {
			ahead += w.work
		}
	}
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	start := q.virtual
	if f := q.flows[r.Workspace]; f != nil {
		start = max(start, f.lastTag)
	}
	tag := start + work/weight
	for _, w := range q.lanes[laneIndex] {
		if w.tag <= tag {
			ahead += w.work
		}
	}
	return ahead
}

// heaviest returns the last waiter of the workspace with the most queued work
// relative to its weight, or nil if that is r's own workspace once r's work is
// added.
func (q *queue) heaviest(r *Request, work float64) *waiter {
	own := work
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	if f := q.flows[r.Workspace]; f != nil {
		own += f.work
	}
	name, most := "", own/weight
	for workspace, f := range q.flows {
		if part := f.work / f.weight; workspace != r.Workspace && part > most {
			name, most = workspace, part
		}
	}
	if name == "" {
		return nil
	}
	return q.last(name)
}

// last returns the normal waiter of a workspace that would be served last.
func (q *queue) last(workspace string) *waiter {
	var last *waiter
	for i := laneCount - 1; i >= laneNormal && last == nil; i-- {
		for _, w := range q.lanes[i] {
			if w.request.Workspace == workspace && (last == nil || w.tag > last.tag) {
				last = w
			}
		}
	}
	return last
}

func deadlineTag(r *Request) float64 { return float64(r.Deadline.UnixMilli()) }

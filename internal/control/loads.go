package control

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// fullQueueTokens is the number of waiting prompt tokens at which an engine
// counts as fully utilised.
const fullQueueTokens = 50_000

// EngineLoad is an engine's latest load report.
type EngineLoad struct {
	ID         string
	DataCentre string
	Models     []string
	Report     upstream.LoadReport
}

// Utilisation returns the engine's utilisation from 0 to 1: the larger of those of
// its memory and of its queue.
func (l EngineLoad) Utilisation() float64 {
	memory := float64(l.Report.UsedTokens) / float64(max(1, l.Report.MemoryTokens))
	queue := float64(l.Report.QueuedPromptTokens) / fullQueueTokens
	return min(1, max(memory, queue))
}

// Loads returns the latest load report of each engine, or nil if the control
// goroutine does not answer.
func (c *Controller) Loads() []EngineLoad {
	reply := make(chan []EngineLoad, 1)
	select {
	case c.loadRequests <- reply:
		return <-reply
	case <-time.After(dumpTimeout):
		return nil
	}
}

// engineLoads collects the load reports. Only the control goroutine calls it.
func (c *Controller) engineLoads() []EngineLoad {
	var list []EngineLoad
	for _, p := range c.polls {
		if p.up.Service == "" {
			list = append(list, EngineLoad{ID: p.up.ID, DataCentre: p.up.DataCentre, Models: p.up.Models, Report: p.load})
		}
	}
	return list
}

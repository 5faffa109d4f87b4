package wire

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxSources bounds the label values of the counters.
const maxSources = 512

// otherSources is the label of the sources beyond maxSources.
const otherSources = "other"

var sources = struct {
	sync.Mutex
	known map[string]bool
}{known: map[string]bool{}}

// label returns the label value of a source.
func label(source string) string {
	sources.Lock()
	defer sources.Unlock()
	if !sources.known[source] {
		if len(sources.known) >= maxSources {
			return otherSources
		}
		sources.known[source] = true
	}
	return source
}

func countUnknownFields(source string, n int) {
	if n > 0 {
		metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_unknown_fields_total{peer=%q}`, label(source))).Add(n)
	}
}

// CountUnknownKind counts a message, event or value of a kind that this build doesn't know.
// what names the enumeration, in plain letters.
func CountUnknownKind(source, what string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_unknown_kinds_total{what=%q,peer=%q}`, what, label(source))).Inc()
}

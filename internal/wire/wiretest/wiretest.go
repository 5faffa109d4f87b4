// Package wiretest reads the counters of package wire in tests.
package wiretest

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// UnknownKinds returns the number of unknown values of an enumeration from a source.
func UnknownKinds(source, what string) uint64 {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_unknown_kinds_total{what=%q,peer=%q}`, what, source)).Get()
}

// UnknownFields returns the number of unknown fields from a source.
func UnknownFields(source string) uint64 {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_unknown_fields_total{peer=%q}`, source)).Get()
}

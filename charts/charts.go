// Package charts embeds the state charts that the daemon runs.
package charts

import "embed"

// FS holds one file per chart, named after the chart with the suffix ".yaml".
//
//go:embed *.yaml
var FS embed.FS

// Package charts embeds the state charts that the daemon interprets.
package charts

import "embed"

// FS holds one YAML file per chart, named NAME.yaml.
//
//go:embed *.yaml
var FS embed.FS

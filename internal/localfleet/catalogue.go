package localfleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// applyCatalogue applies the initial catalogue entries with banyanctl.
func (f *Fleet) applyCatalogue(ctx context.Context) error {
	file := filepath.Join(f.Layout.WorkDir, "catalogue.yaml")
	if err := os.WriteFile(file, []byte(f.catalogue()), 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err := f.Ctl(ctx, 0, "apply", "-f", file)
	return err
}

// catalogue returns the initial catalogue entries as YAML documents.
func (f *Fleet) catalogue() string {
	l := &f.Layout
	docs := []string{
		fmt.Sprintf("kind: operator\nname: admin\nowner: local\noperator: {token_sha256: %s, owners: [\"*\"]}\n", sha256Hex(OperatorToken)),
		f.workspace("alpha", AlphaKey),
		f.workspace("beta", BetaKey),
		fmt.Sprintf("kind: policy\nname: default\nowner: local\npolicy: {short_weight: %g, short_tokens: 4000, algorithm: %s}\n", l.ShortWeight, l.Algorithm),
	}
	if l.Engines > 0 {
		docs = append(docs, fmt.Sprintf("kind: model\nname: %s\nowner: local\nclass: interactive\nlimits: {timeout: 300s}\nmodel: {version: v1}\n", l.Model))
	}
	if l.Services > 0 {
		docs = append(docs, fmt.Sprintf(`kind: service
name: %s
owner: local
limits: {timeout: 20s}
service:
  routes:
    - {method: GET, prefix: /, idempotent: true}
    - {method: "*", prefix: /, idempotent: false}
`, l.Service))
	}
	for _, up := range f.Upstreams() {
		docs = append(docs, f.upstreamEntry(up))
	}
	return strings.Join(docs, "---\n")
}

func (f *Fleet) workspace(name, key string) string {
	return fmt.Sprintf("kind: workspace\nname: %s\nowner: local\nworkspace: {key_sha256: [%s], models: [\"*\"], services: [\"*\"]}\n", name, sha256Hex(key))
}

func (f *Fleet) upstreamEntry(up *Upstream) string {
	spec := fmt.Sprintf("url: \"http://%s\", data_centre: %s", up.dialAddress(), up.DataCentre)
	if up.service != "" {
		spec += ", service: " + up.service
	} else {
		spec += fmt.Sprintf(", models: [%s], memory_tokens: %d", f.Layout.Model, f.Layout.MemoryTokens)
	}
	return fmt.Sprintf("kind: upstream\nname: %s\nowner: local\nupstream: {%s}\n", up.Name, spec)
}

// Revision returns the active catalogue revision of an instance.
func (f *Fleet) Revision(ctx context.Context, instance int) (uint64, error) {
	var dump struct {
		Control struct {
			Revision uint64 `json:"revision"`
		} `json:"control"`
	}
	err := f.Dump(ctx, instance, &dump)
	return dump.Control.Revision, err
}

// waitCatalogue waits until the same catalogue revision is active on all instances.
func (f *Fleet) waitCatalogue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		first, err := f.Revision(ctx, 0)
		same := err == nil && first > 0
		for i := 1; same && i < len(f.Instances); i++ {
			rev, err := f.Revision(ctx, i)
			same = err == nil && rev == first
		}
		if same {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "waiting for the same catalogue revision on all instances")
		case <-time.After(probeInterval):
		}
	}
}

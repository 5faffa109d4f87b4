// Package build names the build of the running program.
package build

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// idDigits is the number of hexadecimal digits of a revision or hash in an ID.
	idDigits = 12
	// unknown is the ID if neither a revision nor the executable can be read.
	unknown = "unknown"
	// developmentVersion is the version of a module that was built in its own checkout.
	developmentVersion = "(devel)"
)

// ID names the build: by the Git revision if the go command recorded one without changes,
// else by the module's version, else by a hash of the executable. The hash tells builds apart
// without a revision, but differs between the programs of one build.
var ID = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		info = &debug.BuildInfo{}
	}
	id, err := idOf(info, executableHash)
	if err != nil {
		fmt.Fprintln(os.Stderr, "reading the executable for the name of the build failed:", err)
		return unknown
	}
	return id
})

// idOf returns the ID of a build; hash returns the hash of its executable.
func idOf(info *debug.BuildInfo, hash func() (string, error)) (string, error) {
	var revision string
	modified := false
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value[:min(idDigits, len(s.Value))]
		case "vcs.modified":
			modified = s.Value == "true"
		}
	}
	switch {
	case revision != "" && !modified:
		return revision, nil
	case revision == "" && info.Main.Version != "" && info.Main.Version != developmentVersion:
		return info.Main.Version, nil
	}
	sum, err := hash()
	switch {
	case revision == "":
		return "exe-" + sum, err
	case err != nil:
		return revision + "+changes", nil
	}
	return revision + "+exe-" + sum, nil
}

// executableHash returns a hash of the content of the running executable.
func executableHash() (sum string, err error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil))[:idDigits], nil
}

// RegisterMetric registers the metric that names the build. It may be called repeatedly.
func RegisterMetric() {
	metrics.GetOrCreateGauge(fmt.Sprintf(`banyanroute_build_info{build=%q}`, ID()), func() float64 { return 1 })
}

// Command banyanrouted is the daemon of banyanroute: each process is one instance,
// which accepts callers' requests and sends them to upstreams. It runs either by
// itself, with settings from a file (--config), or on the users' platform, with the
// settings that the platform provides (--platform).
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/daemon"
	"github.com/banyanroute/banyanroute/internal/hosted"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/settings"
	_ "github.com/banyanroute/banyanroute/internal/startup" // ignores SIGHUP until reloads are handled
	"github.com/banyanroute/banyanroute/platform"
)

// options are the command-line flags.
type options struct {
	Config      string `long:"config" value-name:"FILE" description:"YAML settings; docs/operators/settings.md lists the fields"`
	Platform    bool   `long:"platform" description:"run on the users' platform with the settings that it provides, instead of --config"`
	CheckConfig bool   `long:"check-config" description:"check the settings and exit without starting"`
	Version     bool   `long:"version" description:"print the build and the version of the protocol between instances, and exit"`
}

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

func main() { os.Exit(mainCode()) }

// mainCode runs the program and returns the exit code.
func mainCode() int {
	// Without this, a write to a standard output that nobody reads any more ends the process.
	signal.Ignore(syscall.SIGPIPE)
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitBadUsage
	}
	if opts.Version {
		fmt.Printf("banyanrouted %s, protocol version %d\n", build.ID(), member.ProtocolVersion)
		return exitOK
	}
	if opts.Platform {
		return runHosted(opts.CheckConfig)
	}
	if opts.Config == "" {
		fmt.Fprintln(os.Stderr, "banyanrouted: one of --config and --platform is required")
		return exitBadUsage
	}
	s, err := settings.Load(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadUsage
	}
	if opts.CheckConfig {
		fmt.Printf("%s: settings are valid\n", opts.Config)
		return exitOK
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "banyanrouted:", err)
		return exitFailed
	}
	return exitOK
}

// hostedHeapShare is the share of the process's memory that the Go heap may use;
// the rest is for stacks and kernel buffers.
const hostedHeapShare = 0.6

// runHosted runs an instance on the users' platform until it stops, and returns the
// exit code.
func runHosted(checkOnly bool) int {
	opts, err := platform.Options()
	if err != nil {
		fmt.Fprintln(os.Stderr, "banyanrouted:", err)
		return exitBadUsage
	}
	if checkOnly {
		fmt.Println("the platform's settings are valid")
		return exitOK
	}
	out, err := logging.SetupStructured(os.Stdout, "info")
	if err != nil {
		fmt.Fprintln(os.Stderr, "banyanrouted:", err)
		return exitFailed
	}
	defer out.Close()
	debug.SetMemoryLimit(int64(hostedHeapShare * float64(opts.Settings.MemoryBytes)))
	if err := hosted.New(opts).Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "banyanrouted:", err)
		return exitFailed
	}
	return exitOK
}

// run runs an instance with settings from a file until it stops.
func run(s settings.Settings) error {
	signal.Reset(syscall.SIGHUP) // nothing is reloaded
	out := logging.NewBoundedWriter(os.Stderr)
	defer out.Close()
	if err := logging.Setup(out, s.Log.Level); err != nil {
		return err
	}
	debug.SetMemoryLimit(s.Limits.MemoryBytes)
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	return d.Run(context.Background())
}

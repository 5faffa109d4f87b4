// Command banyanrouted is the daemon that every instance runs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/banyanroute/banyanroute/internal/daemon"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/settings"
)

// options are the command line's.
type options struct {
	Config      string `long:"config" value-name:"FILE" required:"true" description:"YAML settings; docs/operators/settings.md lists the fields"`
	CheckConfig bool   `long:"check-config" description:"check the settings and exit without starting"`
}

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

func main() { os.Exit(mainCode()) }

func mainCode() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return exitOK
		}
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
	if err := start(s); err != nil {
		fmt.Fprintln(os.Stderr, "banyanrouted:", err)
		return exitFailed
	}
	return exitOK
}

// start runs the instance until it stops.
func start(s settings.Settings) error {
	if err := logging.Setup(os.Stderr, s.Log.Level); err != nil {
		return err
	}
	debug.SetMemoryLimit(s.Limits.MemoryBytes)
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	return d.Run(context.Background())
}

// Command banyanload generates load against running instances and reports the
// measurements. It connects to loopback addresses only.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/banyanroute/banyanroute/internal/logging"
)

var log = logging.For("load")

func main() {
	parser := flags.NewParser(&struct{}{}, flags.Default)
	add := func(name, short, long string, command any) {
		if _, err := parser.AddCommand(name, short, long, command); err != nil {
			panic(err) // The structs of the commands are constant.
		}
	}
	add("run", "run a scenario", "Runs a scenario and writes tables to the standard output.", &runCommand{})
	add("plot", "draw results", "Draws time to first token by prompt length, and slowdown by load.", &plotCommand{})
	add("compare", "show two results side by side", "Shows two results side by side.", &compareCommand{})
	add("overhead", "measure the time that an instance adds", "Sends requests alternately to an engine directly and through an instance.", &overheadCommand{})
	add("check", "check a scenario", "Checks a scenario without sending anything.", &checkCommand{})
	add("version", "print the version", "Prints the revision that the program was built from.", &versionCommand{})
	if _, err := parser.Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitFailed)
	}
}

// Command banyanstandin runs small stand-ins for the systems that banyanroute works
// with: the platform's services, a model engine, a plain service and a TCP relay.
// The fault switches of each are set over HTTP. It listens on loopback addresses
// only.
package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/standin/httpjson"
)

// options are shared by all commands.
type options struct {
	LogLevel string `long:"log-level" default:"info" description:"lowest level of log lines that are written: debug, info, warning or error"`
}

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	addCommands(parser)
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if err := logging.Setup(os.Stderr, opts.LogLevel); err != nil {
			return trace.Wrap(err)
		}
		return command.Execute(args)
	}
	if _, err := parser.Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

// addCommands declares all commands.
func addCommands(parser *flags.Parser) {
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, short, command); err != nil {
			panic(err) // The structs of the commands are constant.
		}
	}
	add("platform", "table, object store, live list and weight store", &platformCommand{})
	add("engine", "model engine", &engineCommand{})
	add("service", "plain service", &serviceCommand{})
	add("relay", "TCP relay that can close connections or stop passing their data", &relayCommand{})
}

// serve adds an HTTP server to the group.
func serve(g *run.Group, part, address string, handler http.Handler) error {
	listener, err := httpjson.Listen(address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := httpjson.Server(handler)
	logging.For(part).Infof("listening on %s", listener.Addr())
	g.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	}, func(error) { _ = server.Close() })
	return nil
}

// runGroup runs the group until an actor ends or SIGINT or SIGTERM arrives.
func runGroup(g *run.Group) error {
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	if err := g.Run(); !errors.Is(err, run.ErrSignal) {
		return trace.Wrap(err)
	}
	return nil
}

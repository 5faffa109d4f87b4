// Command banyanctl is the operators' client: it reads and edits the catalogue,
// shows the state of instances, and shuts them down gracefully.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// globalOptions are the flags of all commands.
type globalOptions struct {
	Address    string        `long:"address" env:"BANYANCTL_ADDRESS" default:"http://127.0.0.1:8002" description:"Base URL of the operators' listener of any instance; several, separated by commas, are tried in order"`
	Token      string        `long:"token" env:"BANYANCTL_TOKEN" description:"Operator's token"`
	CACert     string        `long:"ca-cert" env:"BANYANCTL_CA_CERT" description:"PEM file with the authorities that sign the instances' certificates"`
	Timeout    time.Duration `long:"timeout" default:"15s" description:"Timeout of one call"`
	RetryPause time.Duration `long:"retry-pause" default:"200ms" description:"Pause before the first retry of an edit whose outcome is unknown; it doubles with each retry"`
	Output     string        `short:"o" long:"output" default:"table" choice:"table" choice:"json" choice:"yaml" description:"Output format"`
	Version    func() error  `long:"version" description:"Print the build and exit"`
}

// app holds what the commands share.
type app struct {
	globalOptions
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
}

// client returns a client of the instances given by --address.
func (a *app) client() (*client, error) { return newClient(a.globalOptions) }

const longDescription = `banyanctl edits the catalogue of a banyanroute deployment and shows its state.

Examples:
  banyanctl list workspace
  banyanctl get model/tutor-llm -o yaml
  banyanctl apply -f entries.yaml --dry-run
  banyanctl edit workspace/alpha --set limits.concurrent=20
  banyanctl undo 1284
  banyanctl status -o json

Exit codes: 0 done; 1 wrong usage or another failure; 2 invalid edit; 3 conflict
with another edit; 4 not allowed; 5 not found; 6 outcome unknown, retry with
the same --id; 7 unavailable, retry later; 8 diff found differences;
9 accepted, but not yet applied on all instances when --wait ended.`

// run executes one command and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{ctx: ctx, out: out, errOut: errOut}
	a.Version = func() error { return &flags.Error{Type: flags.ErrHelp, Message: versionText()} }
	parser := newParser(a)
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(out, flagErr.Message)
		return exitOK
	}
	if err == nil {
		return exitOK
	}
	printError(errOut, err)
	return exitCode(err)
}

// newParser declares all commands.
func newParser(a *app) *flags.Parser {
	parser := flags.NewNamedParser("banyanctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", &a.globalOptions); err != nil {
		panic(err)
	}
	commands := []struct {
		name, short, long string
		command           flags.Commander
	}{
		{"get", "Show one entry", "Shows one entry.\n\nExample: banyanctl get workspace/alpha -o yaml", &getCommand{app: a}},
		{"list", "List entries", "Lists the entries, of one kind if it is given.\n\nExample: banyanctl list upstream --owner trinacria", &listCommand{app: a}},
		{"apply", "Create or replace entries from files", "Creates or replaces the entries of files, all in one atomic edit.\n\nExample: banyanctl apply -f entries.yaml --dry-run", &applyCommand{editFlags: editFlags{app: a}}},
		{"edit", "Change one entry", "Changes fields of one entry, or opens it in $EDITOR.\n\nExample: banyanctl edit workspace/alpha --set limits.concurrent=20 --set class=batch", &editCommand{editFlags: editFlags{app: a}}},
		{"delete", "Delete entries", "Deletes entries, all in one atomic edit.\n\nExample: banyanctl delete upstream/e7 upstream/e8", &deleteCommand{editFlags: editFlags{app: a}}},
		{"undo", "Revert one accepted edit", "Makes a new edit that reverts an earlier one. It is refused if one of its entries has changed since.\n\nExample: banyanctl undo 1284", &undoCommand{editFlags: editFlags{app: a}}},
		{"history", "Show accepted edits", "Shows accepted edits, or one by its edit ID.\n\nExample: banyanctl history --limit 20", &historyCommand{app: a}},
		{"diff", "Show differences", "Shows what changed between two revisions, or how files differ from the catalogue. Exit code 8 means that there are differences.\n\nExamples: banyanctl diff 1200 1284; banyanctl diff -f entries.yaml", &diffCommand{app: a}},
		{"dump", "Show the state of an instance", "Shows the state of the addressed instance, or of one part of it, as JSON.\n\nExample: banyanctl dump catalogue", &dumpCommand{app: a}},
		{"drain", "Shut down an instance gracefully", "Starts a graceful shutdown of the addressed instance.\n\nExample: banyanctl drain --address http://127.0.0.1:8002", &drainCommand{app: a}},
		{"explain", "Explain one request from logs", "Collects the lines about one request from the logs of several instances, with those about its upstreams and the paths of its instance around that time, in order.\n\nExample: banyanctl explain 9c41d07be2a35f68 -f front-1.log -f front-2.log", &explainCommand{app: a}},
		{"status", "Show the fleet", "Shows all instances with their phase, catalogue revision and build.", &statusCommand{app: a}},
		{"builds", "Show the builds that instances on the platform see", "Shows the builds of the instances that --address names and of those that they have had links to. It asks all addresses and needs no token.\n\nExample: banyanctl builds --address http://10.0.0.1:8002,http://10.0.0.2:8002", &buildsCommand{app: a}},
		{"where", "Explain where a request would go now", "Explains where a request would go now, and why, as the instance on the platform that --address names and the home of the service see it. Nothing is sent or recorded. It needs no token.\n\nExample: banyanctl where --address http://10.0.0.1:8002 --host api.example --path /v1/generate --prompt 45000 --output 800", &whereCommand{app: a}},
		{"completion", "Print a shell completion script", "Prints a completion script.\n\nExample: banyanctl completion bash > /etc/bash_completion.d/banyanctl", &completionCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			panic(err)
		}
	}
	return parser
}

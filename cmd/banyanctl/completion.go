package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/banyanroute/banyanroute/internal/catalogue"
)

// completionTimeout bounds the call for the entries that a completion lists.
const completionTimeout = time.Second

// kindName is an argument that completes to the kinds of entries.
type kindName string

// Complete implements flags.Completer.
func (kindName) Complete(match string) []flags.Completion {
	var found []flags.Completion
	for _, kind := range catalogue.Kinds() {
		if strings.HasPrefix(string(kind), match) {
			found = append(found, flags.Completion{Item: string(kind)})
		}
	}
	return found
}

// entryName is an argument that completes to the entries of the catalogue. The
// address and token are read from the environment; without them, only the kinds
// are completed.
type entryName string

// Complete implements flags.Completer.
func (entryName) Complete(match string) []flags.Completion {
	kind, _, hasSlash := strings.Cut(match, "/")
	if !hasSlash {
		found := kindName("").Complete(match)
		for i := range found {
			found[i].Item += "/"
		}
		return found
	}
	cl, err := newClient(globalOptions{Address: os.Getenv("BANYANCTL_ADDRESS"), Token: os.Getenv("BANYANCTL_TOKEN"), Timeout: completionTimeout})
	if err != nil {
		return nil
	}
	answer, err := cl.entries(context.Background(), kind, "")
	if err != nil {
		return nil
	}
	var found []flags.Completion
	for _, e := range answer.Entries {
		if name := e.Key().String(); strings.HasPrefix(name, match) {
			found = append(found, flags.Completion{Item: name})
		}
	}
	return found
}

const bashCompletion = `_banyanctl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o nospace -F _banyanctl banyanctl
`

const zshCompletion = `#compdef banyanctl
_banyanctl() {
    local -a found
    found=("${(@f)$(GO_FLAGS_COMPLETION=1 ${words[1]} "${(@)words[2,$CURRENT]}")}")
    compadd -S '' -a found
}
compdef _banyanctl banyanctl
`

const fishCompletion = `function __banyanctl
    set -l words (commandline -opc) (commandline -ct)
    GO_FLAGS_COMPLETION=1 $words[1] $words[2..-1]
end
complete -c banyanctl -f -a '(__banyanctl)'
`

type completionCommand struct {
	app  *app
	Args struct {
		Shell string `positional-arg-name:"bash|zsh|fish" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion, "fish": fishCompletion}
	script, ok := scripts[c.Args.Shell]
	if !ok {
		return fmt.Errorf("unknown shell %q; allowed are bash, zsh, fish", c.Args.Shell)
	}
	_, err := fmt.Fprint(c.app.out, script)
	return err
}

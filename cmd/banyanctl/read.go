package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/catalogue"
)

// parseKey parses "KIND/NAME".
func parseKey(text string) (catalogue.Key, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || kind == "" || name == "" {
		return catalogue.Key{}, fmt.Errorf("%q is not KIND/NAME, for example workspace/alpha", text)
	}
	return catalogue.Key{Kind: catalogue.Kind(kind), Name: name}, nil
}

// entryArg is the argument of commands about one entry.
type entryArg struct {
	Entry entryName `positional-arg-name:"KIND/NAME" required:"yes"`
}

// fetch returns a client and the current state of an entry.
func (a *app) fetch(name entryName) (*client, admin.EntryAnswer, error) {
	key, err := parseKey(string(name))
	if err != nil {
		return nil, admin.EntryAnswer{}, err
	}
	cl, err := a.client()
	if err != nil {
		return nil, admin.EntryAnswer{}, err
	}
	answer, err := cl.entry(a.ctx, key)
	return cl, answer, err
}

type getCommand struct {
	app  *app
	Args entryArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	_, answer, err := c.app.fetch(c.Args.Entry)
	if err != nil {
		return err
	}
	if c.app.Output == outputTable {
		return c.app.printTable([]*catalogue.Entry{answer.Entry})
	}
	return c.app.print(answer.Entry)
}

type listCommand struct {
	app   *app
	Owner string `long:"owner" description:"Only entries of this owner"`
	Args  struct {
		Kind kindName `positional-arg-name:"KIND"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	answer, err := cl.entries(c.app.ctx, string(c.Args.Kind), c.Owner)
	if err != nil {
		return err
	}
	if c.app.Output == outputTable {
		return c.app.printTable(answer.Entries)
	}
	return c.app.print(answer.Entries)
}

type historyCommand struct {
	app   *app
	Limit int    `long:"limit" default:"20" description:"Number of edits"`
	ID    string `long:"id" description:"Only the edit with this ID"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	changes, err := c.read(cl)
	if err != nil {
		return err
	}
	if c.app.Output != outputTable {
		return c.app.print(changes)
	}
	printChanges(c.app.out, changes)
	return nil
}

func (c *historyCommand) read(cl *client) ([]catalogue.Change, error) {
	if c.ID == "" {
		return cl.changes(c.app.ctx, nil, c.Limit)
	}
	change, err := cl.changeByID(c.app.ctx, c.ID)
	return []catalogue.Change{change}, err
}

type dumpCommand struct {
	app  *app
	Args struct {
		Part string `positional-arg-name:"PART"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	path := admin.PathDump
	if c.Args.Part != "" {
		path += "/" + url.PathEscape(c.Args.Part)
	}
	var state json.RawMessage
	if err := cl.get(c.app.ctx, path, &state); err != nil {
		return err
	}
	return c.app.printJSON(state)
}

type drainCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	if len(cl.bases) > 1 {
		return fmt.Errorf("drain stops one instance; give a single --address")
	}
	var answer admin.DrainAnswer
	if err := cl.call(c.app.ctx, http.MethodPost, admin.PathDrain, nil, &answer); err != nil {
		return err
	}
	fmt.Fprintln(c.app.out, "graceful shutdown started")
	return nil
}

type statusCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	var status admin.Status
	if err := cl.get(c.app.ctx, admin.PathStatus, &status); err != nil {
		return err
	}
	if c.app.Output != outputTable {
		return c.app.print(status)
	}
	return c.app.printStatus(status)
}

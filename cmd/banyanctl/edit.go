package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/internal/catalogue"
)

// editFlags are the flags of the commands that edit the catalogue.
type editFlags struct {
	app     *app
	DryRun  bool          `long:"dry-run" description:"Check the edit and change nothing"`
	Message string        `short:"m" long:"message" description:"Note for the history"`
	ID      string        `long:"id" description:"Edit ID; give the same one to retry an edit whose outcome is unknown"`
	Base    *uint64       `long:"base" description:"Revision that the edit is based on; it is refused if one of its entries has changed since"`
	Wait    time.Duration `long:"wait" description:"Wait up to this time until all reachable instances have applied the edit"`
}

// send completes an edit, sends it and prints the outcome. The edit is based on the
// revision of --base, or without it on the revision that the command has read.
func (f *editFlags) send(cl *client, readRevision catalogue.Revision, edit catalogue.Edit) error {
	edit.ID = f.ID
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	edit.Base = readRevision
	if f.Base != nil {
		edit.Base = catalogue.Revision(*f.Base)
	}
	if f.Message != "" {
		edit.Message = f.Message
	}
	edit.DryRun = f.DryRun
	applied, err := cl.send(f.app.ctx, edit)
	if err != nil {
		return err
	}
	if f.app.Output == outputTable {
		f.printApplied(applied)
	} else if err := f.app.print(applied); err != nil {
		return err
	}
	if f.Wait == 0 || applied.DryRun {
		return nil
	}
	return cl.waitApplied(f.app.ctx, applied.Revision, f.Wait)
}

func (f *editFlags) printApplied(applied catalogue.Applied) {
	for _, u := range applied.Updates {
		fmt.Fprintf(f.app.out, "%s %s\n", verb(u), u.Key)
	}
	switch {
	case len(applied.Updates) == 0:
		fmt.Fprintf(f.app.out, "nothing to change at revision %d\n", applied.Revision)
	case applied.DryRun:
		fmt.Fprintf(f.app.out, "dry run: would be revision %d; nothing was changed\n", applied.Revision)
	case applied.Repeated:
		fmt.Fprintf(f.app.out, "revision %d (accepted earlier)\n", applied.Revision)
	default:
		fmt.Fprintf(f.app.out, "revision %d\n", applied.Revision)
	}
}

type applyCommand struct {
	editFlags
	Files []string `short:"f" long:"file" required:"yes" description:"YAML or JSON file of entries; - is standard input; may be repeated"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	sources, err := readSources(c.Files)
	if err != nil {
		return err
	}
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	current, err := cl.entries(c.app.ctx, string(catalogue.KindPolicy), "")
	if err != nil {
		return err
	}
	var edit catalogue.Edit
	for _, src := range sources {
		edit.Puts = append(edit.Puts, src.Entries...)
	}
	return addLocations(sources, c.send(cl, current.Revision, edit))
}

// readSources decodes and validates files of entries.
func readSources(files []string) ([]*catalogue.Source, error) {
	var sources []*catalogue.Source
	var errs catalogue.FieldErrors
	for _, file := range files {
		data, err := readFile(file)
		if err != nil {
			return nil, err
		}
		src, err := catalogue.Decode(file, data)
		var fields catalogue.FieldErrors
		if errors.As(err, &fields) {
			errs = append(errs, fields...)
			continue
		}
		sources = append(sources, src)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return sources, nil
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// addLocations adds file names and line numbers to the field errors of an
// instance's error answer.
func addLocations(sources []*catalogue.Source, err error) error {
	var server *serverError
	if errors.As(err, &server) {
		for _, src := range sources {
			server.body.Fields = src.Locate(server.body.Fields)
		}
	}
	return err
}

type editCommand struct {
	editFlags
	Set  []string `long:"set" value-name:"FIELD=VALUE" description:"Set one field, for example limits.concurrent=20; the value is YAML; may be repeated"`
	Args entryArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	cl, current, err := c.app.fetch(c.Args.Entry)
	if err != nil {
		return err
	}
	text, err := entryYAML(current.Entry)
	if err != nil {
		return err
	}
	if len(c.Set) > 0 {
		text, err = setFields(text, c.Set)
	} else {
		text, err = openEditor(text)
	}
	if err != nil {
		return err
	}
	src, err := catalogue.Decode(current.Entry.Key().String(), text)
	if err != nil {
		return err
	}
	return c.send(cl, current.Revision, catalogue.Edit{Puts: src.Entries})
}

// entryYAML returns an entry as YAML text.
func entryYAML(e *catalogue.Entry) ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	return yamlFromJSON(data)
}

// openEditor lets the operator change a text in $EDITOR.
func openEditor(text []byte) ([]byte, error) {
	editor := os.Getenv("EDITOR")
	if editor == "" {
		return nil, errors.New("set EDITOR, or use --set FIELD=VALUE")
	}
	file, err := os.CreateTemp("", "banyanctl-*.yaml")
	if err != nil {
		return nil, err
	}
	defer os.Remove(file.Name()) //nolint:errcheck // a leftover temporary file does no harm
	if _, err := file.Write(text); err != nil {
		return nil, err
	}
	if err := file.Close(); err != nil {
		return nil, err
	}
	cmd := exec.Command("sh", "-c", editor+` "$1"`, "sh", file.Name())
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	if err := cmd.Run(); err != nil {
		return nil, fmt.Errorf("running %s: %w", editor, err)
	}
	return os.ReadFile(file.Name())
}

type deleteCommand struct {
	editFlags
	Args struct {
		Entries []entryName `positional-arg-name:"KIND/NAME" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	var edit catalogue.Edit
	for _, name := range c.Args.Entries {
		key, err := parseKey(string(name))
		if err != nil {
			return err
		}
		edit.Deletes = append(edit.Deletes, key)
	}
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	current, err := cl.entry(c.app.ctx, edit.Deletes[0])
	if err != nil {
		return err
	}
	return c.send(cl, current.Revision, edit)
}

type undoCommand struct {
	editFlags
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *undoCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	change, err := cl.change(c.app.ctx, catalogue.Revision(c.Args.Revision))
	if err != nil {
		return err
	}
	edit, err := change.Inverse()
	if err != nil {
		return err
	}
	return c.send(cl, change.Revision, edit)
}

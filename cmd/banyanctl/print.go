package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/catalogue"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// tablePadding is the space between columns in characters.
const tablePadding = 2

// yamlIndent is the indentation of YAML in characters, as in the operators'
// documentation.
const yamlIndent = 2

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
}

// print writes a value as YAML if that is the output format, otherwise as JSON.
func (a *app) print(value any) error {
	if a.Output == outputYAML {
		return a.printYAML(value)
	}
	return a.printJSON(value)
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printYAML writes a value with the field names and order of its JSON form.
func (a *app) printYAML(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	text, err := yamlFromJSON(data)
	if err != nil {
		return err
	}
	_, err = a.out.Write(text)
	return err
}

// yamlFromJSON converts JSON to block-style YAML.
func yamlFromJSON(data []byte) ([]byte, error) {
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return nil, err
	}
	setBlockStyle(&node)
	return encodeYAML(&node)
}

// encodeYAML encodes a node with an indentation of yamlIndent.
func encodeYAML(node *yaml.Node) ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(node); err != nil {
		return nil, err
	}
	return out.Bytes(), encoder.Close()
}

// setBlockStyle removes the flow style and the quotes that come from JSON; the
// encoder adds quotes again to strings that need them.
func setBlockStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		setBlockStyle(child)
	}
}

// printTable writes one line per entry.
func (a *app) printTable(entries []*catalogue.Entry) error {
	w := newTable(a.out)
	fmt.Fprintln(w, "KIND\tNAME\tOWNER\tCLASS\tDETAILS")
	for _, e := range entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Kind, e.Name, e.Owner, e.Class, details(e))
	}
	return w.Flush()
}

// details returns a summary of an entry's specification.
func details(e *catalogue.Entry) string {
	switch {
	case e.Operator != nil:
		return "owners " + strings.Join(e.Operator.Owners, ",")
	case e.Workspace != nil:
		return fmt.Sprintf("%d keys, models %s, services %s", len(e.Workspace.KeySHA256), orNone(e.Workspace.Models), orNone(e.Workspace.Services))
	case e.Model != nil:
		return "version " + e.Model.Version
	case e.Service != nil:
		return fmt.Sprintf("%d routes", len(e.Service.Routes))
	case e.Upstream != nil && e.Upstream.Service != "":
		return fmt.Sprintf("%s in %s for service %s", e.Upstream.URL, e.Upstream.DataCentre, e.Upstream.Service)
	case e.Upstream != nil:
		return fmt.Sprintf("%s in %s for models %s", e.Upstream.URL, e.Upstream.DataCentre, orNone(e.Upstream.Models))
	case e.Policy != nil:
		return fmt.Sprintf("short_weight %g", e.Policy.ShortWeight)
	}
	return ""
}

// orNone joins names with commas; an empty list is "none".
func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ",")
}

// printChanges writes one line per updated entry.
func printChanges(out io.Writer, changes []catalogue.Change) {
	w := newTable(out)
	fmt.Fprintln(w, "REVISION\tAT\tOPERATOR\tCHANGE\tMESSAGE")
	for _, c := range changes {
		for _, u := range c.Updates {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s %s\t%s\n", c.Revision, c.At.Format(time.RFC3339), c.Operator, verb(u), u.Key, c.Message)
		}
	}
	w.Flush() //nolint:errcheck // a failed write to the terminal cannot be reported
}

// verb returns what an update did to its entry.
func verb(u catalogue.Update) string {
	switch {
	case u.After == nil:
		return "deleted"
	case u.Before == nil:
		return "created"
	}
	return "changed"
}

func (a *app) printStatus(status admin.Status) error {
	w := newTable(a.out)
	fmt.Fprintln(w, "INSTANCE\tPHASE\tREVISION\tDIGEST\tREGION\tDATA CENTRE\tADDRESS\tSTARTED\tBUILD")
	for _, s := range status.Instances {
		started := "-"
		if !s.Started.IsZero() {
			started = s.Started.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", s.ID, s.Phase, s.Revision, s.Digest, s.Region, s.DataCentre, s.Address, started, cmp.Or(s.Build, "-"))
	}
	return w.Flush()
}

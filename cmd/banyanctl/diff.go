package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/banyanroute/banyanroute/internal/catalogue"
)

// diffPageSize is the number of changes that one call reads.
const diffPageSize = 500

type diffCommand struct {
	app   *app
	Files []string `short:"f" long:"file" description:"Compare the entries of a file with the catalogue"`
	Args  struct {
		From *uint64 `positional-arg-name:"FROM"`
		To   *uint64 `positional-arg-name:"TO"`
	} `positional-args:"yes"`
}

// difference is one entry before and after a change; nil if it is absent.
type difference struct {
	Key    catalogue.Key    `json:"key"`
	Before *catalogue.Entry `json:"before,omitempty"`
	After  *catalogue.Entry `json:"after,omitempty"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	differences, err := c.find(cl)
	if err != nil {
		return err
	}
	if err := c.print(differences); err != nil {
		return err
	}
	if len(differences) > 0 {
		return errDifferent
	}
	return nil
}

func (c *diffCommand) find(cl *client) ([]difference, error) {
	switch {
	case len(c.Files) > 0:
		return c.findInFiles(cl)
	case c.Args.From == nil:
		return nil, errors.New("give FROM and TO revisions, or -f FILE")
	}
	return c.findInHistory(cl)
}

// findInFiles compares files with the catalogue.
func (c *diffCommand) findInFiles(cl *client) ([]difference, error) {
	sources, err := readSources(c.Files)
	if err != nil {
		return nil, err
	}
	current, err := cl.entries(c.app.ctx, "", "")
	if err != nil {
		return nil, err
	}
	byKey := map[catalogue.Key]*catalogue.Entry{}
	for _, e := range current.Entries {
		byKey[e.Key()] = e
	}
	var found []difference
	for _, src := range sources {
		for i := range src.Entries {
			e := &src.Entries[i]
			found = append(found, difference{Key: e.Key(), Before: byKey[e.Key()], After: e})
		}
	}
	return dropEqual(found)
}

// findInHistory merges the changes after FROM up to TO, per entry.
func (c *diffCommand) findInHistory(cl *client) ([]difference, error) {
	from := catalogue.Revision(*c.Args.From)
	var found []difference
	index := map[catalogue.Key]int{}
	for {
		changes, err := cl.changes(c.app.ctx, &from, diffPageSize)
		if err != nil {
			return nil, err
		}
		for _, change := range changes {
			if c.Args.To != nil && change.Revision > catalogue.Revision(*c.Args.To) {
				return dropEqual(found)
			}
			found, err = mergeChange(found, index, change)
			if err != nil {
				return nil, err
			}
			from = change.Revision
		}
		if len(changes) < diffPageSize {
			return dropEqual(found)
		}
	}
}

// mergeChange adds one change to the differences; index holds each entry's place in
// found.
func mergeChange(found []difference, index map[catalogue.Key]int, change catalogue.Change) ([]difference, error) {
	for _, u := range change.Updates {
		before, err := u.Before.Decoded()
		if err != nil {
			return nil, err
		}
		after, err := u.After.Decoded()
		if err != nil {
			return nil, err
		}
		if i, ok := index[u.Key]; ok {
			found[i].After = after
			continue
		}
		index[u.Key] = len(found)
		found = append(found, difference{Key: u.Key, Before: before, After: after})
	}
	return found, nil
}

// dropEqual removes entries that are the same before and after.
func dropEqual(all []difference) ([]difference, error) {
	var different []difference
	for _, d := range all {
		before, after, err := d.texts()
		if err != nil {
			return nil, err
		}
		if !bytes.Equal(before, after) {
			different = append(different, d)
		}
	}
	return different, nil
}

// texts returns both sides as YAML; an absent entry is empty.
func (d difference) texts() (before, after []byte, err error) {
	if d.Before != nil {
		if before, err = entryYAML(d.Before); err != nil {
			return nil, nil, err
		}
	}
	if d.After != nil {
		if after, err = entryYAML(d.After); err != nil {
			return nil, nil, err
		}
	}
	return before, after, nil
}

func (c *diffCommand) print(differences []difference) error {
	if c.app.Output != outputTable {
		return c.app.print(differences)
	}
	for _, d := range differences {
		before, after, err := d.texts()
		if err != nil {
			return err
		}
		fmt.Fprintln(c.app.out, d.Key)
		printLines(c.app.out, lines(before), lines(after))
	}
	return nil
}

func lines(text []byte) []string {
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// printLines writes the lines that only one side has, outside the longest common
// subsequence of both.
func printLines(w io.Writer, before, after []string) {
	common := commonLengths(before, after)
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			i++
			j++
		case j == len(after) || (i < len(before) && common[i+1][j] >= common[i][j+1]):
			fmt.Fprintf(w, "  - %s\n", before[i])
			i++
		default:
			fmt.Fprintf(w, "  + %s\n", after[j])
			j++
		}
	}
}

// commonLengths returns for each pair of positions the length of the longest
// common subsequence of the lines from there on.
func commonLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(after)+1)
	}
	for i := range slices.Backward(before) {
		for j := range slices.Backward(after) {
			if before[i] == after[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}

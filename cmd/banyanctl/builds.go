package main

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/build"
)

// versionText is the answer to --version.
func versionText() string { return "banyanctl " + build.ID() }

type buildsCommand struct {
	app *app
}

// buildRow is the build of one instance, as the asked instances know it.
type buildRow struct {
	Instance string `json:"instance"`
	// Build is empty if none of the asked instances has had a link to this one.
	Build string    `json:"build,omitempty"`
	Since time.Time `json:"since,omitzero"`
	// SeenBy is the asked instance that this row is from.
	SeenBy string `json:"seen_by"`
}

// Execute implements flags.Commander.
func (c *buildsCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	rows := map[string]buildRow{}
	var errs []error
	for _, base := range cl.bases {
		var view build.View
		if err := cl.callOne(c.app.ctx, base, http.MethodGet, admin.PathHostedDump, nil, &view); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", base, err))
			continue
		}
		addBuilds(rows, view)
	}
	if len(errs) == len(cl.bases) {
		return unanswered(errs)
	}
	list := make([]buildRow, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b buildRow) int { return cmp.Compare(a.Instance, b.Instance) })
	if c.app.Output == outputTable {
		err = c.app.printBuilds(list)
	} else {
		err = c.app.print(list)
	}
	return errors.Join(append(errs, err)...)
}

// addBuilds adds what one instance knows. What an instance says of itself replaces what others
// have seen, and of those the latest counts.
func addBuilds(rows map[string]buildRow, view build.View) {
	for _, m := range view.Builds {
		row := buildRow{Instance: m.Instance, Build: m.Build, Since: m.Since, SeenBy: view.Instance}
		before, known := rows[m.Instance]
		isOwn := m.Instance == view.Instance
		if !known || isOwn || before.SeenBy != before.Instance && row.Since.After(before.Since) {
			rows[m.Instance] = row
		}
	}
	if _, known := rows[view.Instance]; !known {
		rows[view.Instance] = buildRow{Instance: view.Instance, Build: cmp.Or(view.Build, build.Unstated), SeenBy: view.Instance}
	}
}

func (a *app) printBuilds(rows []buildRow) error {
	w := newTable(a.out)
	fmt.Fprintln(w, "INSTANCE\tBUILD\tSINCE\tSEEN BY")
	for _, r := range rows {
		since := "-"
		if !r.Since.IsZero() {
			since = r.Since.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.Instance, cmp.Or(r.Build, "not linked"), since, r.SeenBy)
	}
	return w.Flush()
}

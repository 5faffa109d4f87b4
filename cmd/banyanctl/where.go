package main

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/admin"
)

// errNoHome means that no instance that decides explained its decision.
var errNoHome = errors.New("no explanation")

type whereCommand struct {
	app       *app
	Host      string        `long:"host" required:"yes" description:"Host of the request"`
	Path      string        `long:"path" required:"yes" description:"Path of the request; host and path select the route"`
	Workspace string        `long:"workspace" description:"Name of the caller's workspace"`
	Prompt    int           `long:"prompt" description:"Size of the prompt in tokens"`
	Hint      int           `long:"output" description:"Likely size of the answer in tokens"`
	MaxOutput int           `long:"max-output" description:"Largest size of the answer in tokens"`
	Deadline  time.Duration `long:"deadline" description:"How long the caller waits; without it, the timeout of the route"`
}

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	query := url.Values{"host": {c.Host}, "path": {c.Path}, "workspace": {c.Workspace}}
	for name, n := range map[string]int{"prompt": c.Prompt, "output": c.Hint, "max_output": c.MaxOutput} {
		query.Set(name, strconv.Itoa(n))
	}
	if c.Deadline != 0 {
		query.Set("deadline", c.Deadline.String())
	}
	var answer admin.WhereAnswer
	if err := cl.get(c.app.ctx, admin.PathHostedWhere+"?"+query.Encode(), &answer); err != nil {
		return err
	}
	if c.app.Output == outputTable {
		err = c.app.printWhere(answer)
	} else {
		err = c.app.print(answer)
	}
	return errors.Join(err, missing(answer))
}

// missing returns an error for the services that are not explained.
func missing(answer admin.WhereAnswer) error {
	var errs []error
	for _, s := range answer.Services {
		if s.Error != "" {
			errs = append(errs, fmt.Errorf("%w for service %s from %s: %s", errNoHome, s.Service, s.Home, s.Error))
		}
	}
	return errors.Join(errs...)
}

func (a *app) printWhere(answer admin.WhereAnswer) error {
	w := newTable(a.out)
	fmt.Fprintf(w, "ROUTE\t%s\n", answer.Route)
	fmt.Fprintf(w, "INSTANCE\t%s\n", answer.Instance)
	for _, s := range answer.Services {
		fmt.Fprintf(w, "\t\nSERVICE\t%s (weight %g)\n", s.Service, s.Weight)
		fmt.Fprintf(w, "HOME\t%s\n", cmp.Or(s.Home, "none; the instance plans alone"))
		if s.Error != "" {
			fmt.Fprintf(w, "ERROR\t%s\n", s.Error)
			continue
		}
		if s.Upstream != "" {
			fmt.Fprintf(w, "UPSTREAM\t%s\n", s.Upstream)
			if len(s.Helpers) > 0 {
				fmt.Fprintf(w, "HELPERS\t%s\n", strings.Join(s.Helpers, ","))
			}
			fmt.Fprintf(w, "FIRST TOKEN\t%s\n", orUnknown(s.FirstToken))
		} else {
			fmt.Fprintf(w, "NOT PLACED\t%s, retry after %s\n", s.Reason, seconds(s.RetryAfter))
		}
		r := s.RuledOut
		fmt.Fprintf(w, "RULED OUT\tleaving %d, evacuated %d, paused or down %d, cold %d, limited %d, no free slot %d, no memory %d\n",
			r.Leaving, r.Evacuated, r.Paused, r.Cold, r.Limited, r.NoSlot, r.NoMemory)
		fmt.Fprintf(w, "CONFIGURATION\tversion %d, %s old\n", s.ConfigVersion, seconds(s.ConfigAge))
		fmt.Fprintf(w, "LIST\t%s old\n", seconds(s.ListAge))
		if len(s.Candidates) > 0 {
			fmt.Fprintln(w, "CANDIDATE\tDATA CENTRE\tFIRST TOKEN\tCOST")
		}
		for _, c := range s.Candidates {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\n", c.Upstream, cmp.Or(c.DataCentre, "-"), orUnknown(c.FirstToken), c.Cost)
		}
	}
	return w.Flush()
}

// seconds returns a number of seconds as a duration, rounded to milliseconds.
func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond).String()
}

func orUnknown(s float64) string {
	if s <= 0 {
		return "unknown"
	}
	return seconds(s)
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/build"
	"github.com/banyanroute/banyanroute/internal/loadtest/report"
	"github.com/banyanroute/banyanroute/internal/loadtest/runner"
	"github.com/banyanroute/banyanroute/internal/loadtest/scenario"
)

// Exit statuses.
const (
	exitFailed     = 1
	exitViolations = 2
)

type runCommand struct {
	JSON       string   `long:"json" description:"file to write the result to"`
	Seed       *uint64  `long:"seed" description:"seed; replaces the scenario's"`
	Targets    []string `long:"target" description:"base URL of an instance; replaces the scenario's targets; may be repeated"`
	Engines    []string `long:"engine" description:"base URL of an engine to check; replaces the scenario's engines; may be repeated"`
	Services   []string `long:"service" description:"base URL of a service to check; replaces the scenario's services; may be repeated"`
	Keys       []string `long:"key" description:"workspace key; replaces the scenario's workspaces; may be repeated"`
	Revision   string   `long:"revision" description:"version to record in the result; replaces the program's"`
	Name       string   `long:"name" description:"name; replaces the scenario's"`
	Positional struct {
		Scenario string `positional-arg-name:"SCENARIO" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	s, err := scenario.Load(c.Positional.Scenario)
	if err != nil {
		return trace.Wrap(err)
	}
	c.override(s)
	var res *report.Result
	err = untilSignal(func(ctx context.Context) error {
		var err error
		res, err = runner.Run(ctx, runner.Options{Scenario: s, Command: command(), Progress: os.Stderr})
		return err
	})
	if res == nil {
		return trace.Wrap(err)
	}
	if err != nil {
		log.Errorf("checks after the run failed: %v", err)
	}
	if c.Revision != "" {
		res.Version = c.Revision
	}
	if c.JSON != "" {
		if err := res.Save(c.JSON); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := res.WriteText(os.Stdout); err != nil {
		return trace.Wrap(err)
	}
	if res.ViolationCount > 0 {
		os.Exit(exitViolations)
	}
	return trace.Wrap(err)
}

// override replaces settings of the scenario by those of the command line.
func (c *runCommand) override(s *scenario.Scenario) {
	if c.Seed != nil {
		s.Seed = *c.Seed
	}
	if len(c.Targets) > 0 {
		s.Targets = c.Targets
	}
	if len(c.Engines) > 0 {
		s.Engines = c.Engines
	}
	if len(c.Services) > 0 {
		s.Services = c.Services
	}
	if c.Name != "" {
		s.Name = c.Name
	}
	if len(c.Keys) > 0 {
		s.Workspaces = nil
		for _, key := range c.Keys {
			s.Workspaces = append(s.Workspaces, scenario.Workspace{Key: key, Share: 1})
		}
	}
}

// command returns the command line with the program's base name.
func command() []string {
	return append([]string{filepath.Base(os.Args[0])}, os.Args[1:]...)
}

// untilSignal runs f and cancels its context on the first SIGINT or SIGTERM.
func untilSignal(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	var err error
	g.Add(func() error {
		err = f(ctx)
		return err
	}, func(error) { cancel() })
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	_ = g.Run() // The error of f is returned instead.
	return err
}

type plotCommand struct {
	Folder     string `long:"out" default:"." description:"folder for the PNG and SVG files"`
	Positional struct {
		Results []string `positional-arg-name:"RESULT" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *plotCommand) Execute([]string) error {
	var results []*report.Result
	for _, file := range c.Positional.Results {
		r, err := report.Load(file)
		if err != nil {
			return trace.Wrap(err)
		}
		results = append(results, r)
	}
	files, err := report.Plot(c.Folder, results)
	for _, file := range files {
		fmt.Println(file)
	}
	return trace.Wrap(err)
}

type compareCommand struct {
	Positional struct {
		A string `positional-arg-name:"A"`
		B string `positional-arg-name:"B"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	a, err := report.Load(c.Positional.A)
	if err != nil {
		return trace.Wrap(err)
	}
	b, err := report.Load(c.Positional.B)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(report.Compare(os.Stdout, a, b))
}

type overheadCommand struct {
	Direct   string        `long:"direct" required:"true" description:"base URL of an engine"`
	Through  string        `long:"through" required:"true" description:"base URL of an instance"`
	Key      string        `long:"key" required:"true" description:"workspace key"`
	Model    string        `long:"model" default:"tutor-llm" description:"model"`
	Rate     float64       `long:"rate" default:"100" description:"requests per second on each path"`
	Duration time.Duration `long:"duration" default:"20s" description:"how long to send requests"`
	Prompt   int           `long:"prompt-tokens" default:"1000" description:"prompt length in tokens"`
	Output   int           `long:"output-tokens" default:"2" description:"answer length in tokens"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"time limit of a request"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the prompts"`
	JSON     string        `long:"json" description:"file to write the result to"`
}

// Execute implements flags.Commander.
func (c *overheadCommand) Execute([]string) error {
	var res *runner.Overhead
	err := untilSignal(func(ctx context.Context) error {
		var err error
		res, err = runner.MeasureOverhead(ctx, runner.OverheadOptions{
			Direct: c.Direct, Through: c.Through, Key: c.Key, Model: c.Model, Rate: c.Rate, Duration: c.Duration,
			PromptTokens: c.Prompt, OutputTokens: c.Output, Timeout: c.Timeout, Seed: c.Seed,
		})
		return err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	res.Command = command()
	res.WriteText(os.Stdout)
	if c.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(c.JSON, append(data, '\n'), 0o644))
}

type checkCommand struct {
	Positional struct {
		Scenarios []string `positional-arg-name:"SCENARIO" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	for _, file := range c.Positional.Scenarios {
		if _, err := scenario.Load(file); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Println(build.ID())
	return trace.Wrap(err)
}

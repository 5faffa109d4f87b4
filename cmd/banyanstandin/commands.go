package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/enginehttp"
	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/standin/platformd"
	"github.com/banyanroute/banyanroute/internal/standin/relay"
	"github.com/banyanroute/banyanroute/internal/standin/service"
)

type platformCommand struct {
	Listen     string        `long:"listen" default:"127.0.0.1:9000" description:"loopback IP and port"`
	LiveLag    time.Duration `long:"live-lag" default:"2s" description:"how far the live list lags behind the actual state"`
	WeightRate int64         `long:"weight-rate" default:"2000000000" description:"rate of the weight store in bytes per second; 0 is no limit"`
	WeightSize int64         `long:"weight-size" default:"1000000000" description:"size in bytes of a model version whose size was not set; 0 means that it does not exist"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	var g run.Group
	server := platformd.New(platformd.Settings{LiveLag: c.LiveLag, WeightRate: c.WeightRate, WeightSize: c.WeightSize})
	if err := serve(&g, "platform", c.Listen, server); err != nil {
		return trace.Wrap(err)
	}
	return runGroup(&g)
}

type serviceCommand struct {
	Listen       string        `long:"listen" default:"127.0.0.1:9201" description:"loopback IP and port"`
	Name         string        `long:"name" default:"service" description:"name of the service"`
	WorkTime     time.Duration `long:"work-time" default:"2ms" description:"how long one call takes"`
	ExecutionLog string        `long:"journal" description:"file to which a line is appended for each execution"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	var g run.Group
	faults := fault.New(os.Exit)
	settings := service.Settings{Name: c.Name, WorkTime: c.WorkTime}
	if c.ExecutionLog != "" {
		file, err := os.OpenFile(c.ExecutionLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer file.Close()
		settings.ExecutionLog = file
	}
	server := service.New(settings, faults)
	if err := serve(&g, "service", c.Listen, faults.Wrap(server)); err != nil {
		return trace.Wrap(err)
	}
	return runGroup(&g)
}

type engineCommand struct {
	Listen       string        `long:"listen" default:"127.0.0.1:9101" description:"loopback IP and port"`
	Name         string        `long:"name" default:"engine" description:"name of the engine"`
	Models       string        `long:"models" default:"tutor-llm" description:"models that are loaded from the start, MODEL or MODEL:VERSION, separated by commas"`
	MemoryTokens int           `long:"memory-tokens" default:"500000" description:"KV memory in tokens"`
	ChunkTokens  int           `long:"chunk-tokens" default:"1024" description:"maximum number of prompt tokens in one step"`
	MaxStreams   int           `long:"max-streams" default:"256" description:"maximum number of streams in memory"`
	MaxQueue     int           `long:"max-queue" default:"256" description:"maximum number of requests that wait for memory"`
	StepBase     time.Duration `long:"step-base" default:"6ms" description:"time of a step without work"`
	PerPrompt    time.Duration `long:"per-prompt-token" default:"40us" description:"time per prompt token of a step"`
	PerStream    time.Duration `long:"per-stream" default:"50us" description:"time per running stream of a step"`
	PerResident  time.Duration `long:"per-resident-token" default:"20ns" description:"time per resident KV token of a step"`
	KeepStream   time.Duration `long:"keep-stream" default:"10s" description:"how long a stream outlives its connection"`
	ReportLag    time.Duration `long:"report-lag" default:"200ms" description:"age of load reports"`
	EventLag     time.Duration `long:"event-lag" default:"500ms" description:"delay of cache events"`
	EventLoss    float64       `long:"event-loss" default:"0.02" description:"share of cache events that are lost"`
	LoadTime     time.Duration `long:"load-time" default:"5s" description:"time to load a model or an adapter"`
	Transfer     int           `long:"transfer-rate" default:"1000000" description:"speed of an import in tokens per second"`
	Fencing      bool          `long:"fencing" description:"refuse orders with an old fencing token"`
	OrderKey     string        `long:"order-key" description:"key with which orders must be signed; empty disables the check"`
	TimeScale    float64       `long:"time-scale" default:"1" description:"factor by which the engine runs faster"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the choice of lost cache events"`
}

func (c *engineCommand) settings() engine.Settings {
	s := engine.Default()
	s.Name = c.Name
	s.Boot = strconv.FormatInt(time.Now().UnixNano(), 36)
	s.Models = splitList(c.Models)
	s.MemoryTokens = c.MemoryTokens
	s.ChunkTokens = c.ChunkTokens
	s.MaxStreams = c.MaxStreams
	s.MaxQueue = c.MaxQueue
	s.StepBase = c.StepBase
	s.PerPromptToken = c.PerPrompt
	s.PerStream = c.PerStream
	s.PerResidentToken = c.PerResident
	s.StreamRetention = c.KeepStream
	s.ReportLag = c.ReportLag
	s.EventLag = c.EventLag
	s.EventLossRate = c.EventLoss
	s.LoadTime = c.LoadTime
	s.TransferTokensPerSecond = c.Transfer
	s.Fencing = c.Fencing
	s.OrderKey = []byte(c.OrderKey)
	s.TimeScale = c.TimeScale
	s.Seed = c.Seed
	return s
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	settings := c.settings()
	if err := settings.Check(); err != nil {
		return trace.Wrap(err)
	}
	var g run.Group
	faults := fault.New(os.Exit)
	model := engine.New(settings, faults)
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return model.Run(ctx) }, func(error) { cancel() })
	if err := serve(&g, "engine", c.Listen, faults.Wrap(enginehttp.New(model, faults))); err != nil {
		cancel()
		return trace.Wrap(err)
	}
	return runGroup(&g)
}

type relayCommand struct {
	Listen  string `long:"listen" required:"true" description:"loopback IP and port that clients connect to"`
	To      string `long:"to" required:"true" description:"loopback IP and port that connections are forwarded to"`
	Control string `long:"control" required:"true" description:"loopback IP and port of the fault switches"`
}

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	var g run.Group
	r, err := relay.New(c.Listen, c.To)
	if err != nil {
		return trace.Wrap(err)
	}
	g.Add(r.Run, func(error) { r.Close() })
	if err := serve(&g, "relay", c.Control, r.Control()); err != nil {
		r.Close()
		return trace.Wrap(err)
	}
	return runGroup(&g)
}

// splitList splits a comma-separated list; an empty text has no items.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

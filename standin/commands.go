package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/minion"
	"github.com/plantainladder/plantainladder/shape"
	standcaller "github.com/plantainladder/plantainladder/standin/caller"
	"github.com/plantainladder/plantainladder/standin/gateway"
	standminion "github.com/plantainladder/plantainladder/standin/minion"
	"github.com/plantainladder/plantainladder/standin/record"
	standworker "github.com/plantainladder/plantainladder/standin/worker"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/worker"
)

const (
	defaultSlots       = 8
	defaultConnections = 60
	defaultCores       = 60
	defaultMemoryMB    = 250_000
	defaultPerRack     = 6
	defaultRate        = 50
	defaultLoadTime    = 10 * time.Second
	defaultDeadline    = 2 * time.Second
	defaultRunMS       = 20
)

// common are the settings of every stand-in.
type common struct {
	settings *util.Settings
	gateways string
	token    string
	source   string
	logLevel string
}

func newCommon(name, usage string) *common {
	c := &common{
		settings: util.NewSettings("standin-"+name, usage),
	}
	c.settings.Flags.StringVar(&c.gateways, "gateways", "", "addresses of the gateways, with commas between")
	c.settings.Flags.StringVar(&c.token, "token", "", "token to show to gateways, and that they must show")
	c.settings.Flags.StringVar(&c.source, "source", "", "IP number to dial from; empty for any")
	c.settings.Flags.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
	return c
}

// load parses args; it ends the process on help and on faults.
func (c *common) load(args []string, check func(s *util.Settings)) {
	err := c.settings.Load(args, os.Environ(), os.Stderr, func() {
		c.settings.Require(len(util.SplitList(c.gateways)) > 0, "gateways: must name at least one address")
		check(c.settings)
	})
	switch {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(0)
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(util.ExitUsage)
	}
}

func (c *common) client() *gateway.Client {
	return gateway.NewClient(util.SplitList(c.gateways), c.token, c.source)
}

func runMinion(ctx context.Context, args []string) error {
	c := newCommon("minion", "standin minion runs requests in slots.")
	var a minion.Announcement
	var listen, fault, path string
	fs := c.settings.Flags
	fs.StringVar(&a.Name, "name", "", "name of the minion")
	fs.StringVar(&a.DataCentre, "data-centre", "dc1", "name of its data centre")
	fs.IntVar(&a.Slots, "slots", defaultSlots, "requests that it runs at once")
	fs.IntVar(&a.Connections, "connections", defaultConnections, "connections that it accepts")
	fs.StringVar(&listen, "listen", "127.0.0.1:0", "address and port to serve on")
	fs.StringVar(&a.Address, "advertise", "", "address to announce; empty for the one it serves on")
	fs.StringVar(&fault, "fault", "", `"fail", "silent", "truncate", "mix-up" or "lose-answer"; empty for none`)
	fs.StringVar(&path, "record", "", "file that takes a line for each run")
	c.load(args, func(s *util.Settings) {
		err := contract.CheckName("name", a.Name)
		s.Require(err == nil, "name: must have 1 to 64 letters, digits, dots, dashes or underscores")
	})
	file, err := record.Open(path)
	if err != nil {
		return err
	}
	a.StartedMS = time.Now().UnixMilli()
	return standminion.New(standminion.Config{
		Announcement: a,
		Listen:       listen,
		Gateways:     c.client(),
		Token:        c.token,
		Fault:        fault,
		Record:       file,
		Logger:       util.ForComponent(util.NewLogger(os.Stderr, c.logLevel), "standin/minion"),
	}).Run(ctx)
}

func runWorkers(ctx context.Context, args []string) error {
	c := newCommon("worker", "standin worker holds tasks. Several workers may share a process.")
	var w worker.Worker
	var listen, path string
	var count, perRack int
	var failAll bool
	fs := c.settings.Flags
	fs.StringVar(&w.Name, "name", "", "name of the worker, with a number behind it if there are several")
	fs.IntVar(&count, "count", 1, "number of workers in this process")
	fs.StringVar(&w.DataCentre, "data-centre", "dc1", "name of the data centre")
	fs.IntVar(&perRack, "per-rack", defaultPerRack, "workers in a rack")
	fs.IntVar(&w.Capacity.Accelerators, "accelerators", defaultSlots, "accelerators of each worker")
	fs.IntVar(&w.Capacity.Cores, "cores", defaultCores, "cores of each worker")
	fs.IntVar(&w.Capacity.MemoryMB, "memory-mb", defaultMemoryMB, "memory of each worker in megabytes")
	fs.StringVar(&listen, "listen", "127.0.0.1:0", "address and port to serve on; port 0 with several workers")
	fs.StringVar(&w.Address, "advertise", "", "address to announce; empty for the one it serves on")
	fs.BoolVar(&failAll, "fail-all", false, "make every task fail at once")
	fs.StringVar(&path, "record", "", "file that takes a line for each start and end")
	c.load(args, func(s *util.Settings) {
		err := contract.CheckName("name", w.Name)
		s.Require(err == nil, "name: must have 1 to 64 letters, digits, dots, dashes or underscores")
		s.Require(count > 0, "count: must be above 0")
		s.Require(perRack > 0, "per-rack: must be above 0")
		s.Require(w.Capacity != shape.Resources{}, "cores: a worker must have something")
	})
	file, err := record.Open(path)
	if err != nil {
		return err
	}
	w.Incarnation = util.NewID()
	failed := make(chan error, count)
	for i := range count {
		one := w
		one.Rack = fmt.Sprintf("r%d", i/perRack)
		if count > 1 {
			one.Name = fmt.Sprintf("%s-%d", w.Name, i)
		}
		go func() {
			failed <- standworker.New(standworker.Config{
				Worker:   one,
				Listen:   listen,
				Gateways: c.client(),
				Token:    c.token,
				FailAll:  failAll,
				Record:   file,
				Logger:   util.ForComponent(util.NewLogger(os.Stderr, c.logLevel), "standin/worker"),
			}).Run(ctx)
		}()
	}
	for range count {
		err = errors.Join(err, <-failed)
	}
	return err
}

func runLoad(ctx context.Context, args []string) error {
	c := newCommon("load", "standin load sends requests at a steady rate and prints a report.")
	var cfg standcaller.Config
	fs := c.settings.Flags
	fs.StringVar(&cfg.Organisation, "organisation", "", "organisation that makes the requests")
	fs.StringVar(&cfg.Class, "class", "normal", `"urgent", "normal" or "batch"`)
	fs.DurationVar(&cfg.Deadline, "deadline", defaultDeadline, "time that the caller waits")
	fs.BoolVar(&cfg.Idempotent, "idempotent", true, "whether requests may run more than once")
	fs.Float64Var(&cfg.Rate, "rate", defaultRate, "requests a second")
	fs.DurationVar(&cfg.Duration, "duration", defaultLoadTime, "time to send")
	fs.Int64Var(&cfg.RunMS, "run-ms", defaultRunMS, "time that a minion takes, in milliseconds")
	fs.IntVar(&cfg.AnswerBytes, "answer-bytes", 0, "size of the answer")
	fs.BoolVar(&cfg.Direct, "direct", false, "send to minions instead of gateways")
	c.load(args, func(s *util.Settings) {
		s.Require(cfg.Rate > 0, "rate: must be above 0")
		s.Require(cfg.Duration > 0, "duration: must be above 0")
	})
	cfg.Addresses = util.SplitList(c.gateways)
	cfg.Token = c.token
	return printJSON(standcaller.Load(ctx, cfg))
}

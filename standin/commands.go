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
	defaultSlots        = 8
	defaultConnections  = 60
	defaultCores        = 60
	defaultMemoryMB     = 250_000
	defaultPerRack      = 6
	defaultRate         = 50
	defaultLoadDuration = 10 * time.Second
	defaultDeadline     = 2 * time.Second
	defaultRunMS        = 20
)

// commonSettings holds the settings that all stand-ins share.
type commonSettings struct {
	settings *util.Settings
	gateways string
	token    string
	source   string
	logLevel string
}

func newCommonSettings(name, usage string) *commonSettings {
	c := &commonSettings{
		settings: util.NewSettings("standin-"+name, usage),
	}
	c.settings.Flags.StringVar(&c.gateways, "gateways", "", "addresses of the gateways, separated by commas")
	c.settings.Flags.StringVar(&c.token, "token", "", "token sent to gateways and expected in the requests to a minion or worker")
	c.settings.Flags.StringVar(&c.source, "source", "", "local IP address to dial from; empty for any")
	c.settings.Flags.StringVar(&c.logLevel, "log-level", "info", "log level: debug, info, warn or error")
	return c
}

// load parses args. It exits after --help and --version, and with
// util.ExitUsage if settings are invalid.
func (c *commonSettings) load(args []string, check func(s *util.Settings)) {
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

func (c *commonSettings) client() *gateway.Client {
	return gateway.NewClient(util.SplitList(c.gateways), c.token, c.source)
}

func runMinion(ctx context.Context, args []string) error {
	c := newCommonSettings("minion", "standin minion runs a minion that serves requests.")
	var a minion.Announcement
	var listen, fault, path string
	fs := c.settings.Flags
	fs.StringVar(&a.Name, "name", "", "name of the minion")
	fs.StringVar(&a.DataCentre, "data-centre", "dc1", "name of the data centre")
	fs.IntVar(&a.Slots, "slots", defaultSlots, "number of requests that run at once")
	fs.IntVar(&a.Connections, "connections", defaultConnections, "number of connections to announce")
	fs.StringVar(&listen, "listen", "127.0.0.1:0", "address and port to listen on")
	fs.StringVar(&a.Address, "advertise", "", "address to announce; empty for the listen address")
	fs.StringVar(&fault, "fault", "", `fault to inject: "fail", "silent", "truncate", "mix-up" or "lose-answer"; empty for none`)
	fs.StringVar(&path, "record", "", "file to which a line is written for each run; empty for none")
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
	c := newCommonSettings("worker", "standin worker runs one or more workers in one process.")
	var w worker.Worker
	var listen, path string
	var count, perRack int
	var failAll bool
	fs := c.settings.Flags
	fs.StringVar(&w.Name, "name", "", "name of the worker, and prefix of the names if there are several")
	fs.IntVar(&count, "count", 1, "number of workers in the process")
	fs.StringVar(&w.DataCentre, "data-centre", "dc1", "name of the data centre")
	fs.IntVar(&perRack, "per-rack", defaultPerRack, "number of workers per rack")
	fs.IntVar(&w.Capacity.Accelerators, "accelerators", defaultSlots, "number of accelerators of each worker")
	fs.IntVar(&w.Capacity.Cores, "cores", defaultCores, "number of cores of each worker")
	fs.IntVar(&w.Capacity.MemoryMB, "memory-mb", defaultMemoryMB, "memory of each worker, in megabytes")
	fs.StringVar(&listen, "listen", "127.0.0.1:0", "address and port to listen on; port 0 if there are several workers")
	fs.StringVar(&w.Address, "advertise", "", "address to announce; empty for the listen address")
	fs.BoolVar(&failAll, "fail-all", false, "make every task fail as soon as it has started")
	fs.StringVar(&path, "record", "", "file to which a line is written for each start and end; empty for none")
	c.load(args, func(s *util.Settings) {
		err := contract.CheckName("name", w.Name)
		s.Require(err == nil, "name: must have 1 to 64 letters, digits, dots, dashes or underscores")
		s.Require(count > 0, "count: must be above 0")
		s.Require(perRack > 0, "per-rack: must be above 0")
		s.Require(w.Capacity != shape.Resources{}, "cores: at least one of cores, accelerators and memory-mb must be set")
	})
	file, err := record.Open(path)
	if err != nil {
		return err
	}
	w.Incarnation = util.NewID()
	errs := make(chan error, count)
	for i := range count {
		registration := w
		registration.Rack = fmt.Sprintf("r%d", i/perRack)
		if count > 1 {
			registration.Name = fmt.Sprintf("%s-%d", w.Name, i)
		}
		go func() {
			errs <- standworker.New(standworker.Config{
				Worker:   registration,
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
		err = errors.Join(err, <-errs)
	}
	return err
}

func runLoad(ctx context.Context, args []string) error {
	c := newCommonSettings("load", "standin load sends requests at a constant rate and prints a report.")
	var cfg standcaller.Config
	fs := c.settings.Flags
	fs.StringVar(&cfg.Organisation, "organisation", "", "organisation that sends the requests")
	fs.StringVar(&cfg.Class, "class", "normal", `priority class: "urgent", "normal" or "batch"`)
	fs.DurationVar(&cfg.Deadline, "deadline", defaultDeadline, "deadline of each request")
	fs.BoolVar(&cfg.Idempotent, "idempotent", true, "whether requests may run more than once")
	fs.Float64Var(&cfg.Rate, "rate", defaultRate, "number of requests per second")
	fs.DurationVar(&cfg.Duration, "duration", defaultLoadDuration, "how long to send requests")
	fs.Int64Var(&cfg.RunMS, "run-ms", defaultRunMS, "run time of a request on the minion, in milliseconds")
	fs.IntVar(&cfg.AnswerBytes, "answer-bytes", 0, "size of the response, in bytes")
	fs.BoolVar(&cfg.Direct, "direct", false, "send to minions, whose addresses --gateways lists, instead of gateways")
	c.load(args, func(s *util.Settings) {
		s.Require(cfg.Rate > 0, "rate: must be above 0")
		s.Require(cfg.Duration > 0, "duration: must be above 0")
	})
	cfg.Addresses = util.SplitList(c.gateways)
	cfg.Token = c.token
	return printJSON(standcaller.Load(ctx, cfg))
}

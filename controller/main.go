// Command controller runs one replica of the scheduler's state: contracts, data
// centres, jobs, claims and the members of the group of controllers. The leader of
// the group also schedules.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/plantainladder/plantainladder/controller/node"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/util"
)

const usage = `controller runs a replica of the state of plantainladder.

Example:
  controller --listen 127.0.0.1:7101 --data-dir ./c1 --cluster-token s3cret --worker-token w0rk`

const (
	minSnapshotEvery     = 10
	defaultSnapshotEvery = 10_000
)

// settings holds the values of the controller's flags.
type settings struct {
	listen        string
	dataDir       string
	clusterToken  string
	workerToken   string
	source        string
	insecure      bool
	logLevel      string
	memoryMB      int
	snapshotEvery int
	voters        int
	formGroup     bool
	seeds         []string
}

func loadSettings() settings {
	var cfg settings
	s := util.NewSettings("controller", usage)
	s.Flags.StringVar(&cfg.listen, "listen", "127.0.0.1:7101", "address and port to listen on for controllers and gateways")
	s.Flags.StringVar(&cfg.dataDir, "data-dir", "", "data folder for the identity, the log and the snapshots")
	s.Flags.StringVar(&cfg.clusterToken, "cluster-token", "", "secret shared by controllers and gateways")
	s.Flags.StringVar(&cfg.workerToken, "worker-token", "", "secret shared with workers")
	s.Flags.StringVar(&cfg.source, "source", "", "local IP address to dial from; empty for any")
	s.Flags.BoolVar(&cfg.insecure, "insecure-no-tokens", false, "allow empty tokens; for tests only")
	s.Flags.IntVar(&cfg.memoryMB, "memory-mb", util.DefaultMemoryMB, "soft memory limit of the Go runtime, in megabytes")
	s.Flags.StringVar(&cfg.logLevel, "log-level", "info", "log level: debug, info, warn or error")
	s.Flags.IntVar(&cfg.snapshotEvery, "snapshot-every", defaultSnapshotEvery, "number of log entries between two snapshots")
	s.Flags.IntVar(&cfg.voters, "voters", 0, "number of voters up to which the group admits controllers that ask to join; 0 if only operators add members")
	s.Flags.BoolVar(&cfg.formGroup, "form", false, "form a new group if this controller belongs to none; set it on one controller only")
	seeds := s.Flags.String("seeds", "", "addresses of controllers to send join requests to, separated by commas")
	s.MustLoad(func() {
		cfg.seeds = util.SplitList(*seeds)
		s.Require(cfg.voters >= 0 && cfg.voters <= member.MaxMembers, "voters: must be from 0 to %d", member.MaxMembers)
		s.Require(cfg.voters > 0 || (!cfg.formGroup && len(cfg.seeds) == 0), "voters: must be set if form or seeds is set")
		s.Require(cfg.dataDir != "", "data-dir: must be set")
		s.Require(cfg.clusterToken != "" || cfg.insecure, "cluster-token: must be set unless insecure-no-tokens is given")
		s.Require(cfg.workerToken != "" || cfg.insecure, "worker-token: must be set unless insecure-no-tokens is given")
		s.Require(cfg.snapshotEvery >= minSnapshotEvery, "snapshot-every: must be at least %d", minSnapshotEvery)
		s.RequireAddress("listen", cfg.listen)
		s.RequireIP("source", cfg.source)
		s.RequireLogLevel("log-level", cfg.logLevel)
		s.Require(cfg.memoryMB >= util.MinMemoryMB, "memory-mb: must be at least %d", util.MinMemoryMB)
	})
	return cfg
}

func main() {
	cfg := loadSettings()
	util.LimitMemory(cfg.memoryMB)
	logger := util.NewLogger(os.Stderr, cfg.logLevel)
	logger.Info().Str("part", "controller").EmbedObject(util.ReadBuild()).Msg("Process is starting.")
	if cfg.insecure {
		logger.Warn().Str("part", "controller").Msg("Empty tokens are accepted (--insecure-no-tokens).")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, err := node.New(ctx, node.Config{
		Listen:        cfg.listen,
		DataDir:       cfg.dataDir,
		ClusterToken:  cfg.clusterToken,
		WorkerToken:   cfg.workerToken,
		Source:        cfg.source,
		SnapshotEvery: cfg.snapshotEvery,
		Voters:        cfg.voters,
		FormGroup:     cfg.formGroup,
		Seeds: func() []string {
			return cfg.seeds
		},
		Logger: logger,
	})
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(util.ExitFailure)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stopping := make(chan struct{})
	go func() {
		<-signals
		close(stopping)
	}()
	if err = n.Run(ctx, stopping); err != nil {
		logger.Error().Str("part", "controller").Err(err).Msg("Controller failed.")
		os.Exit(util.ExitFailure)
	}
}

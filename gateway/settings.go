package main

import (
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/util"
)

const usage = `gateway serves callers, minions, workers and operators of plantainladder.

Example:
  gateway --name g1 --listen 127.0.0.1:7001 --controllers 127.0.0.1:7101,127.0.0.1:7102 \
    --cluster-token s3cret --operator-token 0per --worker-token w0rk --minion-token m1n`

const (
	defaultMaxQueue = 2000
	// minDefaultConnections leaves room for the requests that wait in the default queue and as
	// many others.
	minDefaultConnections = 4096
	// minBodyMB is above the largest body of a request.
	minBodyMB          = 2
	defaultDrainNotice = 3 * time.Second
	defaultDrainLimit  = 60 * time.Second
)

// settings holds the values of the gateway's flags.
type settings struct {
	name          string
	listen        string
	controllers   string
	clusterToken  string
	operatorToken string
	workerToken   string
	minionToken   string
	source        string
	insecure      bool
	logLevel      string
	memoryMB      int
	maxQueue      int
	// maxConnections and bodyMB bound what clients may send.
	maxConnections int
	bodyMB         int
	drainNotice    time.Duration
	drainLimit     time.Duration
}

// connectionLimit returns the maximum number of open connections of clients.
func (cfg settings) connectionLimit() int {
	if cfg.maxConnections == 0 {
		return max(2*cfg.maxQueue, minDefaultConnections)
	}
	return cfg.maxConnections
}

// bodyBytes returns the budget of the bodies of requests, in bytes.
func (cfg settings) bodyBytes() int64 {
	mb := cfg.bodyMB
	if mb == 0 {
		mb = cfg.memoryMB / 2
	}
	return int64(mb) << 20
}

func loadSettings() settings {
	var cfg settings
	s := util.NewSettings("gateway", usage)
	s.Flags.StringVar(&cfg.name, "name", "", "name of this gateway, unique among all gateways")
	s.Flags.StringVar(&cfg.listen, "listen", "127.0.0.1:7001", "address and port to listen on")
	s.Flags.StringVar(&cfg.controllers, "controllers", "", "addresses of the controllers, separated by commas")
	s.Flags.StringVar(&cfg.clusterToken, "cluster-token", "", "secret shared by controllers and gateways")
	s.Flags.StringVar(&cfg.operatorToken, "operator-token", "", "secret shared with operators")
	s.Flags.StringVar(&cfg.workerToken, "worker-token", "", "secret shared with workers")
	s.Flags.StringVar(&cfg.minionToken, "minion-token", "", "secret shared with minions")
	s.Flags.StringVar(&cfg.source, "source", "", "local IP address to dial from; empty for any")
	s.Flags.BoolVar(&cfg.insecure, "insecure-no-tokens", false, "allow empty tokens and callers without a token; for tests only")
	s.Flags.IntVar(&cfg.memoryMB, "memory-mb", util.DefaultMemoryMB, "soft memory limit of the Go runtime, in megabytes")
	s.Flags.StringVar(&cfg.logLevel, "log-level", "info", "log level: debug, info, warn or error")
	s.Flags.IntVar(&cfg.maxQueue, "max-queue", defaultMaxQueue, "maximum number of queued requests")
	s.Flags.IntVar(&cfg.maxConnections, "max-connections", 0, "maximum number of open connections of clients; 0 for twice max-queue, at least 4096")
	s.Flags.IntVar(&cfg.bodyMB, "body-mb", 0, "budget of the bodies of requests, in megabytes; 0 for half of memory-mb")
	s.Flags.DurationVar(&cfg.drainNotice, "drain-notice", defaultDrainNotice, "time to go on serving while not ready before the shutdown")
	s.Flags.DurationVar(&cfg.drainLimit, "drain-limit", defaultDrainLimit, "longest time to wait for running requests at the shutdown")
	s.MustLoad(func() {
		err := contract.CheckName("name", cfg.name)
		s.Require(err == nil, "name: must have 1 to 64 letters, digits, dots, dashes or underscores")
		s.RequireAddress("listen", cfg.listen)
		s.RequireIP("source", cfg.source)
		s.RequireLogLevel("log-level", cfg.logLevel)
		s.Require(cfg.memoryMB >= util.MinMemoryMB, "memory-mb: must be at least %d", util.MinMemoryMB)
		s.Require(len(util.SplitList(cfg.controllers)) > 0, "controllers: must name at least one address")
		for _, address := range util.SplitList(cfg.controllers) {
			s.RequireAddress("controllers", address)
		}
		for name, token := range map[string]string{
			"cluster-token":  cfg.clusterToken,
			"operator-token": cfg.operatorToken,
			"worker-token":   cfg.workerToken,
			"minion-token":   cfg.minionToken,
		} {
			s.Require(token != "" || cfg.insecure, "%s: must be set unless insecure-no-tokens is given", name)
		}
		s.Require(cfg.maxQueue > 0, "max-queue: must be above 0")
		s.Require(cfg.maxConnections == 0 || cfg.maxConnections > cfg.maxQueue, "max-connections: must be 0 or above max-queue")
		s.Require(cfg.bodyMB == 0 || cfg.bodyMB >= minBodyMB, "body-mb: must be 0 or at least %d", minBodyMB)
		s.Require(cfg.drainNotice >= 0, "drain-notice: must not be negative")
		s.Require(cfg.drainLimit > 0, "drain-limit: must be above 0")
	})
	return cfg
}

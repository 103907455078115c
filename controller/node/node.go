// Package node assembles a controller from the event loop of its core, the log on
// disk, and the connections to controllers, gateways and workers.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/controller/gateway"
	"github.com/plantainladder/plantainladder/controller/replica"
	"github.com/plantainladder/plantainladder/controller/worker"
	"github.com/plantainladder/plantainladder/formation"
	"github.com/plantainladder/plantainladder/http1"
	"github.com/plantainladder/plantainladder/loop"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

// Timing of consensus and limits of the log, the queues and the connections.
const (
	tickInterval      = 50 * time.Millisecond
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	maxBatchEntries   = 512
	maxBatchBytes     = 1 << 20
	maxUncommitted    = 8192
	maxApplyEntries   = 64
	maxApplyBytes     = 64 << 10
	trailingEntries   = 1000
	// snapshotBytes, trailingBytes and the parts of the disk that they may take keep the
	// log small beside the disk, however large its entries are.
	snapshotBytes    = 8 << 20
	snapshotDiskPart = 16
	trailingBytes    = 2 << 20
	trailingDiskPart = 64
	// maxUncommittedBytes and maxInflightBytes bound what a disk or a member that is slow
	// makes the others hold.
	maxUncommittedBytes = 16 << 20
	uncommittedDiskPart = 8
	maxInflightBytes    = 4 << 20
	maxCommandBytes     = rpc.MaxBody

	eventQueueLength   = 4096
	diskQueueLength    = 4096
	maxConcurrentCalls = 256
	shutdownTimeout    = 3 * time.Second
	// maxHeaderBytes is above the few hundred bytes that processes and readers of metrics
	// send. The default of net/http is 1 MiB for each connection.
	maxHeaderBytes = 16 << 10
	reserveBytes   = 2 << 20
)

// A Node is one running controller.
type Node struct {
	cfg      Config
	logger   zerolog.Logger
	folder   *disk.Folder
	log      *disk.Log
	writer   *disk.Writer
	synced   syncReporter[consensus.Entry]
	hard     syncReporter[consensus.HardState]
	full     syncReporter[bool]
	peers    *replica.Peers
	pusher   *worker.Pusher
	pending  *gateway.PendingRequests
	loop     *loop.Loop[control.Core, control.Event, control.Effect]
	meters   *meters
	observer *loopObserver
	keeper   *keeper
	// written is closed once nothing is written to the data folder any more.
	written chan struct{}
	ctx     context.Context
}

// New opens the data folder and returns a controller with the state stored there.
// Run starts it. The effects of the controller's core are performed with ctx.
func New(ctx context.Context, cfg Config) (n *Node, err error) {
	defer util.Annotate(&err, "controller: start")
	folder, err := disk.OpenFolder(disk.FolderConfig{
		Path: cfg.DataDir,
	})
	if err != nil {
		return nil, err
	}
	log, recovered, err := disk.Recover(folder)
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	core, err := newCore(cfg, folder.ID(), recovered)
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	stored, err := loadFormation(cfg, folder, core.Replica())
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	n = &Node{
		cfg:     cfg,
		logger:  util.ForComponent(cfg.Logger, "controller"),
		folder:  folder,
		log:     log,
		synced:  newSyncReporter[consensus.Entry](),
		hard:    newSyncReporter[consensus.HardState](),
		full:    newSyncReporter[bool](),
		pending: gateway.NewPendingRequests(),
		meters:  newMeters(),
		written: make(chan struct{}),
		ctx:     ctx,
	}
	if n.cfg.Advertise == "" {
		n.cfg.Advertise = cfg.Listen
	}
	core = core.WithFormation(formation.New(time.Now(), formation.Config{
		Self:   n.self(),
		Voters: cfg.Voters,
		Group:  util.NewID(),
	}, stored))
	n.loop = loop.New(loop.Config[control.Core, control.Event, control.Effect]{
		Initial:     core,
		Step:        control.Core.Step,
		Perform:     n.perform,
		Clock:       time.Now,
		QueueLength: eventQueueLength,
		Observe:     n.observeEvent,
	})
	n.createComponents(cfg.Logger)
	n.observer = newLoopObserver(n.logger, n.meters)
	n.keeper = newKeeper(time.Now(), n.loop.State, func(m control.SendMessage) {
		n.peers.QueueMessage(m.Address, m.SenderAddress, m.Message)
	})
	n.logger.Info().Str("id", folder.ID()).Int("entries", len(recovered.StoredState.Entries)).
		Uint64("snapshot", recovered.StoredState.Snapshot.Index).Int64("torn-bytes", recovered.TornBytes).
		Uint64("term", recovered.StoredState.Hard.Term).Bool("rewritten", recovered.IsRewritten).
		Msg("Recovered the log and the snapshot from the data folder.")
	return n, nil
}

func newCore(cfg Config, id string, r disk.Recovered) (c control.Core, err error) {
	state := plantainladder.NewState()
	if r.State != nil {
		if state, err = wire.UnmarshalState(r.State); err != nil {
			return c, err
		}
	}
	rep := consensus.NewReplica(time.Now(), consensus.Config{
		ID:                  id,
		ElectionTimeout:     electionTimeout,
		Heartbeat:           heartbeatInterval,
		MaxBatchEntries:     maxBatchEntries,
		MaxBatchBytes:       maxBatchBytes,
		MaxUncommitted:      maxUncommitted,
		MaxUncommittedBytes: cfg.boundByDisk(maxUncommittedBytes, uncommittedDiskPart),
		MaxCommandBytes:     maxCommandBytes,
		MaxInflightBytes:    maxInflightBytes,
		MaxApplyEntries:     maxApplyEntries,
		MaxApplyBytes:       maxApplyBytes,
	}, r.StoredState)
	return control.NewCore(control.Config{
		Codec: control.Codec{
			Encode: wire.MarshalEnvelope,
			Decode: wire.UnmarshalEnvelope,
		},
		SnapshotEvery:   uint64(cfg.SnapshotEvery),
		SnapshotBytes:   cfg.boundByDisk(snapshotBytes, snapshotDiskPart),
		TrailingEntries: trailingEntries,
		TrailingBytes:   cfg.boundByDisk(trailingBytes, trailingDiskPart),
		Policy:          schedule.Guaranteed{},
		Dispatch:        cfg.Dispatch,
		Voters:          cfg.Voters,
		CatchUpDuration: cfg.CatchUpDuration,
	}, rep, state).WithSnapshotBytes(uint64(len(r.State))), nil
}

// createComponents creates the components that perform the effects of the control
// state.
func (n *Node) createComponents(logger zerolog.Logger) {
	n.writer = disk.NewWriter(disk.WriterConfig{
		Folder:          n.folder,
		Log:             n.log,
		EntriesSynced:   n.synced.report,
		HardStateSynced: n.hard.report,
		ObserveSync:     n.meters.observeSync,
		FullChanged:     n.reportDiskFull,
		ReserveBytes:    reserveBytes,
		ReserveFailed: func(err error) {
			n.logger.Warn().Err(err).Msg("No room could be kept free for snapshots and votes.")
		},
		QueueLength: diskQueueLength,
	})
	exportDisk(n.writer.Usage, n.folder.Space)
	n.peers = replica.NewPeers(replica.Config{
		Token:  n.cfg.ClusterToken,
		Source: n.cfg.Source,
		Self:   n.folder.ID(),
		Folder: n.folder,
		Logger: util.ForComponent(logger, "controller/replica"),
		SnapshotSent: func(to string) {
			_ = n.loop.Post(n.ctx, control.SnapshotSent{
				To: to,
			})
		},
		CountBytes: n.meters.countBytes,
	})
	n.pusher = worker.NewPusher(worker.Config{
		Token:  n.cfg.WorkerToken,
		Source: n.cfg.Source,
		Logger: util.ForComponent(logger, "controller/worker"),
		PushAnswered: func(e control.PushAnswered) {
			_ = n.loop.Post(n.ctx, e)
		},
	})
}

// observeEvent records the time that an event took. Only the event loop calls it.
func (n *Node) observeEvent(t timing) {
	n.observer.observe(t)
	if _, isTick := t.Event.(control.Tick); isTick {
		n.keeper.recordTick(t.EndedAt)
	}
}

// reportDiskFull logs and counts that the disk is full, or logs that it has room again, and
// tells the core.
func (n *Node) reportDiskFull(r disk.FullReport) {
	n.full.report(r.Err != nil)
	if r.Err == nil {
		n.logger.Info().Dur("waited", r.Waited).Msg("Disk has room again.")
		return
	}
	n.meters.diskFull.Inc()
	usage := n.writer.Usage()
	line := n.logger.Warn().Err(r.Err).Int64("log-bytes", usage.LogBytes).Int64("snapshot-bytes", usage.SnapshotBytes).
		Int("waiting-entries", r.Entries).Int64("waiting-bytes", r.Bytes)
	if space, ok := n.folder.Space(); ok {
		line = line.Int64("free-bytes", space.Free)
	}
	line.Msg("Disk is full; writes wait.")
}

// self returns this controller as a member of the group.
func (n *Node) self() member.Member {
	return member.Member{
		ID:      n.folder.ID(),
		Address: n.cfg.Advertise,
	}
}

// joiner returns the Joiner that adds this controller to the group.
func (n *Node) joiner() *replica.Joiner {
	return replica.NewJoiner(replica.JoinerConfig{
		Peers: replica.Config{
			Token:      n.cfg.ClusterToken,
			Source:     n.cfg.Source,
			Logger:     util.ForComponent(n.cfg.Logger, "controller/replica"),
			CountBytes: n.meters.countBytes,
		},
		Self:      n.self(),
		FormGroup: n.cfg.FormGroup,
		Seeds:     n.cfg.Seeds,
		Post:      n.loop.Post,
		Core:      n.loop.State,
	})
}

// Run serves until ctx ends, stopping is closed, or the HTTP server or the disk
// fails. When stopping is closed, it transfers the leadership to another
// controller first.
func (n *Node) Run(ctx context.Context, stopping <-chan struct{}) (err error) {
	defer util.Annotate(&err, "controller: run")
	server, err := http1.Listen(n.cfg.Listen, http1.Config{
		Handler:        n.handler(),
		HeaderTimeout:  shutdownTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		Limits:         n.cfg.Intake.Limits,
		RefusesBodies:  true,
		CountRefusal:   n.cfg.Intake.CountRefusal,
		CountCalls:     func(http1.Outcome, int) {},
		Logger:         n.logger,
	})
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve() }()
	go func() {
		defer close(n.written)
		failed <- n.writer.Run(ctx)
	}()
	go n.synced.run(ctx, n.loop.Post, entriesSynced)
	go n.hard.run(ctx, n.loop.Post, hardStateSynced)
	go n.full.run(ctx, n.loop.Post, diskFullChanged)
	go n.peers.Run(ctx)
	go n.loop.Run(ctx)
	go n.keeper.run(ctx, time.Now)
	go n.loop.Tick(ctx, tickInterval, func() control.Event {
		now := time.Now()
		return control.Tick{
			Jitter:    rand.N(electionTimeout),
			TimeOfDay: now.Round(0),
			QueuedAt:  now,
		}
	})
	if n.cfg.Voters > 0 {
		go n.joiner().Run(ctx)
	}
	n.logger.Info().Str("address", server.Address()).Msg("Controller is listening.")
	select {
	case err = <-failed:
		return err
	case <-stopping:
		n.logger.Info().Msg("Controller is stopping.")
		n.TransferLeadership(ctx)
		return server.Close()
	}
}

// Written returns a channel that is closed once nothing is written to the data folder any
// more, after the context of Run has ended.
func (n *Node) Written() <-chan struct{} {
	return n.written
}

// TransferLeadership steps down as leader and waits until this controller no
// longer leads, the timeout has passed or ctx ends.
func (n *Node) TransferLeadership(ctx context.Context) {
	_ = n.loop.Post(ctx, control.StepDown{})
	deadline := time.NewTimer(shutdownTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n.loop.State().Replica().IsLeader() {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-ticker.C:
		}
	}
}

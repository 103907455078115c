package dispatch

import (
	"time"

	"github.com/benbjohnson/immutable"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/speed"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Config holds the timing and the placement settings of a Dispatcher.
type Config struct {
	// LeaseDuration is how long a worker may keep its runs going without
	// hearing from a leader. Zero disables the dispatch of workflows. Source:
	// the workers' longest lease, less the time of two renewals.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that workers grant. An order that is meant
	// for an earlier incarnation may ask for any later time on the worker's clock.
	MaxLeaseDuration time.Duration
	// MaxOrderDelay is the longest time after which a worker may carry out an order that it
	// leaves unanswered. It is at least MaxLeaseDuration.
	MaxOrderDelay time.Duration
	// AnnounceInterval is the period of the workers' announcements.
	AnnounceInterval time.Duration
	// MaxStopDuration is the longest time a worker takes to stop a run.
	MaxStopDuration time.Duration
	// CrossRackFactor is the factor by which the run time grows for a task that
	// runs off the rack of its data, or for a rack-sensitive gang that spans
	// several racks.
	CrossRackFactor float64
	// MaxRackWait bounds how long a task group waits for its rack while workers
	// elsewhere have capacity; zero for no bound.
	MaxRackWait time.Duration
	// LimitOverage is the share by which a gang that exceeds the limit of its
	// organisation by itself may do so.
	LimitOverage float64
	// HasInventory is true if the platform has an inventory of machines to read.
	HasInventory bool
	// Policy decides on placements; nil means GuaranteeAware.
	Policy Policy
}

// IsEnabled reports whether workflows are dispatched at all.
func (cfg Config) IsEnabled() bool {
	return cfg.LeaseDuration > 0
}

// Timing of orders and rounds.
const (
	// leaseMargin covers the difference between a worker's clock and its
	// timers.
	leaseMargin = 100 * time.Millisecond
	// startRetryInterval is how long the leader waits for the answer to a start
	// before it sends the start again: several times the longest round trip
	// between data centres.
	startRetryInterval = 300 * time.Millisecond
	// startTimeout is how long the leader tries to start a run. It is well
	// below the three seconds for which the other members of a gang wait.
	startTimeout = 1200 * time.Millisecond
	// stopRetryInterval is the same as startRetryInterval, for stops.
	stopRetryInterval = 300 * time.Millisecond
	// MaxRenewWait is the longest time a worker may hold back its answer to a
	// Renew while no run ends. Source: the platform's protocol.
	MaxRenewWait = 2 * time.Second
	// renewRetryInterval is the pause after a Renew that was not answered.
	renewRetryInterval = 250 * time.Millisecond
	// renewInterval is the longest time between two renewals of a lease while
	// ended runs of the worker wait to be committed.
	renewInterval = 1500 * time.Millisecond
	// maxRenewalSilence is how long the lease of a worker that does not answer
	// is still renewed. With unlimited renewal its runs could never be declared
	// lost.
	maxRenewalSilence = 2500 * time.Millisecond
	// brokenGangGrace is how long the remaining members of a broken gang may
	// take to end by themselves before they are stopped.
	brokenGangGrace = 400 * time.Millisecond
	// roundTimeout is how long a round may take to be committed before its
	// contents are proposed again.
	roundTimeout = 3 * time.Second
)

// A workerIncarnation identifies one incarnation of a worker.
type workerIncarnation struct {
	id          string
	incarnation int64
}

// A pendingRound is a round that was proposed and is not committed yet.
type pendingRound struct {
	id                 uint64
	proposedAt         time.Time
	committedSequences map[workerIncarnation]uint64
	placements         []workflow.Placement
}

// A Dispatcher is the leader's immutable, unreplicated knowledge of the workers
// and of the orders that it sent them. Reconcile derives the next orders and
// the next round from it.
type Dispatcher struct {
	cfg           Config
	term          uint64
	termStartedAt time.Time
	views         *immutable.SortedMap[string, *workerView]
	pending       *pendingRound
	lastRoundID   uint64
	// runTimes predicts run times from those of earlier runs.
	runTimes runTimes
	// samples holds the evidence of the workers' speeds, and spreads how they differ in
	// each pool.
	samples          stepSamples
	samplesDroppedAt time.Time
	spreads          map[string]speed.Spread
	mediansUpdatedAt time.Time
	// hasAdoptedSpeeds is true once the speeds were taken over that earlier leaders learned.
	hasAdoptedSpeeds bool
	// speedsComparedAt is when the speeds were last compared with the replicated ones.
	speedsComparedAt time.Time
	// interference is what is known about kinds of task that slow each other down.
	interference kindInterference
	// isDirty is true if something has changed since the last Reconcile.
	isDirty bool
	// index belongs to the ClusterState of the last Reconcile.
	index *stateIndex
	// placedAt and placedVersion are the time and the state version of the last
	// placement pass.
	placedAt      time.Time
	placedVersion uint64
	// waitsReportedAt and heldReportedAt are when task groups that wait, and runs
	// that have to be waited for, were last logged.
	waitsReportedAt time.Time
	heldReportedAt  time.Time
	inventory       inventory
	// decisionRecords holds the decisions made since the last Reconcile.
	decisionRecords []DecisionRecord
}

// withNote returns d with a decision to be logged.
func (d Dispatcher) withDecisionRecord(n DecisionRecord) Dispatcher {
	d.decisionRecords = append(d.decisionRecords[:len(d.decisionRecords):len(d.decisionRecords)], n)
	return d
}

// roundsPerTerm keeps the round IDs of different terms apart.
const roundsPerTerm = 1 << 32

// NewDispatcher returns the dispatcher of a leader whose term begins now.
func NewDispatcher(now time.Time, cfg Config, term uint64) Dispatcher {
	if cfg.Policy == nil {
		cfg.Policy = GuaranteeAware{}
	}
	cfg.MaxLeaseDuration = max(cfg.MaxLeaseDuration, cfg.LeaseDuration)
	cfg.MaxOrderDelay = max(cfg.MaxOrderDelay, cfg.MaxLeaseDuration)
	return Dispatcher{
		cfg:           cfg,
		term:          term,
		termStartedAt: now,
		views:         immutable.NewSortedMap[string, *workerView](nil),
		lastRoundID:   term * roundsPerTerm,
		isDirty:       true,

		runTimes: newRunTimes(),
		samples:  newStepSamples(),
		spreads:  map[string]speed.Spread{},

		interference: newKindInterference(),
	}
}

// WithDirty returns d marked as in need of a Reconcile.
func (d Dispatcher) WithDirty() Dispatcher {
	d.isDirty = true
	return d
}

// IsDirty reports whether something has changed since the last Reconcile.
func (d Dispatcher) IsDirty() bool {
	return d.isDirty
}

// HasPendingRound reports whether a round was proposed and is not committed
// yet.
func (d Dispatcher) HasPendingRound() bool {
	return d.pending != nil
}

// withView returns d with the view of a worker replaced. The map holds pointers
// to views, because each change copies a node of the map; the views they point
// to are never written.
func (d Dispatcher) withView(v workerView) Dispatcher {
	v.isChanged = false
	d.views = d.views.Set(v.worker.ID, &v)
	return d
}

// workerView returns the leader's view of a worker.
func (d Dispatcher) workerView(id string) (v workerView, ok bool) {
	p, ok := d.views.Get(id)
	if !ok {
		return v, false
	}
	return *p, true
}

// With returns d updated by an observation at the time now.
func (d Dispatcher) With(now time.Time, o Observation) Dispatcher {
	switch o := o.(type) {
	case WorkerAnnounced:
		return d.withAnnouncement(now, o)
	case OrderCompleted:
		return d.withAnswer(now, o)
	case InventoryRead:
		return d.withInventory(now, o)
	}
	return d
}

// withAnnouncement returns d after a worker's announcement. It ignores those of
// an earlier incarnation and those that arrive out of order.
func (d Dispatcher) withAnnouncement(now time.Time, r WorkerAnnounced) Dispatcher {
	v, ok := d.workerView(r.Worker.ID)
	switch {
	case !ok || r.Worker.Incarnation > v.worker.Incarnation:
		d = d.withDecisionRecord(DecisionRecord{
			Text:   "Worker announced a new incarnation.",
			Worker: r.Worker.ID,
			Reason: r.Worker.Address,
		})
		v = v.withSuccessor(newWorkerView(now, r.Worker))
		d.isDirty = true
	case r.Worker.Incarnation < v.worker.Incarnation || r.Sequence <= v.sequence:
		return d
	case r.Worker.Supersedes(v.worker):
		d = d.withDecisionRecord(DecisionRecord{
			Text:   "Worker announced a change.",
			Worker: r.Worker.ID,
			Reason: announcementReason(r.Worker),
			Age:    now.Sub(v.lastContact),
		})
		v.worker = r.Worker
		d.isDirty = true
	}
	v.sequence = r.Sequence
	v.lastContact, v.announcedAt = now, now
	v = v.withClockReading(now, d.cfg, r.ClockMS, false, false)
	return d.withView(v)
}

// announcementReason returns what a changed announcement is about, for the log.
func announcementReason(w pool.Worker) string {
	if w.Leaving {
		return "leaving"
	}
	return "registration"
}

// withClockReading returns v after a reading of the worker's clock. Up to the first
// direct reading in answer to the present fence, orders of earlier leaders and for earlier
// incarnations may have granted the longest lease, so that reading also sets the latest
// lease that may be in force.
func (v workerView) withClockReading(now time.Time, cfg Config, ms int64, direct, isFirstOfFence bool) workerView {
	if ms != 0 && (!v.clock.isKnown() || direct && !v.clock.isConfirmed || isFirstOfFence) {
		v.maxLeaseUntilMS = max(v.maxLeaseUntilMS, ms+(cfg.MaxLeaseDuration+leaseMargin).Milliseconds())
	}
	v.clock = v.clock.withReading(now, ms, direct)
	return v
}

// A ClusterState is the part of the committed state that dispatch reads.
type ClusterState struct {
	// Version rises with each change of the state. It is zero for a state that
	// is not committed yet.
	Version uint64
	// Workflows holds the active workflows in the order of submission.
	Workflows []workflow.Workflow
	// Workers holds the committed announcements of workers.
	Workers []pool.Worker
	// IsOutOfService reports whether a data centre is out of service.
	IsOutOfService func(dataCentre string) bool
	// GuaranteedTo returns how many accelerators are guaranteed to an
	// organisation.
	GuaranteedTo func(organisation string) int
	// LimitOf returns what an organisation may have running, in which 0 means that a
	// resource is not limited, and WeightOf its share; zero for one without.
	LimitOf  func(organisation string) pool.ResourceVector
	WeightOf func(organisation string) float64
	// LastRound is the ID of the last committed round.
	LastRound uint64
}

// NewClusterState returns the part of s that dispatch reads.
func NewClusterState(s plantainladder.State) ClusterState {
	return ClusterState{
		Version:        s.Index(),
		Workflows:      s.ActiveWorkflows(),
		Workers:        s.PoolWorkers(),
		IsOutOfService: s.IsOutOfService,
		GuaranteedTo: func(organisation string) int {
			o, _ := s.Configuration().Organisation(organisation)
			return o.GuaranteedAccelerators
		},
		LimitOf: func(organisation string) pool.ResourceVector {
			o, _ := s.Configuration().Organisation(organisation)
			return o.Limit
		},
		WeightOf: func(organisation string) float64 {
			o, _ := s.Configuration().Organisation(organisation)
			return o.Weight
		},
		LastRound: s.LastRound(),
	}
}

package dispatch

import (
	"time"

	"github.com/benbjohnson/immutable"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Config bounds the decisions of a Dispatcher.
type Config struct {
	// LeaseDuration is how long a worker runs on without hearing from a leader. Source:
	// the workers' longest lease, less the time of two renewals.
	LeaseDuration time.Duration
	// AnnounceInterval is the period of workers' announcements.
	AnnounceInterval time.Duration
	// MaxStopDuration is the longest that a worker takes to stop a run.
	MaxStopDuration time.Duration
	// CrossRackFactor is how many times longer a task takes away from its data,
	// or a gang that is bound to a rack on several.
	CrossRackFactor float64
	// Policy decides on places; nil for GuaranteeAware.
	Policy Policy
}

// IsEnabled reports whether workflows are dispatched at all.
func (cfg Config) IsEnabled() bool {
	return cfg.LeaseDuration > 0
}

// Timing of orders.
const (
	// leaseMargin covers the time between a worker's clock and its timers.
	leaseMargin = 100 * time.Millisecond
	// startRetryInterval is how long an answer to a start may take before it is sent
	// again: several times the longest round trip between data centres.
	startRetryInterval = 300 * time.Millisecond
	// startTimeout is how long a start is tried. A gang's other members wait
	// three seconds for it.
	startTimeout = 1200 * time.Millisecond
	// stopRetryInterval is as startRetry, for stops.
	stopRetryInterval = 300 * time.Millisecond
	// MaxRenewWait is the longest that a worker may wait for an end before it
	// answers. Source: the workers' contract.
	MaxRenewWait = 2 * time.Second
	// renewRetryInterval is the pause after a hold without an answer.
	renewRetryInterval = 250 * time.Millisecond
	// renewInterval bounds the time between two renewals of a lease while the
	// ends of a worker wait for their commit.
	renewInterval = 1500 * time.Millisecond
	// maxRenewalSilence is how long a silent worker's lease is renewed on: longer
	// and its tasks could never be given up.
	maxRenewalSilence = 2500 * time.Millisecond
	// brokenGangGrace is how long the members of a broken gang may take to end by
	// themselves.
	brokenGangGrace = 400 * time.Millisecond
	// roundTimeout is how long a round may take to be committed before its
	// contents are proposed again.
	roundTimeout = 3 * time.Second
)

// A workerIncarnation names one workerIncarnation of a worker.
type workerIncarnation struct {
	id          string
	incarnation int64
}

// A pendingRound is a round that was proposed and is not committed yet.
type pendingRound struct {
	id         uint64
	proposedAt time.Time
	cursors    map[workerIncarnation]uint64
	placements []workflow.Placement
}

// A Dispatcher is what a leader knows of workers.
type Dispatcher struct {
	cfg           Config
	term          uint64
	termStartedAt time.Time
	views         *immutable.SortedMap[string, *workerView]
	pending       *pendingRound
	lastRoundID   uint64
	// runTimes is what was learned of run times.
	runTimes runTimes
	// isDirty is true if something happened since the last sweep.
	isDirty bool
	// index is derived from the last scene.
	index *stateIndex
	// placedAt and plannedFor are when places were last given, and for which
	// scene.
	placedAt      time.Time
	placedVersion uint64
	// notes are the decisions since the last sweep.
	notes []Note
}

// withNote returns b with a decision for the log.
func (d Dispatcher) withNote(n Note) Dispatcher {
	d.notes = append(d.notes[:len(d.notes):len(d.notes)], n)
	return d
}

// roundsPerTerm separates the round numbers of two terms.
const roundsPerTerm = 1 << 32

// NewDispatcher returns the board of a leader whose term begins now.
func NewDispatcher(now time.Time, cfg Config, term uint64) Dispatcher {
	if cfg.Policy == nil {
		cfg.Policy = GuaranteeAware{}
	}
	return Dispatcher{
		cfg:           cfg,
		term:          term,
		termStartedAt: now,
		views:         immutable.NewSortedMap[string, *workerView](nil),
		lastRoundID:   term * roundsPerTerm,
		isDirty:       true,

		runTimes: newRunTimes(),
	}
}

// WithDirty returns b marked for a sweep.
func (d Dispatcher) WithDirty() Dispatcher {
	d.isDirty = true
	return d
}

// IsDirty reports whether something happened since the last sweep.
func (d Dispatcher) IsDirty() bool {
	return d.isDirty
}

// HasPendingRound reports whether a round is on its way to be committed.
func (d Dispatcher) HasPendingRound() bool {
	return d.pending != nil
}

// withView returns b with a view written. Views are held by pointer, since a
// change copies a node of the map; nothing writes through the pointers.
func (d Dispatcher) withView(v workerView) Dispatcher {
	v.isChanged = false
	d.views = d.views.Set(v.worker.ID, &v)
	return d
}

// workerView returns what is known of a worker.
func (d Dispatcher) workerView(id string) (v workerView, ok bool) {
	p, ok := d.views.Get(id)
	if !ok {
		return v, false
	}
	return *p, true
}

// With returns b after an observation.
func (d Dispatcher) With(now time.Time, o Observation) Dispatcher {
	switch o := o.(type) {
	case WorkerAnnounced:
		return d.withAnnouncement(now, o)
	case OrderCompleted:
		return d.withAnswer(now, o)
	}
	return d
}

func (d Dispatcher) withAnnouncement(now time.Time, r WorkerAnnounced) Dispatcher {
	v, ok := d.workerView(r.Worker.ID)
	switch {
	case !ok || r.Worker.Incarnation > v.worker.Incarnation:
		d = d.withNote(Note{
			Text:   "Worker announces a new life.",
			Worker: r.Worker.ID,
			Reason: r.Worker.Address,
		})
		v = newWorkerView(r.Worker)
		d.isDirty = true
	case r.Worker.Incarnation < v.worker.Incarnation || r.Sequence <= v.sequence:
		return d
	case r.Worker.Supersedes(v.worker):
		d = d.withNote(Note{
			Text:   "Worker announces a change.",
			Worker: r.Worker.ID,
			Reason: announcementReason(r.Worker),
			Age:    now.Sub(v.lastContact),
		})
		v.worker = r.Worker
		d.isDirty = true
	}
	v.sequence = r.Sequence
	v.lastContact = now
	v = v.withClockReading(now, d.cfg, r.ClockMS, false)
	return d.withView(v)
}

func announcementReason(w pool.Worker) string {
	if w.Leaving {
		return "leaving"
	}
	return "registration"
}

// withClockReading returns v after a reading of its clock. Leaders before this one may
// have given a lease of full length right before the first reading.
func (v workerView) withClockReading(now time.Time, cfg Config, ms int64, direct bool) workerView {
	if ms != 0 && !v.clock.isKnown() {
		v.maxLeaseUntilMS = max(v.maxLeaseUntilMS, ms+cfg.LeaseDuration.Milliseconds()+leaseMargin.Milliseconds())
	}
	v.clock = v.clock.withReading(now, ms, direct)
	return v
}

// A ClusterState is the committed state as far as it concerns workflows.
type ClusterState struct {
	// Version rises with each change of the state; zero for a scene that is not
	// committed.
	Version uint64
	// Workflows holds the unsettled workflows in the order of submission.
	Workflows []workflow.Workflow
	// Workers holds the committed announcements.
	Workers []pool.Worker
	// IsOutOfService reports whether a data centre is out of service.
	IsOutOfService func(dataCentre string) bool
	// GuaranteedTo returns the accelerators that an organisation is guaranteed.
	GuaranteedTo func(organisation string) int
	// LastRound is the last round that was committed.
	LastRound uint64
}

// NewClusterState returns the scene of a state.
func NewClusterState(s plantainladder.State) ClusterState {
	return ClusterState{
		Version:        s.Index(),
		Workflows:      s.UnsettledWorkflows(),
		Workers:        s.PoolWorkers(),
		IsOutOfService: s.IsOut,
		GuaranteedTo: func(organisation string) int {
			o, _ := s.Configuration().Organisation(organisation)
			return o.GuaranteedAccelerators
		},
		LastRound: s.LastRound(),
	}
}

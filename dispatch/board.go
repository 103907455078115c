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
	// startRetry is how long an answer to a start may take before it is sent
	// again: several times the longest round trip between data centres.
	startRetry = 300 * time.Millisecond
	// startPatience is how long a start is tried. A gang's other members wait
	// three seconds for it.
	startPatience = 1200 * time.Millisecond
	// stopRetry is as startRetry, for stops.
	stopRetry = 300 * time.Millisecond
	// MaxRenewWait is the longest that a worker may wait for an end before it
	// answers. Source: the workers' contract.
	MaxRenewWait = 2 * time.Second
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 250 * time.Millisecond
	// renewEvery bounds the time between two renewals of a lease while the
	// ends of a worker wait for their commit.
	renewEvery = 1500 * time.Millisecond
	// trustSilence is how long a silent worker's lease is renewed on: longer
	// and its tasks could never be given up.
	trustSilence = 2500 * time.Millisecond
	// brokenGrace is how long the members of a broken gang may take to end by
	// themselves.
	brokenGrace = 400 * time.Millisecond
	// roundPatience is how long a round may take to be committed before its
	// contents are proposed again.
	roundPatience = 3 * time.Second
)

// A life names one life of a worker.
type life struct {
	id   string
	born int64
}

// A pendingRound is a round that was proposed and is not committed yet.
type pendingRound struct {
	id         uint64
	at         time.Time
	cursors    map[life]uint64
	placements []workflow.Placement
}

// A Dispatcher is what a leader knows of workers.
type Dispatcher struct {
	cfg     Config
	term    uint64
	since   time.Time
	views   *immutable.SortedMap[string, *view]
	pending *pendingRound
	rounds  uint64
	// estimates is what was learned of run times.
	estimates estimates
	// isDirty is true if something happened since the last sweep.
	isDirty bool
	// index is derived from the last scene.
	index *sceneIndex
	// plannedAt and plannedFor are when places were last given, and for which
	// scene.
	plannedAt  time.Time
	plannedFor uint64
	// notes are the decisions since the last sweep.
	notes []Note
}

// withNote returns b with a decision for the log.
func (b Dispatcher) withNote(n Note) Dispatcher {
	b.notes = append(b.notes[:len(b.notes):len(b.notes)], n)
	return b
}

// roundsPerTerm separates the round numbers of two terms.
const roundsPerTerm = 1 << 32

// NewDispatcher returns the board of a leader whose term begins now.
func NewDispatcher(now time.Time, cfg Config, term uint64) Dispatcher {
	if cfg.Policy == nil {
		cfg.Policy = GuaranteeAware{}
	}
	return Dispatcher{
		cfg:     cfg,
		term:    term,
		since:   now,
		views:   immutable.NewSortedMap[string, *view](nil),
		rounds:  term * roundsPerTerm,
		isDirty: true,

		estimates: newEstimates(),
	}
}

// WithDirty returns b marked for a sweep.
func (b Dispatcher) WithDirty() Dispatcher {
	b.isDirty = true
	return b
}

// IsDirty reports whether something happened since the last sweep.
func (b Dispatcher) IsDirty() bool {
	return b.isDirty
}

// HasPendingRound reports whether a round is on its way to be committed.
func (b Dispatcher) HasPendingRound() bool {
	return b.pending != nil
}

// withView returns b with a view written. Views are held by pointer, since a
// change copies a node of the map; nothing writes through the pointers.
func (b Dispatcher) withView(v view) Dispatcher {
	v.isChanged = false
	b.views = b.views.Set(v.worker.ID, &v)
	return b
}

// view returns what is known of a worker.
func (b Dispatcher) view(id string) (v view, ok bool) {
	p, ok := b.views.Get(id)
	if !ok {
		return v, false
	}
	return *p, true
}

// With returns b after an observation.
func (b Dispatcher) With(now time.Time, o Observation) Dispatcher {
	switch o := o.(type) {
	case WorkerAnnounced:
		return b.withReport(now, o)
	case OrderCompleted:
		return b.withAnswer(now, o)
	}
	return b
}

func (b Dispatcher) withReport(now time.Time, r WorkerAnnounced) Dispatcher {
	v, ok := b.view(r.Worker.ID)
	switch {
	case !ok || r.Worker.Incarnation > v.worker.Incarnation:
		b = b.withNote(Note{
			Text:   "Worker announces a new life.",
			Worker: r.Worker.ID,
			Reason: r.Worker.Address,
		})
		v = newView(r.Worker)
		b.isDirty = true
	case r.Worker.Incarnation < v.worker.Incarnation || r.Sequence <= v.sequence:
		return b
	case r.Worker.Supersedes(v.worker):
		b = b.withNote(Note{
			Text:   "Worker announces a change.",
			Worker: r.Worker.ID,
			Reason: leavingReason(r.Worker),
			Age:    now.Sub(v.heard),
		})
		v.worker = r.Worker
		b.isDirty = true
	}
	v.sequence = r.Sequence
	v.heard = now
	v = v.withClock(now, b.cfg, r.ClockMS, false)
	return b.withView(v)
}

func leavingReason(w pool.Worker) string {
	if w.Leaving {
		return "leaving"
	}
	return "registration"
}

// withClock returns v after a reading of its clock. Leaders before this one may
// have given a lease of full length right before the first reading.
func (v view) withClock(now time.Time, cfg Config, ms int64, direct bool) view {
	if ms != 0 && !v.clock.isKnown() {
		v.promised = max(v.promised, ms+cfg.LeaseDuration.Milliseconds()+leaseMargin.Milliseconds())
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

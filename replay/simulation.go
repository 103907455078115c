// Package replay plays a load against the real decisions on workflows: its own
// model of workers, racks and arrivals drives a dispatch.Dispatcher in simulated
// time. It finds broken promises and compares policies; it is no simulator of
// the controllers.
package replay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Config describes a World.
type Config struct {
	// Seed decides all luck.
	Seed uint64
	// DataCentres, Racks and WorkersPerRack shape the fleet; racks are spread
	// over the data centres.
	DataCentres, Racks, WorkersPerRack int
	// Capacity is each worker's.
	Capacity pool.ResourceVector
	// Queues are the queues of the one pool.
	Queues []configuration.Queue
	// Organisations are the organisations.
	Organisations []configuration.Organisation
	// MaxStopDuration is how long a worker takes to stop a run.
	MaxStopDuration time.Duration
	// CrossRackFactor is as in dispatch.Config.
	CrossRackFactor float64
	// MaxReclaimWait is how soon an urgent workflow inside its organisation's
	// guarantee has to begin; zero checks nothing.
	MaxReclaimWait time.Duration
	// Policy is as in dispatch.Config.
	Policy dispatch.Policy
}

// Timing of the model.
const (
	tickDuration      = 10 * time.Millisecond
	commitDelay       = 20 * time.Millisecond
	networkDelay      = 5 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	leaseDuration     = 8500 * time.Millisecond
	poolName          = "pool"
)

// epoch is when the simulated time begins.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// An Arrival is a workflow that is handed in.
type Arrival struct {
	// At is when.
	At time.Duration
	// Queue and Organisation name where and by whom.
	Queue, Organisation string
	// Spec is the workflow without identifier.
	Spec workflow.Spec
	// Work holds the true run time of each step's tasks.
	Work []time.Duration
	// OddTaskReduction is the part of the work that every other task has less, from 0 to 1.
	OddTaskReduction float64
	// AlwaysFails is true if all its runs fail.
	AlwaysFails bool
	// CancelAfter is when it is given up after it was handed in; zero for never.
	CancelAfter time.Duration
}

// A event is something that takes place at a time.
type event struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

// A Simulation is a simulated fleet.
type Simulation struct {
	cfg           Config
	rng           *rand.Rand
	now           time.Duration
	state         plantainladder.State
	dispatcher    dispatch.Dispatcher
	logIndex      uint64
	workers       []*simWorker
	workersByID   map[string]*simWorker
	events        []event
	eventSequence int
	arrivals      map[string]Arrival
	running       map[workflow.TaskKey]map[workflow.RunKey]string
	// completedBy holds the run by which a task ended well; isNoted the tasks whose end
	// was acknowledged; again the runs that ended well, without that being
	// acknowledged, before their task started again.
	completedBy    map[workflow.TaskKey]workflow.RunKey
	isAcknowledged map[workflow.TaskKey]bool
	isRestarted    map[workflow.RunKey]bool
	violations     []string
	term           uint64
	records        map[string]*Record
	// stalledUntil is when the disks answer again, by when they began to stall.
	stalledFrom, stalledUntil time.Duration
	// isWaitReported holds the workflows whose wait was found too long.
	isWaitReported map[string]bool
	// outOfServiceSince is when data centres were taken out of service.
	outOfServiceSince map[string]time.Duration
	// overGuaranteeAt is when an organisation last asked for more than its guarantee.
	overGuaranteeAt map[string]time.Time
	// reconcilePasses counts the reconcilePasses; sweepTime is the processor's time for them.
	reconcilePasses int
	reconcileTime   time.Duration
	// wastedWork is the work that was thrown away, in weighted core-seconds.
	wastedWork float64
	// stoppedRuns counts the runs that were stopped.
	stoppedRuns int
}

// A Record is what became of one workflow.
type Record struct {
	// Arrival is what was handed in.
	Arrival Arrival
	// StartedAt and EndedAt are when it first ran and was decided, negative for never.
	StartedAt, EndedAt time.Duration
	// Status is its last state.
	Status workflow.Status
}

// NewSimulation returns a fleet at rest.
func NewSimulation(cfg Config) *Simulation {
	sim := &Simulation{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
		state:          plantainladder.NewState(),
		workersByID:    map[string]*simWorker{},
		arrivals:       map[string]Arrival{},
		running:        map[workflow.TaskKey]map[workflow.RunKey]string{},
		completedBy:    map[workflow.TaskKey]workflow.RunKey{},
		isAcknowledged: map[workflow.TaskKey]bool{},
		isRestarted:    map[workflow.RunKey]bool{},
		records:        map[string]*Record{},

		isWaitReported:    map[string]bool{},
		outOfServiceSince: map[string]time.Duration{},
		overGuaranteeAt:   map[string]time.Time{},
		term:              1,
	}
	sim.dispatcher = sim.newDispatcher(0)
	for r := range cfg.Racks {
		for n := range cfg.WorkersPerRack {
			sim.addWorker(r, n)
		}
	}
	sim.apply(0, plantainladder.PutConfiguration{
		Document: configuration.Document{
			Version: 1,
			Queues:  cfg.Queues,
			Pools: []configuration.Pool{
				{
					Name: poolName,
				},
			},
			Organisations: cfg.Organisations,
		},
	})
	return sim
}

func (sim *Simulation) newDispatcher(now time.Duration) dispatch.Dispatcher {
	return dispatch.NewDispatcher(sim.at(now), dispatch.Config{
		LeaseDuration:    leaseDuration,
		AnnounceInterval: heartbeatInterval,
		MaxStopDuration:  sim.cfg.MaxStopDuration,
		CrossRackFactor:  sim.cfg.CrossRackFactor,
		Policy:           sim.cfg.Policy,
	}, sim.term)
}

func (sim *Simulation) addWorker(rack, n int) {
	s := &simWorker{
		simulation: sim,
		pool: pool.Worker{
			ID:          fmt.Sprintf("w-%02d-%02d", rack, n),
			Incarnation: 1,
			Pool:        poolName,
			Address:     fmt.Sprintf("10.0.%d.%d:1", rack, n),
			DataCentre:  "dc-" + strconv.Itoa(rack%sim.cfg.DataCentres),
			Labels: []string{
				"kind", "rack-" + strconv.Itoa(rack),
			},
			Capacity: sim.cfg.Capacity,
		},
		clockOffset: time.Duration(sim.rng.IntN(100_000)) * time.Millisecond,
		runs:        map[workflow.RunKey]*execution{},
		blockedRuns: map[workflow.TaskKey]int{},
		endedAt:     map[uint64]time.Duration{},
	}
	sim.workers = append(sim.workers, s)
	sim.workersByID[s.pool.ID] = s
	sim.scheduleAt(time.Duration(sim.rng.IntN(int(heartbeatInterval))), s.announce)
}

func (sim *Simulation) at(now time.Duration) time.Time {
	return epoch.Add(now)
}

func (sim *Simulation) scheduleAt(at time.Duration, do func(now time.Duration)) {
	sim.eventSequence++
	sim.events = append(sim.events, event{
		at:  at,
		seq: sim.eventSequence,
		do:  do,
	})
}

// ReconcilePasses returns the number of sweeps.
func (sim *Simulation) ReconcilePasses() int {
	return sim.reconcilePasses
}

// WastedWork returns the work that was thrown away, in weighted core-seconds.
func (sim *Simulation) WastedWork() float64 {
	return sim.wastedWork
}

// StoppedRuns returns the number of runs that were stopped.
func (sim *Simulation) StoppedRuns() int {
	return sim.stoppedRuns
}

// ReconcileTime returns how long all sweeps took on this machine.
func (sim *Simulation) ReconcileTime() time.Duration {
	return sim.reconcileTime
}

// Workers returns the identifiers of the workers.
func (sim *Simulation) Workers() (ids []string) {
	for _, s := range sim.workers {
		ids = append(ids, s.pool.ID)
	}
	return ids
}

// LastRun returns the number of the last run of a task of a workflow's first
// step.
func (sim *Simulation) LastRun(id string, index int) int {
	f, _ := sim.state.Workflow(id)
	t, _ := f.Task(workflow.TaskKey{
		Workflow: id,
		Index:    index,
	})
	return t.Run
}

// Submit lets a workflow arrive.
func (sim *Simulation) Submit(id string, a Arrival) {
	sim.arrivals[id] = a
	sim.records[id] = &Record{
		Arrival:   a,
		StartedAt: -1,
		EndedAt:   -1,
	}
	a.Spec.ID, a.Spec.Queue = id, a.Queue
	sim.scheduleAt(a.At+commitDelay, func(now time.Duration) {
		sim.apply(now, plantainladder.SubmitWorkflow{
			Spec:  a.Spec,
			Token: a.Organisation,
		})
	})
	if a.CancelAfter > 0 {
		sim.scheduleAt(a.At+a.CancelAfter, func(now time.Duration) {
			sim.apply(now, plantainladder.CancelWorkflow{
				ID:    id,
				Queue: a.Queue,
				Token: a.Organisation,
			})
		})
	}
}

func (sim *Simulation) apply(now time.Duration, c plantainladder.Command) {
	sim.logIndex++
	next, o := sim.state.Apply(sim.logIndex, plantainladder.Envelope{
		At:      sim.at(now),
		Command: c,
	})
	if !o.IsAccepted() {
		sim.recordViolation(now, "command refused: %s %s", o.Reason, o.Detail)
	}
	sim.state = next
	sim.dispatcher = sim.dispatcher.WithDirty()
}

// Run lets time pass.
func (sim *Simulation) Run(until time.Duration) {
	for ; sim.now < until; sim.now += tickDuration {
		sim.runDueEvents()
		for _, s := range sim.workers {
			if !s.isShutDown {
				s.tick(sim.now, tickDuration)
			}
		}
		if sim.dispatcher.IsDirty() || sim.now%(5*tickDuration) == 0 {
			sim.reconcile()
		}
		sim.updateRecords()
		if sim.cfg.MaxReclaimWait > 0 && sim.now%(10*tickDuration) == 0 {
			sim.checkReclaimWaits()
		}
	}
}

func (sim *Simulation) runDueEvents() {
	slices.SortFunc(sim.events, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	for len(sim.events) > 0 && sim.events[0].at <= sim.now {
		next := sim.events[0]
		sim.events = sim.events[1:]
		next.do(sim.now)
	}
}

func (sim *Simulation) reconcile() {
	now := sim.at(sim.now)
	began := time.Now()
	dispatcher, plan := sim.dispatcher.Reconcile(now, dispatch.NewClusterState(sim.state), func(r plantainladder.Round) dispatch.ClusterState {
		return dispatch.NewClusterState(sim.state.WithRound(now, r))
	})
	sim.dispatcher = dispatcher
	sim.reconcilePasses++
	sim.reconcileTime += time.Since(began)
	for _, o := range plan.Orders {
		sim.sendOrder(o)
	}
	if plan.Round == nil {
		return
	}
	r, term := *plan.Round, sim.term
	at := sim.now + commitDelay
	if sim.now >= sim.stalledFrom && sim.now < sim.stalledUntil {
		at = sim.stalledUntil
	}
	sim.scheduleAt(at, func(now time.Duration) {
		if term == sim.term {
			sim.apply(now, r)
		}
	})
}

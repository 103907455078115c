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
	step        = 10 * time.Millisecond
	commitTakes = 20 * time.Millisecond
	tripTakes   = 5 * time.Millisecond
	reportEvery = 1500 * time.Millisecond
	leaseTime   = 8500 * time.Millisecond
	poolName    = "pool"
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

// A happening is something that takes place at a time.
type happening struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

// A Simulation is a simulated fleet.
type Simulation struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	state    plantainladder.State
	board    dispatch.Dispatcher
	index    uint64
	workers  []*simWorker
	byID     map[string]*simWorker
	queue    []happening
	sequence int
	arrivals map[string]Arrival
	running  map[workflow.TaskKey]map[workflow.RunKey]string
	// done holds the run by which a task ended well; isNoted the tasks whose end
	// was acknowledged; again the runs that ended well, without that being
	// acknowledged, before their task started again.
	done    map[workflow.TaskKey]workflow.RunKey
	isNoted map[workflow.TaskKey]bool
	again   map[workflow.RunKey]bool
	faults  []string
	term    uint64
	records map[string]*Record
	// stalledUntil is when the disks answer again, by when they began to stall.
	stalledFrom, stalledUntil time.Duration
	// isReported holds the workflows whose wait was found too long.
	isReported map[string]bool
	// outSince is when data centres were taken out of service.
	outSince map[string]time.Duration
	// beyondAt is when an organisation last asked for more than its guarantee.
	beyondAt map[string]time.Time
	// sweeps counts the sweeps; sweepTime is the processor's time for them.
	sweeps    int
	sweepTime time.Duration
	// waste is the work that was thrown away, in weighted core-seconds.
	waste float64
	// stops counts the runs that were stopped.
	stops int
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
	w := &Simulation{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
		state:    plantainladder.NewState(),
		byID:     map[string]*simWorker{},
		arrivals: map[string]Arrival{},
		running:  map[workflow.TaskKey]map[workflow.RunKey]string{},
		done:     map[workflow.TaskKey]workflow.RunKey{},
		isNoted:  map[workflow.TaskKey]bool{},
		again:    map[workflow.RunKey]bool{},
		records:  map[string]*Record{},

		isReported: map[string]bool{},
		outSince:   map[string]time.Duration{},
		beyondAt:   map[string]time.Time{},
		term:       1,
	}
	w.board = w.newBoard(0)
	for r := range cfg.Racks {
		for n := range cfg.WorkersPerRack {
			w.addWorker(r, n)
		}
	}
	w.apply(0, plantainladder.PutConfiguration{
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
	return w
}

func (w *Simulation) newBoard(now time.Duration) dispatch.Dispatcher {
	return dispatch.NewDispatcher(w.at(now), dispatch.Config{
		LeaseDuration:    leaseTime,
		AnnounceInterval: reportEvery,
		MaxStopDuration:  w.cfg.MaxStopDuration,
		CrossRackFactor:  w.cfg.CrossRackFactor,
		Policy:           w.cfg.Policy,
	}, w.term)
}

func (w *Simulation) addWorker(rack, n int) {
	s := &simWorker{
		world: w,
		pool: pool.Worker{
			ID:          fmt.Sprintf("w-%02d-%02d", rack, n),
			Incarnation: 1,
			Pool:        poolName,
			Address:     fmt.Sprintf("10.0.%d.%d:1", rack, n),
			DataCentre:  "dc-" + strconv.Itoa(rack%w.cfg.DataCentres),
			Labels: []string{
				"kind", "rack-" + strconv.Itoa(rack),
			},
			Capacity: w.cfg.Capacity,
		},
		offset:  time.Duration(w.rng.IntN(100_000)) * time.Millisecond,
		runs:    map[workflow.RunKey]*execution{},
		blocked: map[workflow.TaskKey]int{},
		endedAt: map[uint64]time.Duration{},
	}
	w.workers = append(w.workers, s)
	w.byID[s.pool.ID] = s
	w.later(time.Duration(w.rng.IntN(int(reportEvery))), s.report)
}

func (w *Simulation) at(now time.Duration) time.Time {
	return epoch.Add(now)
}

func (w *Simulation) later(at time.Duration, do func(now time.Duration)) {
	w.sequence++
	w.queue = append(w.queue, happening{
		at:  at,
		seq: w.sequence,
		do:  do,
	})
}

// ReconcilePasses returns the number of sweeps.
func (w *Simulation) ReconcilePasses() int {
	return w.sweeps
}

// WastedWork returns the work that was thrown away, in weighted core-seconds.
func (w *Simulation) WastedWork() float64 {
	return w.waste
}

// StoppedRuns returns the number of runs that were stopped.
func (w *Simulation) StoppedRuns() int {
	return w.stops
}

// ReconcileTime returns how long all sweeps took on this machine.
func (w *Simulation) ReconcileTime() time.Duration {
	return w.sweepTime
}

// Workers returns the identifiers of the workers.
func (w *Simulation) Workers() (ids []string) {
	for _, s := range w.workers {
		ids = append(ids, s.pool.ID)
	}
	return ids
}

// LastRun returns the number of the last run of a task of a workflow's first
// step.
func (w *Simulation) LastRun(id string, index int) int {
	f, _ := w.state.Workflow(id)
	t, _ := f.Task(workflow.TaskKey{
		Workflow: id,
		Index:    index,
	})
	return t.Run
}

// Submit lets a workflow arrive.
func (w *Simulation) Submit(id string, a Arrival) {
	w.arrivals[id] = a
	w.records[id] = &Record{
		Arrival:   a,
		StartedAt: -1,
		EndedAt:   -1,
	}
	a.Spec.ID, a.Spec.Queue = id, a.Queue
	w.later(a.At+commitTakes, func(now time.Duration) {
		w.apply(now, plantainladder.SubmitWorkflow{
			Spec:  a.Spec,
			Token: a.Organisation,
		})
	})
	if a.CancelAfter > 0 {
		w.later(a.At+a.CancelAfter, func(now time.Duration) {
			w.apply(now, plantainladder.CancelWorkflow{
				ID:    id,
				Queue: a.Queue,
				Token: a.Organisation,
			})
		})
	}
}

func (w *Simulation) apply(now time.Duration, c plantainladder.Command) {
	w.index++
	next, o := w.state.Apply(w.index, plantainladder.Envelope{
		At:      w.at(now),
		Command: c,
	})
	if !o.IsAccepted() {
		w.fault(now, "command refused: %s %s", o.Reason, o.Detail)
	}
	w.state = next
	w.board = w.board.WithDirty()
}

// Run lets time pass.
func (w *Simulation) Run(until time.Duration) {
	for ; w.now < until; w.now += step {
		w.happen()
		for _, s := range w.workers {
			if !s.gone {
				s.work(w.now, step)
			}
		}
		if w.board.IsDirty() || w.now%(5*step) == 0 {
			w.sweep()
		}
		w.record()
		if w.cfg.MaxReclaimWait > 0 && w.now%(10*step) == 0 {
			w.checkReclaims()
		}
	}
}

func (w *Simulation) happen() {
	slices.SortFunc(w.queue, func(a, b happening) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		next := w.queue[0]
		w.queue = w.queue[1:]
		next.do(w.now)
	}
}

func (w *Simulation) sweep() {
	now := w.at(w.now)
	began := time.Now()
	board, plan := w.board.Reconcile(now, dispatch.NewClusterState(w.state), func(r plantainladder.Round) dispatch.ClusterState {
		return dispatch.NewClusterState(w.state.WithRound(now, r))
	})
	w.board = board
	w.sweeps++
	w.sweepTime += time.Since(began)
	for _, o := range plan.Orders {
		w.send(o)
	}
	if plan.Round == nil {
		return
	}
	r, term := *plan.Round, w.term
	at := w.now + commitTakes
	if w.now >= w.stalledFrom && w.now < w.stalledUntil {
		at = w.stalledUntil
	}
	w.later(at, func(now time.Duration) {
		if term == w.term {
			w.apply(now, r)
		}
	})
}

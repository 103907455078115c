// Package replay runs the production dispatcher for workflows against a
// simulated fleet: a model of workers, racks and arrivals drives a
// dispatch.Dispatcher in simulated time. It detects violations of invariants
// and compares policies. It does not simulate the controllers.
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

// A Config describes a Simulation.
type Config struct {
	// Seed seeds all random numbers.
	Seed uint64
	// DataCentres, Racks and WorkersPerRack are the size of the fleet. Racks are
	// assigned to the data centres in turn.
	DataCentres, Racks, WorkersPerRack int
	// Capacity is the capacity of each worker.
	Capacity pool.ResourceVector
	// Queues holds the queues of the only pool.
	Queues []configuration.Queue
	// Organisations holds the organisations with their tokens and guarantees.
	Organisations []configuration.Organisation
	// MaxStopDuration is how long a worker takes to stop a run.
	MaxStopDuration time.Duration
	// CrossRackFactor is how many times longer a task takes off the rack of its
	// data; see dispatch.Config.
	CrossRackFactor float64
	// MaxRackWait bounds how long a task group waits for its rack; see
	// dispatch.Config.
	MaxRackWait time.Duration
	// CheckWaitsFrom is when the check of workflows that wait although there is
	// capacity begins, in simulated time; zero disables the check.
	CheckWaitsFrom time.Duration
	// MaxReclaimWait is how long an urgent workflow within its organisation's
	// guarantee may wait for its first run; zero disables the check.
	MaxReclaimWait time.Duration
	// HasInventory is true if the dispatcher can read an inventory of the workers
	// that are up.
	HasInventory bool
	// Policy is the placement policy; see dispatch.Config.
	Policy dispatch.Policy
}

// Timing of the simulation.
const (
	tickDuration     = 10 * time.Millisecond
	commitDelay      = 20 * time.Millisecond
	networkDelay     = 5 * time.Millisecond
	announceInterval = 1500 * time.Millisecond
	leaseDuration    = 8500 * time.Millisecond
	maxLeaseDuration = 10 * time.Second
	poolName         = "pool"
)

// epoch is the start of simulated time.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// An Arrival is a workflow that is submitted to a simulation.
type Arrival struct {
	// At is when the workflow is submitted, in simulated time.
	At time.Duration
	// Queue and Organisation are the names of the queue and of the submitting
	// organisation.
	Queue, Organisation string
	// Spec is the workflow without its identifier and queue.
	Spec workflow.Spec
	// Work holds the actual run time of the tasks of each step.
	Work []time.Duration
	// OddTaskReduction is the fraction by which the work of tasks with an odd
	// index is reduced, from 0 to 1.
	OddTaskReduction float64
	// AlwaysFails is true if all runs fail at their end.
	AlwaysFails bool
	// Deadly holds the tasks that crash their worker.
	Deadly Deadly
	// CancelAfter is the time from submission to cancellation; zero for never.
	CancelAfter time.Duration
}

// An event is an action at a simulated time; seq orders events of equal time.
type event struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

// A Simulation is a simulated fleet with its dispatcher and committed state.
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
	// completedBy holds the run that completed each task; isAcknowledged the
	// tasks whose completion the dispatcher acknowledged; isRestarted the
	// completing runs whose task was started again before they were
	// acknowledged.
	completedBy    map[workflow.TaskKey]workflow.RunKey
	isAcknowledged map[workflow.TaskKey]bool
	isRestarted    map[workflow.RunKey]bool
	violations     []string
	term           uint64
	records        map[string]*Record
	// stalledFrom and stalledUntil bound the time in which commits are delayed.
	stalledFrom, stalledUntil time.Duration
	// isWaitReported holds the workflows whose wait was reported as a violation.
	isWaitReported map[string]bool
	// waitingSince is from when workflows have had nothing running although there
	// is capacity; isIdleReported holds those that were reported as violations.
	waitingSince   map[string]time.Duration
	isIdleReported map[string]bool
	// outOfServiceSince is when data centres were taken out of service, by name.
	outOfServiceSince map[string]time.Duration
	// overGuaranteeAt is when the demand of an organisation last exceeded its
	// guarantee.
	overGuaranteeAt map[string]time.Time
	// reconcilePasses counts the reconciliation passes; reconcileTime is the
	// real time spent in them.
	reconcilePasses int
	reconcileTime   time.Duration
	// wastedWork is the work lost by runs that ended without a result or
	// checkpoint, in weighted core-seconds.
	wastedWork float64
	// stoppedRuns counts the runs that ended on a stop order.
	stoppedRuns int
	// decisions counts the records of decisions by text and reason.
	decisions map[decision]int
	// endedRuns counts the runs that ended on workers, by reason.
	endedRuns map[workflow.EndReason]int
	crashes   crashLog
}

// A Record is the outcome of one workflow.
type Record struct {
	// Arrival is the workflow as submitted.
	Arrival Arrival
	// Start is the start of the first run, End when the workflow
	// finished, both in simulated time and negative for never.
	Start, End time.Duration
	// Status is the workflow's last status.
	Status workflow.Status
}

// NewSimulation returns an idle fleet at the start of simulated time.
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

		decisions:         map[decision]int{},
		endedRuns:         map[workflow.EndReason]int{},
		isWaitReported:    map[string]bool{},
		waitingSince:      map[string]time.Duration{},
		isIdleReported:    map[string]bool{},
		outOfServiceSince: map[string]time.Duration{},
		overGuaranteeAt:   map[string]time.Time{},
		crashes:           newCrashLog(),
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
		MaxLeaseDuration: maxLeaseDuration,
		MaxOrderDelay:    maxOrderDelay + answerTimeout,
		AnnounceInterval: announceInterval,
		MaxStopDuration:  sim.cfg.MaxStopDuration,
		CrossRackFactor:  sim.cfg.CrossRackFactor,
		MaxRackWait:      sim.cfg.MaxRackWait,
		HasInventory:     sim.cfg.HasInventory,
		Policy:           sim.cfg.Policy,
	}, sim.term)
}

func (sim *Simulation) addWorker(rack, n int) {
	s := sim.newWorker(pool.Worker{
		ID:          fmt.Sprintf("w-%02d-%02d", rack, n),
		Incarnation: 1,
		Pool:        poolName,
		Address:     fmt.Sprintf("10.0.%d.%d:1", rack, n),
		DataCentre:  "dc-" + strconv.Itoa(rack%sim.cfg.DataCentres),
		Labels: []string{
			"kind", "rack-" + strconv.Itoa(rack),
		},
		Capacity: sim.cfg.Capacity,
	})
	sim.workers = append(sim.workers, s)
	sim.workersByID[s.announced.ID] = s
	sim.scheduleAt(time.Duration(sim.rng.IntN(int(announceInterval))), s.announce)
}

func (sim *Simulation) newWorker(announced pool.Worker) *simWorker {
	return &simWorker{
		simulation:  sim,
		announced:   announced,
		clockOffset: time.Duration(sim.rng.IntN(100_000)) * time.Millisecond,
		runs:        map[workflow.RunKey]*execution{},
		blockedRuns: map[workflow.TaskKey]int{},
		endedAt:     map[uint64]time.Duration{},
	}
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

// Workers returns the identifiers of the workers, rack by rack.
func (sim *Simulation) Workers() (ids []string) {
	for _, s := range sim.workers {
		ids = append(ids, s.announced.ID)
	}
	return ids
}

// LastRun returns the number of the last run of a task in the first step of a
// workflow, counted from 1.
func (sim *Simulation) LastRun(id string, index int) int {
	wf, _ := sim.state.Workflow(id)
	t, _ := wf.Task(workflow.TaskKey{
		Workflow: id,
		Index:    index,
	})
	return t.Run
}

// Submit schedules the submission of a workflow under an identifier, and its
// cancellation if it has one.
func (sim *Simulation) Submit(id string, a Arrival) {
	sim.arrivals[id] = a
	sim.records[id] = &Record{
		Arrival: a,
		Start:   -1,
		End:     -1,
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

// Run advances the simulation up to a simulated time.
func (sim *Simulation) Run(until time.Duration) {
	for ; sim.now < until; sim.now += tickDuration {
		sim.runDueEvents()
		for _, s := range sim.workers {
			if s.isUp() {
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
		if from := sim.cfg.CheckWaitsFrom; from > 0 && sim.now >= from && sim.now%(10*tickDuration) == 0 {
			sim.checkWaits()
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
	for _, r := range slices.Concat(plan.DecisionRecords, plan.RoundRecords) {
		sim.decisions[decision{
			text:   r.Text,
			reason: r.Reason,
		}]++
	}
	for _, o := range plan.Orders {
		sim.sendOrder(o)
	}
	if plan.ReadsInventory {
		sim.readInventory()
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

package dispatch

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// stepInterval is the time between two steps of a cluster.
const stepInterval = 100 * time.Millisecond

// A cluster is a dispatcher, the committed state that it reads and simulated
// workers, which carry out orders at once and run each task for its declared time.
type cluster struct {
	now        time.Time
	dispatcher Dispatcher
	state      ClusterState
	// machines holds the workers as they announce themselves.
	machines []pool.Worker
	// isSilent holds the workers that send no announcements.
	isSilent map[string]bool
	// answer returns the result of an order.
	answer func(o Order) Result
	// withholds selects orders that stay on their way, in inFlight; nil for none.
	withholds func(o Order) bool
	inFlight  []Order
	// speeds holds how fast workers run tasks, by worker ID; 1 for those that are missing.
	speeds map[string]float64
	// pace returns how fast a run goes in proportion to the speed of its worker; nil for 1.
	pace func(t workflow.PlacedTask) float64
	// isHanging is true while no run makes progress.
	isHanging bool
	// hasMore is true while the workers list only some of their ended runs.
	hasMore bool
	// strays holds runs that workers list although they are not placed there, by worker ID.
	strays map[string][]workflow.RunKey
	// startsSent counts the starts that were sent, by workflow.
	startsSent map[string]int
	// startedAt holds the runs in progress; ended holds the others by worker ID.
	startedAt map[workflow.RunKey]time.Time
	ended     map[string][]EndedRun
	sequence  uint64
	// proposed is the round that is not committed yet; nil for none.
	proposed *plantainladder.Round
	// ends and records are all that were committed and logged.
	ends    []workflow.RunEnd
	records []DecisionRecord
}

// newCluster returns a cluster in which the placed tasks of the workflows run.
func newCluster(machines []pool.Worker, list ...workflow.Workflow) *cluster {
	c := &cluster{
		now: epoch,
		dispatcher: NewDispatcher(epoch, Config{
			LeaseDuration:    10 * time.Second,
			MaxLeaseDuration: 11500 * time.Millisecond,
			MaxOrderDelay:    14 * time.Second,
			AnnounceInterval: 500 * time.Millisecond,
			MaxStopDuration:  900 * time.Millisecond,
			CrossRackFactor:  3,
			HasInventory:     true,
		}, 1),
		state: ClusterState{
			Version:   1,
			Workflows: list,
			Workers:   slices.Clone(machines),
			IsOutOfService: func(string) bool {
				return false
			},
			GuaranteedTo: func(string) int {
				return 100
			},
			LimitOf: func(string) pool.ResourceVector {
				return pool.ResourceVector{}
			},
			WeightOf: func(string) float64 {
				return 0
			},
		},
		machines:   machines,
		isSilent:   map[string]bool{},
		strays:     map[string][]workflow.RunKey{},
		answer:     acknowledge,
		startsSent: map[string]int{},
		startedAt:  map[workflow.RunKey]time.Time{},
		ended:      map[string][]EndedRun{},
	}
	for _, w := range list {
		for _, t := range w.PlacedTasks() {
			c.startedAt[t.RunKey] = t.At
		}
	}
	return c
}

func acknowledge(Order) Result {
	return Acknowledged{}
}

// step lets the workers announce themselves, and commits what Reconcile proposes.
func (c *cluster) step() {
	c.now = c.now.Add(stepInterval)
	c.announce()
	c.reconcile()
	c.commit()
}

// stepFor runs steps for d.
func (c *cluster) stepFor(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

func (c *cluster) announce() {
	c.sequence++
	for _, w := range c.machines {
		if c.isSilent[w.ID] {
			continue
		}
		c.dispatcher = c.dispatcher.With(c.now, WorkerAnnounced{
			Worker:   w,
			Sequence: c.sequence,
			ClockMS:  c.clockMS(),
		})
	}
}

func (c *cluster) clockMS() int64 {
	return c.now.Sub(epoch).Milliseconds() + 1
}

// reconcile carries out the orders of a Reconcile and keeps its round for commit.
func (c *cluster) reconcile() {
	var plan Plan
	c.dispatcher, plan = c.dispatcher.Reconcile(c.now, c.state, c.after)
	c.records = append(c.records, plan.DecisionRecords...)
	c.records = append(c.records, plan.RoundRecords...)
	if plan.Round != nil {
		c.proposed = plan.Round
	}
	for _, o := range plan.Orders {
		if c.withholds != nil && c.withholds(o) {
			c.inFlight = append(c.inFlight, o)
			continue
		}
		c.deliver(o)
	}
}

func (c *cluster) deliver(o Order) {
	if s, isStart := o.(Start); isStart {
		c.startsSent[s.Workflow]++
	}
	completed := OrderCompleted{
		Order:  o,
		SentAt: c.now,
		Result: c.answer(o),
	}
	if _, acknowledged := completed.Result.(Acknowledged); acknowledged {
		completed.Incarnation, completed.ClockMS = targetOf(o).Incarnation, c.clockMS()
		switch o := o.(type) {
		case Start:
			c.startedAt[o.RunKey] = c.now
		case Stop:
			delete(c.startedAt, o.RunKey)
			c.strays[o.Worker] = slices.DeleteFunc(slices.Clone(c.strays[o.Worker]), func(ref workflow.RunKey) bool {
				return ref == o.RunKey
			})
		case Renew:
			completed.Listing = c.listing(o)
		}
	}
	c.dispatcher = c.dispatcher.With(c.now, completed)
}

func (c *cluster) listing(o Renew) (list Listing) {
	list.HasMore = c.hasMore
	for _, ref := range c.strays[o.Worker] {
		list.Running = append(list.Running, Running{
			RunKey: ref,
		})
	}
	for _, t := range c.placedOn(o.Worker) {
		startedAt, isRunning := c.startedAt[t.RunKey]
		percent := int(100 * c.workDone(t, startedAt) / t.StepSpec.DeclaredRunTime)
		if c.isHanging {
			percent = 0
		}
		switch {
		case !isRunning:
		case percent < 100:
			list.Running = append(list.Running, Running{
				RunKey:  t.RunKey,
				Percent: percent,
			})
		default:
			delete(c.startedAt, t.RunKey)
			c.ended[o.Worker] = append(c.ended[o.Worker], EndedRun{
				RunEnd: workflow.RunEnd{
					RunKey:    t.RunKey,
					EndReason: workflow.EndedDone,
				},
				Sequence: uint64(len(c.ended[o.Worker]) + 1),
			})
		}
	}
	for _, e := range c.ended[o.Worker] {
		if e.Sequence > o.AckSequence {
			list.Ended = append(list.Ended, e)
		}
	}
	return list
}

// workDone returns how far a worker has got with a run, as the time that a worker of speed 1
// takes for it.
func (c *cluster) workDone(t workflow.PlacedTask, startedAt time.Time) time.Duration {
	pace := 1.0
	if speed, ok := c.speeds[t.Worker]; ok {
		pace = speed
	}
	if c.pace != nil {
		pace *= c.pace(t)
	}
	return time.Duration(float64(c.now.Sub(startedAt)) * pace)
}

func (c *cluster) placedOn(worker string) (list []workflow.PlacedTask) {
	for _, w := range c.state.Workflows {
		for _, t := range w.PlacedTasks() {
			if t.Worker == worker {
				list = append(list, t)
			}
		}
	}
	return list
}

// fence lets workers announce themselves and answer a Renew of the leader.
func (c *cluster) fence(workers ...string) {
	c.announce()
	for _, w := range c.machines {
		if !slices.Contains(workers, w.ID) {
			continue
		}
		v, _ := c.dispatcher.workerView(w.ID)
		v.renewsInFlight++
		c.dispatcher = c.dispatcher.withView(v)
		c.deliver(Renew{
			Target: Target{
				Worker:      w.ID,
				Incarnation: w.Incarnation,
				Address:     w.Address,
				Fence:       c.dispatcher.term + w.Generation,
			},
		})
	}
}

// commit commits the proposed round and the announcements.
func (c *cluster) commit() {
	if c.proposed != nil {
		c.state = c.after(*c.proposed)
		c.state.LastRound = c.proposed.ID
		c.ends = append(c.ends, c.proposed.RunEnds...)
		for _, learned := range c.proposed.Speeds {
			i := slices.IndexFunc(c.machines, func(w pool.Worker) bool { return w.ID == learned.Worker })
			c.machines[i] = c.machines[i].WithSpeed(learned.LogSpeed, learned.Precision)
		}
		c.proposed = nil
	}
	c.state.Workers = slices.Clone(c.machines)
	c.state.Version++
}

// after returns the state as it will be once a round is committed.
func (c *cluster) after(r plantainladder.Round) ClusterState {
	GinkgoHelper()
	s := c.state
	s.Workflows = slices.Clone(s.Workflows)
	for i, w := range s.Workflows {
		for _, e := range r.RunEnds {
			if e.Workflow == w.Spec.ID {
				w = w.WithRunEnd(c.now, e)
			}
		}
		for _, v := range r.LossVerdicts {
			if v.Workflow == w.Spec.ID {
				w = w.WithLossVerdict(c.now, v)
			}
		}
		placements := slices.DeleteFunc(slices.Clone(r.Placements), func(p workflow.Placement) bool {
			return p.Workflow != w.Spec.ID
		})
		if len(placements) > 0 {
			var isAllowed bool
			w, isAllowed = w.WithPlacements(c.now, placements)
			Expect(isAllowed).To(BeTrue(), "placements of %s", w.Spec.ID)
		}
		s.Workflows[i] = w
	}
	s.Workflows = slices.DeleteFunc(s.Workflows, func(w workflow.Workflow) bool {
		return !w.IsOpen() && len(w.PlacedTasks()) == 0
	})
	return s
}

// submit adds a workflow.
func (c *cluster) submit(w workflow.Workflow) {
	w.Submitted = c.now
	c.state.Workflows = append(slices.Clone(c.state.Workflows), w)
	c.state.Version++
}

// restart replaces the incarnation of a worker, with which its runs end.
func (c *cluster) restart(worker string) {
	for _, t := range c.placedOn(worker) {
		delete(c.startedAt, t.RunKey)
	}
	c.ended[worker] = nil
	for i := range c.machines {
		if c.machines[i].ID == worker {
			c.machines[i].Incarnation++
			c.machines[i].Generation++
			c.machines[i].Leaving = false
			c.machines[i] = c.machines[i].WithSpeed(0, 0)
		}
	}
}

// changeLeader starts a new leader's term.
func (c *cluster) changeLeader() {
	c.dispatcher = NewDispatcher(c.now, c.dispatcher.cfg, c.dispatcher.term+1)
}

// placedAt returns the workers on which tasks of a workflow are placed, sorted.
func (c *cluster) placedAt(id string) (workers []string) {
	for _, w := range c.state.Workflows {
		for _, t := range w.PlacedTasks() {
			if w.Spec.ID == id {
				workers = append(workers, t.Worker)
			}
		}
	}
	slices.Sort(workers)
	return workers
}

// preempted returns the workflows of the preempted runs, sorted.
func (c *cluster) preempted() (ids []string) {
	for _, r := range c.records {
		if r.Reason == string(reasonPreempted) && r.Text != "Run will be stopped." {
			ids = append(ids, r.RunKey.Workflow)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

package day

import (
	"container/heap"
	"time"

	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/schedule"
)

// Times of the simulated drain, durations of stops and starts, and the end of the
// simulation.
const (
	drainFrom      = 9 * time.Hour
	drainTo        = 12 * time.Hour
	checkpointTime = 30 * time.Second
	startTime      = 2 * time.Second
	horizon        = 60 * time.Hour
	drained        = "dc0"
)

// A Report holds the measures of one simulated day.
type Report struct {
	// MeanHours is the mean time from submission to end in hours, by class and,
	// under "all", over all jobs.
	MeanHours map[string]float64
	// P95Hours is the 95th percentile of that time over all jobs, in hours.
	P95Hours float64
	// Fragmentation is the mean fragmentation ratio over the day and the data
	// centres in service.
	Fragmentation float64
	// DrainAcceleratorHours is the accelerator time of jobs that ran while a data
	// centre was out of service, in hours.
	DrainAcceleratorHours float64
	// LostAcceleratorHours is the accelerator time, in hours, that jobs which
	// cannot be checkpointed lost when they were stopped.
	LostAcceleratorHours float64
	// LateBatchShare is the share of ended batch jobs that missed their deadline.
	LateBatchShare float64
	// Unfinished is the number of jobs that had not ended at the horizon.
	Unfinished int
	// Unknown is the number of jobs that ended with an unknown result, since they
	// were lost after their start.
	Unknown int
}

// event is an event of the simulation at a given time.
type happening struct {
	at   time.Time
	kind kind
	n    int
	id   string
	try  int
}

type kind int

const (
	arrives kind = iota
	finishes
	stops
	drains
	returns
)

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }

// Pop removes and returns the last element, as heap.Interface requires.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// day is the state of the simulation of one day.
type day struct {
	site      Deployment
	policy    schedule.Policy
	arrivals  []Arrival
	agenda    agenda
	now       time.Time
	jobs      map[string]job.Job
	order     []string
	run       map[string]time.Duration
	out       map[string]bool
	estimates map[string]schedule.Estimate
	report    Report
	fragTime  float64
}

// Run simulates a generated day under a policy and returns its measures.
func Run(s Deployment, policy schedule.Policy, seed uint64) Report {
	d := &day{
		site:      s,
		policy:    policy,
		arrivals:  s.Generate(seed),
		jobs:      map[string]job.Job{},
		run:       map[string]time.Duration{},
		out:       map[string]bool{},
		estimates: map[string]schedule.Estimate{},
		now:       Epoch,
	}
	for i, a := range d.arrivals {
		d.due(happening{
			at:   a.At,
			kind: arrives,
			n:    i,
		})
	}
	d.due(happening{
		at:   Epoch.Add(drainFrom),
		kind: drains,
	})
	d.due(happening{
		at:   Epoch.Add(drainTo),
		kind: returns,
	})
	for d.agenda.Len() > 0 {
		h := heap.Pop(&d.agenda).(happening)
		if h.at.Sub(Epoch) > horizon {
			break
		}
		d.pass(h.at)
		d.take(h)
		if d.agenda.Len() == 0 || d.agenda[0].at.After(d.now) {
			d.plan()
		}
	}
	return d.finish()
}

func (d *day) due(h happening) {
	heap.Push(&d.agenda, h)
}

// pass advances the time and adds the span to the measures over time.
func (d *day) pass(to time.Time) {
	span := to.Sub(d.now).Hours()
	if span > 0 && to.Sub(Epoch) <= dayLength {
		free := d.fleet()
		sum, n := 0.0, 0
		for _, m := range free.Fragmentation() {
			if !d.out[m.DataCentre] {
				sum += m.Ratio
				n++
			}
		}
		d.report.Fragmentation += span * sum / float64(max(1, n))
		d.fragTime += span
	}
	if d.out[drained] {
		for _, id := range d.order {
			if j := d.jobs[id]; isRunning(j) {
				d.report.DrainAcceleratorHours += span * float64(j.Spec.Shape.Total().Accelerators)
			}
		}
	}
	d.now = to
}

func isRunning(j job.Job) bool {
	_, ok := j.Phase.(job.Running)
	return ok
}

func (d *day) active() []job.Job {
	var list []job.Job
	kept := d.order[:0]
	for _, id := range d.order {
		if j := d.jobs[id]; !j.HasEnded() {
			list = append(list, j)
			kept = append(kept, id)
		}
	}
	d.order = kept
	return list
}

func (d *day) fleet() schedule.Fleet {
	return schedule.NewFleet(d.site.Fleet()).WithAllocations(schedule.AllocationsOfJobs(d.active()))
}

func (d *day) take(h happening) {
	switch h.kind {
	case arrives:
		a := d.arrivals[h.n]
		d.jobs[a.Spec.ID] = job.New(d.now, a.Spec)
		d.run[a.Spec.ID] = a.RunTime
		d.order = append(d.order, a.Spec.ID)
	case finishes:
		j := d.jobs[h.id]
		if j.Attempt == h.try && isRunning(j) {
			d.jobs[h.id] = d.endParts(j, job.TaskResult{
				Done: true,
			})
			d.learn(j)
		}
	case stops:
		if j := d.jobs[h.id]; j.Attempt == h.try && j.HoldsCapacity() {
			d.jobs[h.id] = d.endParts(j, job.TaskResult{
				Checkpoint: j.Spec.Checkpointable,
			})
		}
	case drains:
		d.out[drained] = true
	case returns:
		d.out[drained] = false
	}
}

func (d *day) learn(j job.Job) {
	key := schedule.EstimateKey(j.Spec)
	d.estimates[key] = d.estimates[key].WithSample(j.Spec.DeclaredRunMS, d.run[j.Spec.ID].Milliseconds())
}

func (d *day) endParts(j job.Job, e job.TaskResult) job.Job {
	for i := range j.Parts {
		j = j.WithPartEnded(d.now, i, e)
	}
	return j
}

// plan calls the policy on the current state and applies its decisions.
func (d *day) plan() {
	in := schedule.Input{
		Jobs:          d.active(),
		Contracts:     d.site.Contracts(),
		Estimates:     d.estimates,
		OutOfService:  d.out,
		MaxPlacements: 1000,
		Policy:        d.policy,
		AllWorkers:    schedule.NewFleet(d.site.Fleet()),
	}
	var usable []schedule.Node
	for _, n := range d.site.Fleet() {
		if !d.out[n.DataCentre] {
			usable = append(usable, n)
		}
	}
	in.Fleet = schedule.NewFleet(usable).WithAllocations(schedule.AllocationsOfJobs(in.Jobs))
	for _, decision := range schedule.Plan(d.now, in) {
		d.carryOut(decision)
	}
}

func (d *day) carryOut(decision schedule.Decision) {
	switch c := decision.(type) {
	case schedule.Place:
		j := d.jobs[c.ID].WithPlacement(d.now, c.Parts, c.Borrowed).WithStart(d.now.Add(startTime))
		d.jobs[c.ID] = j
		left := d.run[c.ID] - time.Duration(j.SavedMS)*time.Millisecond
		d.due(happening{
			at:   d.now.Add(startTime + max(0, left)),
			kind: finishes,
			id:   c.ID,
			try:  j.Attempt,
		})
	case schedule.Stop:
		d.stop(c)
	case schedule.Park:
		d.jobs[c.ID] = d.jobs[c.ID].WithParked(d.now, c.Reason)
	case schedule.Wait:
	}
}

func (d *day) stop(c schedule.Stop) {
	j := d.jobs[c.ID]
	took := time.Second
	if running, ok := j.Phase.(job.Running); ok {
		if j.Spec.Checkpointable {
			took = checkpointTime
		} else {
			d.report.LostAcceleratorHours += d.now.Sub(running.Since).Hours() * float64(j.Spec.Shape.Total().Accelerators)
		}
	}
	d.jobs[c.ID] = j.WithStop(d.now, c.Reason)
	d.due(happening{
		at:   d.now.Add(took),
		kind: stops,
		id:   c.ID,
		try:  j.Attempt,
	})
}

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
	drainStartOffset   = 9 * time.Hour
	drainEndOffset     = 12 * time.Hour
	checkpointDuration = 30 * time.Second
	startDuration      = 2 * time.Second
	horizon            = 60 * time.Hour
	drainedDataCentre  = "dc0"
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
type event struct {
	at           time.Time
	kind         kind
	arrivalIndex int
	id           string
	attempt      int
}

type kind int

const (
	jobArrived kind = iota
	jobFinished
	jobStopped
	drainStarted
	drainEnded
)

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }

// Pop removes and returns the last element, as heap.Interface requires.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is the state of the simulation of one day.
type simulation struct {
	deployment         Deployment
	policy             schedule.Policy
	arrivals           []Arrival
	eventQueue         eventQueue
	now                time.Time
	jobs               map[string]job.Job
	activeIDs          []string
	runTimes           map[string]time.Duration
	outOfService       map[string]bool
	estimates          map[string]schedule.Estimate
	report             Report
	fragmentationHours float64
}

// Run simulates a generated day under a policy and returns its measures.
func Run(d Deployment, policy schedule.Policy, seed uint64) Report {
	s := &simulation{
		deployment:   d,
		policy:       policy,
		arrivals:     d.Generate(seed),
		jobs:         map[string]job.Job{},
		runTimes:     map[string]time.Duration{},
		outOfService: map[string]bool{},
		estimates:    map[string]schedule.Estimate{},
		now:          Epoch,
	}
	for i, a := range s.arrivals {
		s.addEvent(event{
			at:           a.At,
			kind:         jobArrived,
			arrivalIndex: i,
		})
	}
	s.addEvent(event{
		at:   Epoch.Add(drainStartOffset),
		kind: drainStarted,
	})
	s.addEvent(event{
		at:   Epoch.Add(drainEndOffset),
		kind: drainEnded,
	})
	for s.eventQueue.Len() > 0 {
		e := heap.Pop(&s.eventQueue).(event)
		if e.at.Sub(Epoch) > horizon {
			break
		}
		s.advanceTo(e.at)
		s.handle(e)
		if s.eventQueue.Len() == 0 || s.eventQueue[0].at.After(s.now) {
			s.applyPlan()
		}
	}
	return s.computeReport()
}

func (s *simulation) addEvent(e event) {
	heap.Push(&s.eventQueue, e)
}

// advanceTo advances the time and adds the span to the measures over time.
func (s *simulation) advanceTo(to time.Time) {
	span := to.Sub(s.now).Hours()
	if span > 0 && to.Sub(Epoch) <= dayLength {
		free := s.fleet()
		sum, n := 0.0, 0
		for _, m := range free.Fragmentation() {
			if !s.outOfService[m.DataCentre] {
				sum += m.Ratio
				n++
			}
		}
		s.report.Fragmentation += span * sum / float64(max(1, n))
		s.fragmentationHours += span
	}
	if s.outOfService[drainedDataCentre] {
		for _, id := range s.activeIDs {
			if j := s.jobs[id]; isRunning(j) {
				s.report.DrainAcceleratorHours += span * float64(j.Spec.Shape.Total().Accelerators)
			}
		}
	}
	s.now = to
}

func isRunning(j job.Job) bool {
	_, ok := j.Phase.(job.Running)
	return ok
}

func (s *simulation) activeJobs() []job.Job {
	var list []job.Job
	stillActive := s.activeIDs[:0]
	for _, id := range s.activeIDs {
		if j := s.jobs[id]; !j.HasEnded() {
			list = append(list, j)
			stillActive = append(stillActive, id)
		}
	}
	s.activeIDs = stillActive
	return list
}

func (s *simulation) fleet() schedule.Fleet {
	return schedule.NewFleet(s.deployment.Fleet()).WithAllocations(schedule.AllocationsOfJobs(s.activeJobs()))
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case jobArrived:
		a := s.arrivals[e.arrivalIndex]
		s.jobs[a.Spec.ID] = job.New(s.now, a.Spec)
		s.runTimes[a.Spec.ID] = a.RunTime
		s.activeIDs = append(s.activeIDs, a.Spec.ID)
	case jobFinished:
		j := s.jobs[e.id]
		if j.Attempt == e.attempt && isRunning(j) {
			s.jobs[e.id] = s.endAllTasks(j, job.TaskResult{
				Done: true,
			})
			s.updateEstimate(j)
		}
	case jobStopped:
		if j := s.jobs[e.id]; j.Attempt == e.attempt && j.HoldsCapacity() {
			s.jobs[e.id] = s.endAllTasks(j, job.TaskResult{
				Checkpoint: j.Spec.Checkpointable,
			})
		}
	case drainStarted:
		s.outOfService[drainedDataCentre] = true
	case drainEnded:
		s.outOfService[drainedDataCentre] = false
	}
}

func (s *simulation) updateEstimate(j job.Job) {
	key := schedule.EstimateKey(j.Spec)
	s.estimates[key] = s.estimates[key].WithSample(j.Spec.DeclaredRunMS, s.runTimes[j.Spec.ID].Milliseconds())
}

func (s *simulation) endAllTasks(j job.Job, result job.TaskResult) job.Job {
	for i := range j.TaskPlacements {
		j = j.WithTaskEnded(s.now, i, result)
	}
	return j
}

// applyPlan calls the policy on the current state and applies its decisions.
func (s *simulation) applyPlan() {
	in := schedule.Input{
		Jobs:          s.activeJobs(),
		Contracts:     s.deployment.Contracts(),
		Estimates:     s.estimates,
		OutOfService:  s.outOfService,
		MaxPlacements: 1000,
		Policy:        s.policy,
		AllWorkers:    schedule.NewFleet(s.deployment.Fleet()),
	}
	var inService []schedule.Node
	for _, n := range s.deployment.Fleet() {
		if !s.outOfService[n.DataCentre] {
			inService = append(inService, n)
		}
	}
	in.Fleet = schedule.NewFleet(inService).WithAllocations(schedule.AllocationsOfJobs(in.Jobs))
	for _, decision := range schedule.Plan(s.now, in) {
		s.applyDecision(decision)
	}
}

func (s *simulation) applyDecision(decision schedule.Decision) {
	switch c := decision.(type) {
	case schedule.Place:
		j := s.jobs[c.ID].WithPlacement(s.now, c.TaskPlacements, c.Borrowed).WithStart(s.now.Add(startDuration))
		s.jobs[c.ID] = j
		remaining := s.runTimes[c.ID] - time.Duration(j.SavedMS)*time.Millisecond
		s.addEvent(event{
			at:      s.now.Add(startDuration + max(0, remaining)),
			kind:    jobFinished,
			id:      c.ID,
			attempt: j.Attempt,
		})
	case schedule.Stop:
		s.stop(c)
	case schedule.Park:
		s.jobs[c.ID] = s.jobs[c.ID].WithParked(s.now, c.Reason)
	case schedule.Wait:
	}
}

func (s *simulation) stop(c schedule.Stop) {
	j := s.jobs[c.ID]
	stopDuration := time.Second
	if running, ok := j.Phase.(job.Running); ok {
		if j.Spec.Checkpointable {
			stopDuration = checkpointDuration
		} else {
			s.report.LostAcceleratorHours += s.now.Sub(running.Since).Hours() * float64(j.Spec.Shape.Total().Accelerators)
		}
	}
	s.jobs[c.ID] = j.WithStop(s.now, c.Reason)
	s.addEvent(event{
		at:      s.now.Add(stopDuration),
		kind:    jobStopped,
		id:      c.ID,
		attempt: j.Attempt,
	})
}

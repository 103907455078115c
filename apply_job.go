package plantainladder

import (
	"time"

	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/schedule"
)

func (s State) applySubmitJob(now time.Time, c SubmitJob) (State, Outcome) {
	if err := c.Spec.Check(); err != nil {
		return s, refuseField(err)
	}
	terms, ok := s.Contract(c.Spec.Organisation)
	if !ok {
		return s, refuse(RefusedUnknownOrganisation, "organisation", "there is no such contract")
	}
	if !terms.AllowsClass(c.Spec.Class) {
		return s, refuse(RefusedClassNotAllowed, "class", "the contract does not allow this class")
	}
	if current, exists := s.jobs.get(c.Spec.ID); exists {
		if current.Spec != c.Spec {
			return s, refuse(RefusedKeyReuse, "id", "the identifier was used for another job")
		}
		return s, Outcome{}
	}
	if n, _ := s.activeJobCounts.get(c.Spec.Organisation); n >= terms.MaxQueuedJobs {
		return s, refuse(RefusedQueueFull, "organisation", "the organisation has too many jobs that have not ended")
	}
	if s.jobs.len() >= MaxJobs {
		return s, refuse(RefusedTableFull, "id", "too many jobs are remembered; try later")
	}
	return s.withJob(now, job.New(now, c.Spec)), Outcome{}
}

func (s State) applyCancelJob(now time.Time, c CancelJob) (State, Outcome) {
	j, ok := s.jobs.get(c.ID)
	if !ok {
		return s, refuse(RefusedNotFound, "id", "there is no such job")
	}
	if c.Organisation != "" && c.Organisation != j.Spec.Organisation {
		return s, refuse(RefusedNotOwner, "organisation", "the job belongs to another organisation")
	}
	return s.withJob(now, j.WithStop(now, job.StopCancelled)), Outcome{}
}

func (s State) applyReleaseJob(now time.Time, c ReleaseJob) (State, Outcome) {
	j, ok := s.jobs.get(c.ID)
	if !ok {
		return s, refuse(RefusedNotFound, "id", "there is no such job")
	}
	if _, parked := j.Phase.(job.Parked); !parked {
		return s, refuse(RefusedWrongState, "id", "the job is not parked")
	}
	return s.withJob(now, j.WithReleased(now)), Outcome{}
}

// applyPlaceJob refuses a placement that no longer fits the state, since it was
// planned on an earlier state than the one that it is applied to.
func (s State) applyPlaceJob(now time.Time, c PlaceJob) (State, Outcome) {
	j, ok := s.jobs.get(c.ID)
	if _, queued := j.Phase.(job.Queued); !ok || !queued || j.Attempt+1 != c.Attempt {
		return s, refuse(RefusedWrongState, "id", "the job is not queued at this attempt")
	}
	if len(c.Parts) != j.Spec.Shape.Tasks {
		return s, refuse(RefusedBadField, "parts", "a gang is placed whole")
	}
	for _, p := range c.Parts {
		w, registered := s.workers.get(p.Worker)
		if !registered || w.Incarnation != p.Incarnation {
			return s, refuse(RefusedWrongState, "parts", "a worker has restarted or left")
		}
		if s.IsOutOfService(p.DataCentre) {
			return s, refuse(RefusedWrongState, "parts", "a data centre is out of service")
		}
	}
	terms, _ := s.contracts.get(j.Spec.Organisation)
	j = j.WithPlacement(now, c.Parts, c.Borrowed).WithLeaseGrace(time.Duration(terms.Value.LeaseGraceS) * time.Second)
	return s.withJob(now, j), Outcome{}
}

func (s State) applyStartJob(now time.Time, c StartJob) (State, Outcome) {
	j, ok := s.jobs.get(c.ID)
	if _, preparing := j.Phase.(job.Preparing); !ok || !preparing || j.Attempt != c.Attempt {
		return s, refuse(RefusedWrongState, "id", "the job is not being prepared at this attempt")
	}
	for _, p := range j.TaskPlacements {
		if s.IsOutOfService(p.DataCentre) {
			return s, refuse(RefusedWrongState, "parts", "a data centre is out of service")
		}
	}
	return s.withJob(now, j.WithStart(now)), Outcome{}
}

func (s State) applyStopJob(now time.Time, c StopJob) (State, Outcome) {
	j, ok := s.jobs.get(c.ID)
	if !ok || j.Attempt != c.Attempt || !j.HoldsCapacity() {
		return s, refuse(RefusedWrongState, "id", "the job is not at this attempt")
	}
	return s.withJob(now, j.WithStop(now, c.Reason)), Outcome{}
}

func (s State) applyEndPart(now time.Time, c EndPart) (State, Outcome) {
	j, ok := s.jobs.get(c.ID)
	if !ok || j.Attempt != c.Attempt || c.Task < 0 || c.Task >= len(j.TaskPlacements) {
		return s, refuse(RefusedWrongState, "id", "the job is not at this attempt")
	}
	s = s.withWorkerResult(now, j.TaskPlacements[c.Task].Worker, c)
	next := j.WithTaskEnded(now, c.Task, job.TaskResult{
		Done:       c.Done,
		Checkpoint: c.Checkpoint,
		NotRun:     c.NotRun,
	})
	s = s.withRunTimeSample(j, next)
	return s.withJob(now, next), Outcome{}
}

// withWorkerResult returns s with the failures of a worker updated after the end
// of a task on it.
func (s State) withWorkerResult(now time.Time, name string, c EndPart) State {
	w, ok := s.workers.get(name)
	switch {
	case !ok:
	case c.WorkerFault:
		s.workers = s.workers.with(name, w.WithFailure(now))
	case c.Done && w.Failures > 0:
		s.workers = s.workers.with(name, w.WithSuccess())
	}
	return s
}

// withRunTimeSample returns s with the run time of a job added to the estimates if
// the job has just succeeded.
func (s State) withRunTimeSample(before, after job.Job) State {
	running, ok := before.Phase.(job.Running)
	end, ended := after.Phase.(job.Ended)
	if !ok || !ended || end.Result != job.ResultDone {
		return s
	}
	ran := end.At.Sub(running.Since).Milliseconds() + before.SavedMS
	key := schedule.EstimateKey(before.Spec)
	e, _ := s.estimates.get(key)
	s.estimates = s.estimates.with(key, e.WithSample(before.Spec.DeclaredRunMS, ran))
	return s
}

func (s State) applyParkJob(now time.Time, c ParkJob) (State, Outcome) {
	j, ok := s.jobs.get(c.ID)
	if _, queued := j.Phase.(job.Queued); !ok || !queued {
		return s, refuse(RefusedWrongState, "id", "the job is not queued")
	}
	return s.withJob(now, j.WithParked(now, c.Reason)), Outcome{}
}

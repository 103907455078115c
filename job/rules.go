package job

import (
	"fmt"
	"slices"
	"time"
)

// historyAfterEnd is the number of history entries that an ended job keeps.
const historyAfterEnd = 8

// WithPlacement returns j in phase Preparing with the next attempt on the given
// workers.
func (j Job) WithPlacement(now time.Time, placements []TaskPlacement, borrowed bool) Job {
	j.Attempt++
	j.TaskPlacements = placements
	j.Borrowed = borrowed
	kind := "inside the guarantee"
	if borrowed {
		kind = "on borrowed capacity"
	}
	return j.withPhase(Preparing{
		Since: now,
	}).withHistory(now, fmt.Sprintf("Attempt %d: placed %s, first task on %s.", j.Attempt, kind, placements[0].Worker))
}

// WithLeaseGrace returns j with the lease grace period of its current attempt.
// It stays until the next placement, since the workers have been sent it.
func (j Job) WithLeaseGrace(d time.Duration) Job {
	j.LeaseGraceMS = d.Milliseconds()
	return j
}

// LeaseGrace returns how long the job's tasks may run on after the lease of
// their worker has expired. It is zero if they were never started.
func (j Job) LeaseGrace() time.Duration {
	grace := time.Duration(j.LeaseGraceMS) * time.Millisecond
	switch p := j.Phase.(type) {
	case Running:
		return grace
	case Stopping:
		if !p.StartedAt.IsZero() {
			return grace
		}
	case Queued, Preparing, Parked, Ended:
	}
	return 0
}

// WithStart returns j in phase Running.
func (j Job) WithStart(now time.Time) Job {
	return j.withPhase(Running{
		Since: now,
	}).withHistory(now, fmt.Sprintf("Attempt %d: all tasks prepared, started.", j.Attempt))
}

// WithStop returns a job that holds capacity in phase Stopping. A job that is
// queued or parked ends if the reason is StopCancelled, and stays as it is
// otherwise. A cancellation replaces the reason of an earlier stop.
func (j Job) WithStop(now time.Time, reason StopReason) Job {
	switch p := j.Phase.(type) {
	case Preparing:
		return j.withStopping(now, time.Time{}, reason)
	case Running:
		return j.withStopping(now, p.Since, reason)
	case Stopping:
		if reason == StopCancelled {
			p.Reason = reason
			return j.withPhase(p)
		}
		return j
	case Queued, Parked:
		if reason == StopCancelled {
			return j.withEnded(now, ResultCancelled)
		}
		return j
	case Ended:
		return j
	}
	return j
}

func (j Job) withStopping(now time.Time, startedAt time.Time, reason StopReason) Job {
	return j.withPhase(Stopping{
		Since:     now,
		StartedAt: startedAt,
		Reason:    reason,
	}).withHistory(now, fmt.Sprintf("Attempt %d: stopping, %s.", j.Attempt, reason))
}

// WithTaskEnded returns j after the task of an index has ended. A task that
// fails stops the others; once all tasks have ended, the job enters its next
// phase. Repeated results are ignored.
func (j Job) WithTaskEnded(now time.Time, task int, r TaskResult) Job {
	if task < 0 || task >= len(j.TaskPlacements) || j.TaskPlacements[task].Ended {
		return j
	}
	j = j.withTaskPlacement(task, j.TaskPlacements[task].withResult(r))
	switch j.Phase.(type) {
	case Running:
		if !r.Done {
			return j.WithStop(now, StopTaskFailed).withNextPhase(now)
		}
		return j.withNextPhase(now)
	case Stopping:
		return j.withNextPhase(now)
	case Preparing:
		return j.WithStop(now, StopNotPrepared).withNextPhase(now)
	case Queued, Parked, Ended:
		return j
	}
	return j
}

// withNextPhase returns j in its next phase if all of its tasks have ended.
func (j Job) withNextPhase(now time.Time) Job {
	if !j.allTasks(func(p TaskPlacement) bool { return p.Ended }) {
		return j
	}
	switch p := j.Phase.(type) {
	case Running:
		return j.withEnded(now, ResultDone)
	case Stopping:
		if p.WasStarted() && j.allTasks(func(p TaskPlacement) bool { return p.Done }) {
			return j.withEnded(now, ResultDone)
		}
		return j.withStopCompleted(now, p)
	case Queued, Preparing, Parked, Ended:
		return j
	}
	return j
}

// allTasks reports whether a condition holds for every task.
func (j Job) allTasks(holds func(p TaskPlacement) bool) bool {
	for _, p := range j.TaskPlacements {
		if !holds(p) {
			return false
		}
	}
	return true
}

// withStopCompleted returns a stopping job after its last task has ended. A job
// that is not idempotent runs again only if no task ever started, or if
// checkpoints cover all tasks that have not completed.
func (j Job) withStopCompleted(now time.Time, p Stopping) Job {
	if p.Reason == StopCancelled {
		return j.withEnded(now, ResultCancelled)
	}
	neverRan := !p.WasStarted() || j.allTasks(func(p TaskPlacement) bool { return p.NotRun })
	saved := !neverRan && j.Spec.Checkpointable && j.allTasks(func(p TaskPlacement) bool { return p.Checkpoint || p.Done })
	if !neverRan && !saved && !j.Spec.Idempotent {
		return j.withEnded(now, ResultUnknown)
	}
	if saved {
		j.SavedMS += p.Since.Sub(p.StartedAt).Milliseconds()
	}
	j = j.withAttemptCounted(p)
	j.TaskPlacements = nil
	j.Borrowed = false
	switch {
	case j.Failures >= MaxFailures:
		return j.withParked(now, "Failed too often.")
	case j.EarlyLosses >= maxEarlyLosses:
		return j.withParked(now, "A worker was lost soon after each of the last starts.")
	}
	return j.withPhase(Queued{
		Since: now,
	}).withHistory(now, fmt.Sprintf("Queued again after %s.", p.Reason))
}

// withAttemptCounted returns j with its counts of failures and early losses after an
// attempt. Over a long attempt, a worker is likely to be lost for other causes.
func (j Job) withAttemptCounted(p Stopping) Job {
	isEarly := p.WasStarted() && p.Since.Sub(p.StartedAt) < earlyLoss
	switch {
	case p.Reason == StopTaskFailed:
		j.Failures++
	case p.Reason == StopTaskLost && isEarly:
		j.EarlyLosses++
	case p.WasStarted() && !isEarly:
		j.EarlyLosses = 0
	}
	return j
}

// WithParked returns a queued job in phase Parked; jobs in other phases stay as
// they are.
func (j Job) WithParked(now time.Time, reason string) Job {
	if _, queued := j.Phase.(Queued); !queued {
		return j
	}
	return j.withParked(now, reason)
}

func (j Job) withParked(now time.Time, reason string) Job {
	return j.withPhase(Parked{
		Since:  now,
		Reason: reason,
	}).withHistory(now, "Parked: "+reason)
}

// WithReleased returns a parked job in phase Queued with its failure count
// reset; jobs in other phases stay as they are.
func (j Job) WithReleased(now time.Time) Job {
	if _, parked := j.Phase.(Parked); !parked {
		return j
	}
	j.Failures, j.EarlyLosses = 0, 0
	return j.withPhase(Queued{
		Since: now,
	}).withHistory(now, "Released by an operator.")
}

// withEnded returns j in phase Ended, without its tasks and with the last
// entries of its history only.
func (j Job) withEnded(now time.Time, r Result) Job {
	j.TaskPlacements = nil
	if n := len(j.History); n > historyAfterEnd {
		j.History = slices.Clone(j.History[n-historyAfterEnd:])
	}
	return j.withPhase(Ended{
		At:     now,
		Result: r,
	}).withHistory(now, fmt.Sprintf("Ended: %s.", r))
}

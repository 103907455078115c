package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/job"
)

// Ranks of queued jobs, the most urgent first.
const (
	rankUrgent = iota
	rankWithinGuarantee
	rankNearDeadline
	rankBorrowing
	rankBatch
)

// nearDeadlineSlack is the slack below which a batch job is ranked before
// normal jobs that borrow capacity.
const nearDeadlineSlack = 15 * time.Minute

type queuedJob struct {
	job      job.Job
	rank     int
	deadline time.Time
}

// sortedQueue returns the queued jobs in the order in which they are placed.
func (p *planner) sortedQueue(jobs []job.Job) []job.Job {
	list := make([]queuedJob, 0, len(jobs))
	for _, j := range jobs {
		if _, ok := j.Phase.(job.Queued); ok {
			list = append(list, queuedJob{
				job:      j,
				rank:     p.rankOf(j),
				deadline: deadlineOrDefault(j),
			})
		}
	}
	if _, baseline := p.in.Policy.(FirstFit); !baseline {
		slices.SortStableFunc(list, compareQueued)
	}
	sorted := make([]job.Job, len(list))
	for i, q := range list {
		sorted[i] = q.job
	}
	return sorted
}

func compareQueued(a, b queuedJob) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		a.deadline.Compare(b.deadline),
		a.job.Submitted.Compare(b.job.Submitted),
		cmp.Compare(a.job.Spec.ID, b.job.Spec.ID),
	)
}

func (p *planner) rankOf(j job.Job) int {
	isCovered := p.remainingGuarantees[j.Spec.Organisation].Covers(j.Spec.Shape)
	switch {
	case j.Spec.Class == "urgent":
		return rankUrgent
	case isCovered && j.Spec.Class == "normal":
		return rankWithinGuarantee
	case j.Spec.Class == "batch" && p.slack(j) < nearDeadlineSlack:
		return rankNearDeadline
	case j.Spec.Class == "normal":
		return rankBorrowing
	}
	return rankBatch
}

// slack returns how long a job can still wait and meet its deadline; it is
// negative if the deadline is expected to be missed.
func (p *planner) slack(j job.Job) time.Duration {
	return deadlineOrDefault(j).Sub(p.now) - p.expectedRunTime(j)
}

// defaultDeadline is the time from submission to the deadline that is assumed
// for jobs without one.
const defaultDeadline = 365 * 24 * time.Hour

func deadlineOrDefault(j job.Job) time.Time {
	if d := j.Deadline(); !d.IsZero() {
		return d
	}
	return j.Submitted.Add(defaultDeadline)
}

// expectedRunTime returns the expected remaining run time of a job after its
// last checkpoint.
func (p *planner) expectedRunTime(j job.Job) time.Duration {
	total := p.in.Estimates[EstimateKey(j.Spec)].Expect(j.Spec.DeclaredRunMS)
	return max(0, total-time.Duration(j.SavedMS)*time.Millisecond)
}

// expectedEnd returns when a job is expected to release its capacity.
func (p *planner) expectedEnd(j job.Job) time.Time {
	switch phase := j.Phase.(type) {
	case job.Running:
		end := phase.Since.Add(p.expectedRunTime(j))
		if end.Before(p.now) {
			// A job that exceeds its estimate is expected to run for as long
			// again as it has so far.
			return p.now.Add(p.now.Sub(phase.Since))
		}
		return end
	case job.Preparing:
		return phase.Since.Add(p.expectedRunTime(j))
	case job.Stopping:
		return p.now
	case job.Queued, job.Parked, job.Ended:
		return p.now
	}
	return p.now
}

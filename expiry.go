package plantainladder

import (
	"fmt"
	"time"

	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/job"
)

// expiryKind says which table an expiry belongs to.
type expiryKind string

const (
	expireClaim   expiryKind = "claim"
	expireOutcome expiryKind = "outcome"
	expireJob     expiryKind = "job"

	expireWorkflow expiryKind = "workflow"
)

// An expiry names a record that is forgotten at a time.
type expiry struct {
	Kind expiryKind `json:"kind"`
	Key  string     `json:"key"`
	At   time.Time  `json:"at"`
}

// sortKey sorts expiries by time.
func (e expiry) sortKey() string {
	return timeKey(e.At, string(e.Kind)+"/"+e.Key)
}

// maxExpiriesPerCommand bounds the records that one command forgets. It is above
// one, so that the tables shrink under a steady stream of commands.
const maxExpiriesPerCommand = 4

func (s State) withExpiry(e expiry) State {
	s.expiries = s.expiries.with(e.sortKey(), e)
	return s
}

// withoutExpired returns s without a few of the records whose time has come.
func (s State) withoutExpired(now time.Time) State {
	for range maxExpiriesPerCommand {
		key, e, ok := s.expiries.first()
		if !ok || e.At.After(now) {
			return s
		}
		s.expiries = s.expiries.without(key)
		s = s.withoutExpiredRecord(now, e)
	}
	return s
}

func (s State) withoutExpiredRecord(now time.Time, e expiry) State {
	switch e.Kind {
	case expireClaim:
		// A claim that was made anew since then has a later expiry of its own.
		if c, ok := s.claims.get(e.Key); ok && !c.Expires.After(now) && c.At(now).State != claim.Unknown {
			s.claims = s.claims.without(e.Key)
			s.claimAnswerBytes -= len(c.Answer.Body)
		}
	case expireOutcome:
		s.outcomes = s.outcomes.without(e.Key)
	case expireJob:
		if j, ok := s.jobs.get(e.Key); ok && j.HasEnded() {
			s.jobs = s.jobs.without(e.Key)
		}
	case expireWorkflow:
		if w, ok := s.workflows.get(e.Key); ok && w.IsInactive() {
			s.workflows = s.workflows.without(e.Key)
		}
	}
	return s
}

// withJob returns s with a job written, its indexes included.
func (s State) withJob(now time.Time, j job.Job) State {
	id := j.Spec.ID
	before, existed := s.jobs.get(id)
	s.jobs = s.jobs.with(id, j)
	key := submissionKey(j)
	count, _ := s.activeJobCounts.get(j.Spec.Organisation)
	switch {
	case !existed:
		s.activeJobIDs = s.activeJobIDs.with(key, id)
		s.activeJobCounts = s.activeJobCounts.with(j.Spec.Organisation, count+1)
	case j.HasEnded() && !before.HasEnded():
		s.activeJobIDs = s.activeJobIDs.without(key)
		s.activeJobCounts = s.activeJobCounts.with(j.Spec.Organisation, count-1)
		s = s.withExpiry(expiry{
			Kind: expireJob,
			Key:  id,
			At:   now.Add(JobRetention),
		})
	}
	return s
}

// submissionKey sorts jobs by submission.
func submissionKey(j job.Job) string {
	return timeKey(j.Submitted, j.Spec.ID)
}

// timeKey sorts records by a time, and those of the same time by their names.
func timeKey(t time.Time, name string) string {
	return fmt.Sprintf("%020d/%s", t.UnixNano(), name)
}

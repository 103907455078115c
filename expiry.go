package plantainladder

import (
	"fmt"
	"time"

	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/job"
)

// An ExpiryKind is the kind of record that an Expiry refers to.
type ExpiryKind string

const (
	expireClaim    ExpiryKind = "claim"
	expireOutcome  ExpiryKind = "outcome"
	expireJob      ExpiryKind = "job"
	expireWorkflow ExpiryKind = "workflow"
)

// An Expiry names a record and the time from which it may be removed.
type Expiry struct {
	// Kind is the record's table.
	Kind ExpiryKind `json:"kind"`
	// Key is the record's key in that table.
	Key string `json:"key"`
	// At is the time from which the record may be removed.
	At time.Time `json:"at"`
}

// sortKey returns the key of e in the table of expiries, which orders them by
// time.
func (e Expiry) sortKey() string {
	return timeKey(e.At, string(e.Kind)+"/"+e.Key)
}

// maxExpiriesPerCommand limits the expired records that one command removes. It is
// greater than one so that the tables shrink even if every command adds a record.
const maxExpiriesPerCommand = 4

func (s State) withExpiry(e Expiry) State {
	s.expiries = s.expiries.with(e.sortKey(), e)
	return s
}

// withoutExpired returns s without up to maxExpiriesPerCommand expired records.
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

// withoutExpiredRecord returns s without the record that e names, unless the
// record has been renewed or may not be removed yet.
func (s State) withoutExpiredRecord(now time.Time, e Expiry) State {
	switch e.Kind {
	case expireClaim:
		// A key that was claimed again in the meantime has a later expiry of its own.
		// An unknown outcome is kept until an operator resolves it.
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

// withJob returns s with a job added or replaced and the indexes updated.
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
		s = s.withExpiry(Expiry{
			Kind: expireJob,
			Key:  id,
			At:   now.Add(JobRetention),
		})
	}
	return s
}

// submissionKey returns the key of a job in the table of active jobs, which orders
// them by the time of submission.
func submissionKey(j job.Job) string {
	return timeKey(j.Submitted, j.Spec.ID)
}

// timeKey returns a key that orders records by time, and by name if the times are
// equal.
func timeKey(t time.Time, name string) string {
	return fmt.Sprintf("%020d/%s", t.UnixNano(), name)
}

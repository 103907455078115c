// Package api holds the documents and header names of the HTTP interface for
// callers, minions, workers and operators, version 1. docs/API.md describes
// them.
package api

import (
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/datacentre"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/shape"
	"github.com/plantainladder/plantainladder/worker"
)

// Header names of requests.
const (
	HeaderOrganisation   = "Ladder-Organisation"
	HeaderClass          = "Ladder-Class"
	HeaderDeadline       = "Ladder-Deadline-Ms"
	HeaderIdempotent     = "Ladder-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderCommandID      = "Ladder-Command-Id"
	HeaderOutcome        = "Ladder-Outcome"
	HeaderReason         = "Ladder-Reason"
	HeaderRequestID      = "Ladder-Request-Id"
	HeaderMinion         = "Ladder-Minion"
	HeaderStartWithin    = "Ladder-Start-Within-Ms"
)

// Outcomes of a request, in HeaderOutcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// An Error is the body of every answer that is not a success.
type Error struct {
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome string `json:"outcome"`
	// Reason is a word for programs.
	Reason string `json:"reason"`
	// Field names the field that is at fault, if one is.
	Field string `json:"field,omitempty"`
	// Detail is a sentence for people.
	Detail string `json:"detail"`
	// Revision is the current revision, for the reason "wrong-revision".
	Revision uint64 `json:"revision,omitempty"`
	// RetryAfterMS is how long to wait before another try, in milliseconds;
	// zero if a retry is of no use.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
}

// Accepted answers an edit.
type Accepted struct {
	// Revision is the record's revision after the edit.
	Revision uint64 `json:"revision"`
	// Index is the version of the configuration that holds the edit.
	Index uint64 `json:"index"`
}

// Contracts answers a list of contracts.
type Contracts struct {
	Contracts []contract.Contract `json:"contracts"`
}

// DataCentres answers a list of data centres.
type DataCentres struct {
	DataCentres []datacentre.DataCentre `json:"data-centres"`
}

// SetDataCentre is the body of an edit of a data centre.
type SetDataCentre struct {
	// OutOfService is true to take it out of service.
	OutOfService bool `json:"out"`
	// Revision is the revision that the edit was made on.
	Revision uint64 `json:"revision"`
}

// Job is a job as callers see it.
type Job struct {
	job.Spec
	Phase     string             `json:"phase"`
	Result    string             `json:"result,omitempty"`
	Submitted time.Time          `json:"submitted"`
	Attempt   int                `json:"attempt"`
	Borrowed  bool               `json:"borrowed"`
	Workers   []string           `json:"workers,omitempty"`
	Waiting   string             `json:"waiting,omitempty"`
	History   []job.HistoryEntry `json:"decisions,omitempty"`
}

// Jobs answers a list of jobs.
type Jobs struct {
	Jobs []Job `json:"jobs"`
}

// NewJob returns a job as callers see it; waiting says what it waits for.
func NewJob(j job.Job, waiting string) Job {
	out := Job{
		Spec:      j.Spec,
		Phase:     job.PhaseName(j.Phase),
		Submitted: j.Submitted,
		Attempt:   j.Attempt,
		Borrowed:  j.Borrowed,
		History:   j.History,
	}
	switch p := j.Phase.(type) {
	case job.Ended:
		out.Result = string(p.Result)
	case job.Parked:
		out.Waiting = p.Reason
	case job.Queued:
		out.Waiting = waiting
	case job.Preparing, job.Running, job.Stopping:
	}
	for _, p := range j.Parts {
		out.Workers = append(out.Workers, p.Worker)
	}
	return out
}

// JobsQuery asks for jobs.
type JobsQuery struct {
	// ID asks for one job; empty for all.
	ID string `json:"id"`
	// Organisation asks for the jobs of one organisation; empty for all.
	Organisation string `json:"organisation"`
}

// Worker is a worker as operators see it.
type Worker struct {
	worker.Worker
	// Alive is false once its lease has run out.
	Alive bool `json:"alive"`
	// Used is what tasks hold.
	Used shape.Resources `json:"used"`
}

// Workers answers a list of workers.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// Minion is a minion as operators see it.
type Minion struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
	AgeMS       int64  `json:"age-ms"`
}

// Minions answers a list of minions.
type Minions struct {
	Minions []Minion `json:"minions"`
}

// Member is a controller as operators see it.
type Member struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
	Leader   bool   `json:"leader"`
	Match    uint64 `json:"match"`
	Replaces string `json:"replaces,omitempty"`
	Alive    bool   `json:"alive"`
}

// Members answers a question for the controllers' group.
type Members struct {
	Group   string   `json:"group"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Members []Member `json:"members"`
	// ToleratedFailures is how many more voters may fail at once.
	ToleratedFailures int `json:"can-lose"`
}

// FormMembers is the body of the forming of a group.
type FormMembers struct {
	// Addresses lists the controllers; the first forms the group.
	Addresses []string `json:"addresses"`
}

// AddMember is the body of an addition to the group.
type AddMember struct {
	// Address is the controller's address.
	Address string `json:"address"`
	// Replaces is the identity of the member that it replaces, if any.
	Replaces string `json:"replaces"`
}

// Gateway is a gateway as operators see it.
type Gateway struct {
	Name string `json:"name"`
	// Index is the version of the configuration that is in force there.
	Index uint64 `json:"index"`
	// LeaseMS is how long it may act on that version without hearing more.
	LeaseMS int64 `json:"lease-ms"`
}

// Status answers a question for the whole system.
type Status struct {
	Leader        string                   `json:"leader"`
	Index         uint64                   `json:"index"`
	Gateways      []Gateway                `json:"gateways"`
	Fragmentation []schedule.Fragmentation `json:"fragmentation"`
	Contracts     int                      `json:"contracts"`
	Workers       int                      `json:"workers"`
	Minions       int                      `json:"minions"`
	ActiveJobs    int                      `json:"active-jobs"`
	UnknownClaims int                      `json:"unknown-claims"`
}

// InForce answers a question for a version of the configuration.
type InForce struct {
	Index uint64 `json:"index"`
	// InForce is true once no gateway can act on an older version.
	InForce bool `json:"in-force"`
	// Behind lists the gateways that still may.
	Behind []string `json:"behind,omitempty"`
}

// Claim is a claim as operators see it.
type Claim struct {
	Organisation string    `json:"organisation"`
	ID           string    `json:"id"`
	State        string    `json:"state"`
	Holder       string    `json:"holder"`
	Deadline     time.Time `json:"deadline"`
}

// Claims answers a list of claims with an unknown outcome.
type Claims struct {
	Claims []Claim `json:"claims"`
}

// ResolveClaim is the body of an operator's settlement of a claim.
type ResolveClaim struct {
	Note string `json:"note"`
}

// AnnounceReply answers a minion's announcement.
type AnnounceReply struct {
	// AcceptForMS is how long, from the moment that the minion sent the
	// announcement, it may begin new requests, in milliseconds.
	AcceptForMS int64 `json:"accept-for-ms"`
	// IntervalMS is the period of announcements, in milliseconds.
	IntervalMS int64 `json:"every-ms"`
}

// HeartbeatReply answers a worker's beat.
type HeartbeatReply = worker.HeartbeatReply

// Order is what the system tells a worker about one task.
type Order = worker.Order

// OrderReply answers a list of orders.
type OrderReply struct {
	// Incarnation is the worker's incarnation.
	Incarnation string `json:"incarnation"`
	// Sequence is the sequence of the last beat that the worker composed.
	Sequence uint64 `json:"sequence"`
	// Reports says what became of each order's task, in the same order.
	Reports []worker.TaskReport `json:"reports"`
}

// Orders is the body of a push to a worker.
type Orders struct {
	Orders []worker.Order `json:"orders"`
}

// Package api defines the JSON documents and header names of version 1 of the
// HTTP interface for callers, minions, workers and operators. docs/API.md
// describes them.
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

// Header names of requests and responses.
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

// Outcomes of a request: the values of HeaderOutcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// An Error is the body of every response that reports a failure.
type Error struct {
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome string `json:"outcome"`
	// Reason is a stable code for programs.
	Reason string `json:"reason"`
	// Field names the invalid field of the request, if any.
	Field string `json:"field,omitempty"`
	// Detail is an explanation for people.
	Detail string `json:"detail"`
	// Revision is the current revision, for the reason "wrong-revision".
	Revision uint64 `json:"revision,omitempty"`
	// RetryAfterMS is how long to wait before a retry, in milliseconds; zero if
	// a retry is of no use.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
}

// Accepted is the response to an accepted edit.
type Accepted struct {
	// Revision is the record's revision after the edit.
	Revision uint64 `json:"revision"`
	// Index is the index of the view that contains the edit, as InForce uses it.
	Index uint64 `json:"index"`
}

// Contracts is the response to a list of contracts.
type Contracts struct {
	Contracts []contract.Contract `json:"contracts"`
}

// DataCentres is the response to a list of data centres.
type DataCentres struct {
	DataCentres []datacentre.DataCentre `json:"data-centres"`
}

// SetDataCentre is the request to take a data centre out of service or back in.
type SetDataCentre struct {
	// OutOfService is true to take the data centre out of service.
	OutOfService bool `json:"out"`
	// Revision is the revision that the edit is based on.
	Revision uint64 `json:"revision"`
}

// Job is a job as shown to callers and operators.
type Job struct {
	job.Spec
	Phase     string    `json:"phase"`
	Result    string    `json:"result,omitempty"`
	Submitted time.Time `json:"submitted"`
	Attempt   int       `json:"attempt"`
	Borrowed  bool      `json:"borrowed"`
	// Workers lists the worker of each task, in the order of the tasks.
	Workers []string `json:"workers,omitempty"`
	// Waiting says why a queued or parked job does not run.
	Waiting string             `json:"waiting,omitempty"`
	History []job.HistoryEntry `json:"decisions,omitempty"`
}

// Jobs is the response to a list of jobs.
type Jobs struct {
	Jobs []Job `json:"jobs"`
}

// NewJob returns the document of a job; waiting says why it does not run if it is
// queued.
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
	for _, p := range j.TaskPlacements {
		out.Workers = append(out.Workers, p.Worker)
	}
	return out
}

// JobsQuery selects jobs.
type JobsQuery struct {
	// ID selects one job; empty for all.
	ID string `json:"id"`
	// Organisation selects the jobs of one organisation; empty for all.
	Organisation string `json:"organisation"`
}

// Worker is a worker as shown to operators.
type Worker struct {
	worker.Worker
	// Alive is false once the lease of the worker has expired.
	Alive bool `json:"alive"`
	// Used is the capacity allocated to tasks.
	Used shape.Resources `json:"used"`
}

// Workers is the response to a list of workers.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// Minion is a minion as shown to operators.
type Minion struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
	// AgeMS is the time since the last announcement, in milliseconds.
	AgeMS int64 `json:"age-ms"`
}

// Minions is the response to a list of minions.
type Minions struct {
	Minions []Minion `json:"minions"`
}

// Member is a controller of the group as shown to operators.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	// Match is the index of the last log entry known to be replicated to it.
	Match uint64 `json:"match"`
	// Replaces is the identity of the member that leaves once this one votes.
	Replaces string `json:"replaces,omitempty"`
	Alive    bool   `json:"alive"`
}

// Members is the response to a query for the group of controllers.
type Members struct {
	Group string `json:"group"`
	Term  uint64 `json:"term"`
	// Commit is the index of the last committed log entry.
	Commit  uint64   `json:"commit"`
	Members []Member `json:"members"`
	// ToleratedFailures is how many more voters may fail at once without loss
	// of the quorum.
	ToleratedFailures int `json:"can-lose"`
}

// FormMembers is the request to form the group of controllers.
type FormMembers struct {
	// Addresses lists the controllers; the first forms the group.
	Addresses []string `json:"addresses"`
}

// AddMember is the request to add a controller to the group.
type AddMember struct {
	// Address is the address of the controller to add.
	Address string `json:"address"`
	// Replaces is the identity of the member to remove in turn, if any.
	Replaces string `json:"replaces"`
}

// Gateway is a gateway as shown to operators.
type Gateway struct {
	Name string `json:"name"`
	// Index is the index of the view that is in force there.
	Index uint64 `json:"index"`
	// LeaseMS is how long the gateway may still act on that view, in
	// milliseconds.
	LeaseMS int64 `json:"lease-ms"`
}

// Status is the response to a query for the state of the system.
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

// InForce is the response to the query whether a view is in force everywhere.
type InForce struct {
	Index uint64 `json:"index"`
	// InForce is true once no gateway can act on an older view.
	InForce bool `json:"in-force"`
	// Behind lists the gateways that still can.
	Behind []string `json:"behind,omitempty"`
}

// Claim is a claim as shown to operators.
type Claim struct {
	Organisation string    `json:"organisation"`
	ID           string    `json:"id"`
	State        string    `json:"state"`
	Holder       string    `json:"holder"`
	Deadline     time.Time `json:"deadline"`
}

// Claims is the response to a list of the claims with an unknown outcome.
type Claims struct {
	Claims []Claim `json:"claims"`
}

// ResolveClaim is the request of an operator to resolve a claim whose outcome is
// unknown.
type ResolveClaim struct {
	Note string `json:"note"`
}

// AnnounceReply is the response to a minion's announcement.
type AnnounceReply struct {
	// AcceptForMS is how long the minion may start new requests, in milliseconds
	// from the time that it sent the announcement.
	AcceptForMS int64 `json:"accept-for-ms"`
	// IntervalMS is the interval between announcements, in milliseconds.
	IntervalMS int64 `json:"every-ms"`
}

// HeartbeatReply is the response to a worker's heartbeat.
type HeartbeatReply = worker.HeartbeatReply

// Order tells a worker what to do with one task.
type Order = worker.Order

// OrderReply is the response of a worker to a list of orders.
type OrderReply struct {
	// Incarnation is the worker's incarnation.
	Incarnation string `json:"incarnation"`
	// Sequence is the sequence number of the last heartbeat that the worker
	// composed.
	Sequence uint64 `json:"sequence"`
	// Reports holds the state of the task of each order, in the same order.
	Reports []worker.TaskReport `json:"reports"`
}

// Orders is the body of a request that pushes orders to a worker.
type Orders struct {
	Orders []worker.Order `json:"orders"`
}

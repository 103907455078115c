package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/shape"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/worker"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

const (
	snapshotBytes   = 4 << 20
	trailingBytes   = 1 << 20
	maxCommandBytes = 1 << 20
)

// leader drives the Core of a group of one controller, whose writes are durable
// at once.
type leader struct {
	core    control.Core
	now     time.Time
	effects []control.Effect
}

func newLeader() *leader {
	return newLeaderOf(0)
}

// newLeaderOf returns the leader of a group that is to have the number of voters.
func newLeaderOf(voters int) *leader {
	now := time.Unix(1_700_000_000, 0)
	l := &leader{
		now: now,
		core: control.NewCore(control.Config{
			Codec: control.Codec{
				Encode: wire.MarshalEnvelope,
				Decode: wire.UnmarshalEnvelope,
			},
			SnapshotEvery:   1000,
			SnapshotBytes:   snapshotBytes,
			TrailingEntries: 100,
			TrailingBytes:   trailingBytes,
			Policy:          schedule.Guaranteed{},
			Voters:          voters,
		}, consensus.NewReplica(now, consensus.Config{
			ID:              "c1",
			ElectionTimeout: time.Second,
			Heartbeat:       100 * time.Millisecond,
			MaxUncommitted:  100,
			MaxCommandBytes: maxCommandBytes,
			MaxApplyEntries: 64,
			MaxApplyBytes:   1 << 16,
		}, consensus.StoredState{}), plantainladder.NewState()),
	}
	l.step(control.FormGroup{
		Group: "g",
		Self: member.Member{
			ID:      "c1",
			Address: "c1",
		},
	})
	return l
}

// step applies an event and reports the entries that it wrote as synced. It
// returns all effects.
func (l *leader) step(e control.Event) []control.Effect {
	var out []control.Effect
	l.core, out = l.core.Step(l.now, e)
	l.effects = append(l.effects, out...)
	for _, f := range out {
		switch f := f.(type) {
		case control.WriteLog:
			if n := len(f.Persist.Entries); n > 0 {
				out = append(out, l.step(control.EntriesSynced{
					Index: f.Persist.Entries[n-1].Index,
					Term:  f.Persist.Entries[n-1].Term,
				})...)
			}
		case control.ContinueApplying:
			out = append(out, l.step(control.ApplyDue{})...)
		}
	}
	return out
}

// advance moves the clock forward by d, with a tick every 20 ms.
func (l *leader) advance(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(20 * time.Millisecond)
		l.step(control.Tick{})
	}
}

func (l *leader) poll(p control.Poll) control.PollReply {
	p.RenewalRequest.Gateway = "g1"
	for _, f := range l.step(control.PollReceived{
		Token: 1,
		Poll:  p,
	}) {
		if r, ok := f.(control.Reply); ok {
			if a, polled := r.Answer.(control.PollResult); polled {
				return a.Reply
			}
		}
	}
	return control.PollReply{}
}

func (l *leader) submit(c plantainladder.Command) {
	l.step(control.Submit{
		Token:   2,
		Command: c,
	})
}

func heartbeat(sequence uint64, tasks ...worker.TaskReport) worker.Heartbeat {
	return worker.Heartbeat{
		Worker: worker.Worker{
			Name:        "w1",
			Address:     "w1:1",
			DataCentre:  "a",
			Rack:        "r",
			Incarnation: "i1",
			Capacity: shape.Resources{
				Accelerators: 8,
			},
		},
		Sequence: sequence,
		Tasks:    tasks,
	}
}

func fullHeartbeatPoll(b worker.Heartbeat) control.Poll {
	return control.Poll{
		Heartbeats: []worker.Heartbeat{
			b,
		},
	}
}

func compactHeartbeatPoll(b worker.Heartbeat) control.Poll {
	return control.Poll{
		CompactHeartbeats: []worker.CompactHeartbeat{
			b.CompactHeartbeat(),
		},
	}
}

var _ = Describe("A leader", func() {
	It("accepts a compact heartbeat only if it knows the full heartbeat", func() {
		l := newLeader()
		Expect(l.poll(compactHeartbeatPoll(heartbeat(1))).ResendDigests).To(ConsistOf(heartbeat(1).Digest()))
		Expect(l.poll(fullHeartbeatPoll(heartbeat(2))).Heartbeats).To(HaveKey("w1"))
		Expect(l.poll(compactHeartbeatPoll(heartbeat(3))).ResendDigests).To(BeEmpty())
		changed := heartbeat(4)
		changed.Worker.Rack = "other"
		Expect(l.poll(compactHeartbeatPoll(changed)).ResendDigests).To(ConsistOf(changed.Digest()))
	})

	It("requests full heartbeats from a gateway of the previous version", func() {
		l := newLeader()
		r := l.poll(control.Poll{
			LegacyHeartbeats: []worker.LegacyHeartbeat{
				{
					Worker: "w1",
				},
			},
		})
		Expect(r.ResendWorkers).To(Equal([]string{"w1"}))
		Expect(l.poll(fullHeartbeatPoll(heartbeat(2))).Heartbeats).To(HaveKey("w1"))
	})

	It("does not let a worker start tasks while its data centre is out of service", func() {
		l := newLeader()
		l.poll(fullHeartbeatPoll(heartbeat(1)))
		l.submit(plantainladder.SetDataCentre{
			Name:         "a",
			OutOfService: true,
		})
		Expect(l.poll(compactHeartbeatPoll(heartbeat(2))).ResendDigests).To(ConsistOf(heartbeat(2).Digest()))
		r := l.poll(fullHeartbeatPoll(heartbeat(3))).Heartbeats["w1"]
		Expect(r.StartForMS).To(BeZero())
		Expect(r.LeaseMS).To(BeNumerically(">", 0))
	})

	It("reports a change as in force only after all leases on older versions have expired", func() {
		l := newLeader()
		l.advance(lease.ViewDuration + lease.DriftMargin)
		reply := l.poll(control.Poll{})
		l.submit(plantainladder.SetDataCentre{
			Name:         "a",
			OutOfService: true,
		})
		index := l.core.State().Index()
		Expect(index).To(BeNumerically(">", reply.Index))
		Expect(l.core.GatewaysBehind(l.now, index)).To(ConsistOf("g1"))
		l.advance(lease.ViewDuration + lease.DriftMargin)
		Expect(l.core.GatewaysBehind(l.now, index)).To(BeEmpty())
	})

	It("prepares, starts and ends a job, and pushes each order only once within the retry interval", func() {
		l := newLeader()
		l.poll(fullHeartbeatPoll(heartbeat(1)))
		l.submitJob()
		l.advance(200 * time.Millisecond)
		Expect(l.pushedActions()).To(Equal([]string{worker.ActionPrepare}))
		l.respond(worker.TaskPrepared)
		l.advance(200 * time.Millisecond)
		Expect(l.pushedActions()).To(Equal([]string{worker.ActionPrepare, worker.ActionStart}))
		l.respond(worker.TaskRunning)
		l.poll(fullHeartbeatPoll(heartbeat(9, taskReport(worker.TaskDone))))
		l.advance(200 * time.Millisecond)
		j, _ := l.core.State().Job("j")
		Expect(j.HasEnded()).To(BeTrue())
		Expect(l.poll(fullHeartbeatPoll(heartbeat(10, taskReport(worker.TaskDone)))).Heartbeats["w1"].Forget).To(HaveLen(1))
	})

	It("removes a worker after a day without contact", func() {
		l := newLeader()
		l.poll(fullHeartbeatPoll(heartbeat(1)))
		l.now = l.now.Add(23 * time.Hour)
		l.advance(time.Second)
		Expect(l.core.State().Workers()).To(HaveLen(1))
		l.now = l.now.Add(2 * time.Hour)
		l.advance(time.Second)
		Expect(l.core.State().Workers()).To(BeEmpty())
	})

	It("ends a running job with an unknown result once the lease of its silent worker has expired", func() {
		l := newLeader()
		l.poll(fullHeartbeatPoll(heartbeat(1)))
		l.submitJob()
		l.advance(200 * time.Millisecond)
		l.respond(worker.TaskPrepared)
		l.advance(200 * time.Millisecond)
		l.respond(worker.TaskRunning)
		l.advance(worker.LeaseDuration - 2*time.Second)
		j, _ := l.core.State().Job("j")
		Expect(job.PhaseName(j.Phase)).To(Equal("running"))
		l.advance(4 * time.Second)
		j, _ = l.core.State().Job("j")
		Expect(j.Phase).To(HaveField("Result", job.ResultUnknown))
	})
})

// submitJob submits the job "j" with one task for the organisation "o". It may not
// run twice.
func (l *leader) submitJob() {
	l.submitJobThat(false)
}

func (l *leader) submitJobThat(isIdempotent bool) {
	l.submit(plantainladder.PutContract{
		Contract: contract.Contract{
			Organisation:        "o",
			CeilingAccelerators: 100,
			CeilingSlots:        10,
			MaxQueuedJobs:       10,
			ClaimWindowS:        60,
			Classes:             contract.Classes(),
		},
	})
	l.submit(plantainladder.SubmitJob{
		Spec: job.Spec{
			ID:           "j",
			Organisation: "o",
			Class:        "normal",
			Idempotent:   isIdempotent,
			Shape: shape.Shape{
				Tasks: 1,
				PerTask: shape.Resources{
					Accelerators: 1,
				},
			},
		},
	})
}

func taskReport(s worker.TaskState) worker.TaskReport {
	return worker.TaskReport{
		Job:     "j",
		Attempt: 1,
		State:   s,
		Started: s != worker.TaskPrepared,
	}
}

// respond delivers the answer of the worker to an order, with the task in the
// state s.
func (l *leader) respond(s worker.TaskState) {
	l.step(control.PushAnswered{
		Worker:      "w1",
		Incarnation: "i1",
		Sequence:    5,
		Reports: []worker.TaskReport{
			taskReport(s),
		},
	})
}

// pushedActions returns the actions of all orders pushed so far.
func (l *leader) pushedActions() []string {
	var actions []string
	for _, f := range l.effects {
		if p, ok := f.(control.Push); ok {
			for _, o := range p.Orders {
				actions = append(actions, o.Action)
			}
		}
	}
	return actions
}

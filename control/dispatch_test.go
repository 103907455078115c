package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/workflow"

	plantainladder "github.com/plantainladder/plantainladder"
)

// newDispatchCore returns the core of the leader of a group of one, with the
// dispatch of workflows enabled.
func newDispatchCore(now time.Time) control.Core {
	c := control.NewCore(control.Config{
		Codec: control.Codec{
			Encode: wire.MarshalEnvelope,
			Decode: wire.UnmarshalEnvelope,
		},
		SnapshotEvery: 1000,
		Dispatch: dispatch.Config{
			LeaseDuration: time.Second,
		},
	}, consensus.NewReplica(now, consensus.Config{
		ID:              "a",
		ElectionTimeout: time.Second,
		Heartbeat:       time.Second,
		MaxBatchEntries: 10,
		MaxBatchBytes:   1 << 20,
		MaxUncommitted:  100,
		MaxApplyEntries: 64,
		MaxApplyBytes:   1 << 16,
	}, consensus.StoredState{}), plantainladder.NewState())
	c, out := c.Step(now, control.FormGroup{
		Group: "g",
		Self: member.Member{
			ID:      "a",
			Address: "1",
		},
	})
	for _, f := range out {
		w, ok := f.(control.WriteLog)
		if !ok || len(w.Persist.Entries) == 0 {
			continue
		}
		last := w.Persist.Entries[len(w.Persist.Entries)-1]
		c, _ = c.Step(now, control.EntriesSynced{
			Index: last.Index,
			Term:  last.Term,
		})
	}
	return c
}

func announcement(sequence uint64) control.Event {
	return control.ObservationReceived{
		Observation: dispatch.WorkerAnnounced{
			Worker: pool.Worker{
				ID:          "w",
				Incarnation: int64(sequence),
			},
			Sequence: sequence,
		},
	}
}

func startsTimer(out []control.Effect) bool {
	for _, f := range out {
		if _, ok := f.(control.StartTimer); ok {
			return true
		}
	}
	return false
}

// commit submits a command and reports its entry as synced. It returns the next
// core and the decisions that were logged.
func commit(now time.Time, c control.Core, command plantainladder.Command) (next control.Core, notes []dispatch.DecisionRecord) {
	c, out := commitWithEffects(now, c, command)
	for _, f := range out {
		if e, ok := f.(control.LogDecision); ok {
			notes = append(notes, e.Record)
		}
	}
	return c, notes
}

// commitWithEffects is like commit, but returns the effects of the committed entry.
func commitWithEffects(now time.Time, c control.Core, command plantainladder.Command) (next control.Core, effects []control.Effect) {
	c, out := c.Step(now, control.Submit{
		Command: command,
	})
	for _, f := range out {
		w, ok := f.(control.WriteLog)
		if !ok || len(w.Persist.Entries) == 0 {
			continue
		}
		last := w.Persist.Entries[len(w.Persist.Entries)-1]
		var more []control.Effect
		c, more = c.Step(now, control.EntriesSynced{
			Index: last.Index,
			Term:  last.Term,
		})
		effects = append(effects, more...)
	}
	return c, effects
}

// newQueueConfiguration returns a configuration with the queue "checks".
func newQueueConfiguration() plantainladder.PutConfiguration {
	return plantainladder.PutConfiguration{
		Document: configuration.Document{
			Version: 1,
			Queues: []configuration.Queue{
				{
					Name:    "checks",
					Pool:    "pool",
					Timeout: time.Second,
					Public:  true,
					Stretch: 2,
					Slack:   time.Second,
				},
			},
			Pools: []configuration.Pool{
				{
					Name: "pool",
				},
			},
		},
	}
}

// newSubmission returns the submission of a workflow with one task.
func newSubmission(id string) plantainladder.SubmitWorkflow {
	return plantainladder.SubmitWorkflow{
		Spec: workflow.Spec{
			ID:    id,
			Queue: "checks",
			Steps: []workflow.Step{
				{
					Tasks:           1,
					DeclaredRunTime: time.Second,
				},
			},
		},
	}
}

var _ = Describe("The decision log of a leader", func() {
	It("has one line when a workflow is accepted and one when it is finished", func() {
		now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
		c := newDispatchCore(now)
		c, _ = commit(now, c, newQueueConfiguration())
		submit := newSubmission("w-1")
		c, notes := commit(now, c, submit)
		Expect(notes).To(HaveLen(1))
		Expect(notes[0].Text).To(Equal("Workflow is accepted."))
		Expect(notes[0].RunKey.Workflow).To(Equal("w-1"))
		Expect(notes[0].Queue).To(Equal("checks"))
		Expect(notes[0].CompleteBy).To(Equal(now.Add(3 * time.Second)))
		c, notes = commit(now, c, submit)
		Expect(notes).To(BeEmpty(), "a resent submission")

		ref := workflow.RunKey{
			TaskKey: workflow.TaskKey{
				Workflow: "w-1",
			},
			Run: 1,
		}
		c, notes = commit(now, c, plantainladder.Round{
			ID: 1,
			Placements: []workflow.Placement{
				{
					RunKey: ref,
					Worker: "a",
				},
			},
		})
		Expect(notes).To(BeEmpty(), "not finished yet")
		now = now.Add(2 * time.Second)
		_, notes = commit(now, c, plantainladder.Round{
			ID: 2,
			RunEnds: []workflow.RunEnd{
				{
					RunKey:    ref,
					EndReason: workflow.EndedDone,
				},
			},
		})
		Expect(notes).To(HaveLen(1))
		Expect(notes[0].Text).To(Equal("Workflow is finished."))
		Expect(notes[0].Reason).To(Equal("completed"))
		Expect(notes[0].Age).To(Equal(2 * time.Second))
	})
})

var _ = Describe("A busy leader", func() {
	It("starts a timer for an event right after a dispatch pass, after each pass again", func() {
		now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
		c := newDispatchCore(now)
		Expect(c.HasLease(now)).To(BeTrue())
		for n := range uint64(3) {
			now = now.Add(100 * time.Millisecond)
			c, _ = c.Step(now, control.Tick{})
			now = now.Add(time.Millisecond)
			var out []control.Effect
			c, out = c.Step(now, announcement(n+1))
			Expect(startsTimer(out)).To(BeTrue(), "pass %d", n)
			// The tick runs the next pass before the timer fires.
			now = now.Add(50 * time.Millisecond)
			c, _ = c.Step(now, control.Tick{})
			c, _ = c.Step(now, control.TimerFired{})
		}
	})
})

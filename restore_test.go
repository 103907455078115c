package plantainladder_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/workflow"
)

const (
	historyLength = 400
	histories     = 40
)

// A history draws commands on few records, so that many of them meet records in
// every state.
type history struct {
	rng   *rand.Rand
	now   time.Time
	round uint64
}

// advance moves the time of the next command. A new leader's clock may be behind
// that of the last one; long pauses let records expire.
func (h *history) advance() {
	switch h.rng.IntN(20) {
	case 0:
		h.now = h.now.Add(-time.Duration(h.rng.IntN(5_000)) * time.Millisecond)
	case 1:
		h.now = h.now.Add(time.Duration(h.rng.IntN(180)) * time.Second)
	case 2:
		h.now = h.now.Add(time.Duration(h.rng.IntN(30)) * time.Hour)
	default:
		h.now = h.now.Add(time.Duration(h.rng.IntN(8_000)) * time.Millisecond)
	}
}

func (h *history) name(prefix string) string {
	return fmt.Sprint(prefix, h.rng.IntN(6))
}

// next returns a random command for a state.
func (h *history) next(s plantainladder.State) plantainladder.Envelope {
	h.advance()
	e := plantainladder.Envelope{
		At:      h.now,
		Command: h.command(s),
	}
	if h.rng.IntN(4) == 0 {
		e.ID = fmt.Sprint("command-", h.rng.IntN(50))
	}
	return e
}

func (h *history) command(s plantainladder.State) plantainladder.Command {
	k := claim.Key{
		Organisation: "o",
		ID:           h.name("k"),
	}
	switch h.rng.IntN(13) {
	case 0:
		return plantainladder.MakeClaim{
			Key:         k,
			Fingerprint: "f",
			Holder:      h.name("g"),
			TimeoutMS:   int64(h.rng.IntN(20_000)),
		}
	case 1:
		c, _ := s.Claim(h.now, k)
		states := []claim.State{claim.Done, claim.NotRun, claim.Unknown}
		return plantainladder.SettleClaim{
			Key:     k,
			Attempt: c.Attempt,
			State:   states[h.rng.IntN(len(states))],
			Answer: claim.Answer{
				Body: make([]byte, h.rng.IntN(64)),
			},
		}
	case 2:
		return plantainladder.ResolveClaim{
			Key:  k,
			Note: "seen",
		}
	case 3:
		return plantainladder.SubmitJob{
			Spec: newJobSpec(h.name("j")),
		}
	case 4:
		return plantainladder.CancelJob{
			ID:           h.name("j"),
			Organisation: "o",
		}
	case 5:
		return plantainladder.SetDataCentre{
			Name:         h.name("d"),
			OutOfService: h.rng.IntN(2) == 0,
			Force:        true,
		}
	case 6:
		return plantainladder.Announce{
			Worker: pool.Worker{
				ID:          h.name("w"),
				Incarnation: int64(h.rng.IntN(3)),
				Pool:        h.name("pool-"),
				Leaving:     h.rng.IntN(4) == 0,
			},
		}
	case 7:
		c := newConfiguration()
		c.Document.Version = s.Configuration().Version + uint64(h.rng.IntN(2))
		c.Document.Pools[0].Name = h.name("pool-")
		c.Document.Queues[0].Pool = c.Document.Pools[0].Name
		if h.rng.IntN(4) == 0 {
			c.Document.Queues = nil
		}
		return c
	case 8:
		return plantainladder.CancelWorkflow{
			ID:    h.name("f"),
			Queue: "queue",
			Token: "token",
		}
	case 9, 10:
		return plantainladder.SubmitWorkflow{
			Spec: workflow.Spec{
				ID:    h.name("f"),
				Queue: "queue",
				Steps: []workflow.Step{
					{
						Tasks:  1 + h.rng.IntN(2),
						IsGang: h.rng.IntN(2) == 0,
					},
				},
			},
			Token: "token",
		}
	}
	return h.nextRound(s)
}

// nextRound places the first waiting step or ends the first placed task of each
// workflow, at random.
func (h *history) nextRound(s plantainladder.State) plantainladder.Round {
	h.round++
	r := plantainladder.Round{
		ID: h.round,
	}
	reasons := []workflow.EndReason{workflow.EndedDone, workflow.EndedFailed, workflow.EndedStopped, workflow.EndedLost, workflow.EndedCrashed}
	for _, w := range s.ActiveWorkflows() {
		if h.rng.IntN(2) == 0 {
			continue
		}
		if placed := w.PlacedTasks(); len(placed) > 0 {
			r.RunEnds = append(r.RunEnds, workflow.RunEnd{
				RunKey:    placed[0].RunKey,
				EndReason: reasons[h.rng.IntN(len(reasons))],
				WasAlone:  h.rng.IntN(2) == 0,
			})
			continue
		}
		for i := range w.Spec.Steps[0].Tasks {
			k := workflow.TaskKey{
				Workflow: w.Spec.ID,
				Index:    i,
			}
			r.Placements = append(r.Placements, workflow.Placement{
				RunKey: workflow.RunKey{
					TaskKey: k,
					Run:     w.NextRun(k),
				},
				Worker: h.name("w"),
			})
		}
	}
	return r
}

// newConfiguration returns a configuration with one queue and one organisation.
func newConfiguration() plantainladder.PutConfiguration {
	return plantainladder.PutConfiguration{
		Document: configuration.Document{
			Version: 1,
			Queues: []configuration.Queue{
				{
					Name:        "queue",
					Host:        "h",
					Prefix:      "/q/",
					Pool:        "pool",
					MaxAttempts: 2,
					Timeout:     time.Second,
				},
			},
			Pools: []configuration.Pool{
				{
					Name: "pool",
				},
			},
			Organisations: []configuration.Organisation{
				{
					Name: "o",
					Tokens: []string{
						"token",
					},
				},
			},
		},
	}
}

// newSubmission returns the submission of a workflow of one task to the queue of
// newConfiguration by its organisation.
func newSubmission() plantainladder.SubmitWorkflow {
	return plantainladder.SubmitWorkflow{
		Spec: workflow.Spec{
			ID:    "f",
			Queue: "queue",
			Steps: []workflow.Step{
				{
					Tasks: 1,
				},
			},
		},
		Token: "token",
	}
}

func encode(s plantainladder.State) []byte {
	GinkgoHelper()
	b, err := wire.MarshalState(s)
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("A replica restored from a snapshot", func() {
	// Expiries that were derived from the restored records came earlier than those
	// of a replica that had lived through the history.
	for seed := range uint64(histories) {
		It(fmt.Sprintf("has the same state as one that applied every command, history %d", seed), func() {
			h := &history{
				rng: rand.New(rand.NewPCG(seed, 3)),
				now: epoch,
			}
			lived := newReplica()
			lived.putContract(newContract())
			lived.apply("", newConfiguration())
			state, restored := lived.state, lived.state
			for i := range uint64(historyLength) {
				if h.rng.IntN(10) == 0 {
					var err error
					restored, err = wire.UnmarshalState(encode(restored))
					Expect(err).NotTo(HaveOccurred())
				}
				e := h.next(state)
				var o, again plantainladder.Outcome
				state, o = state.Apply(10+i, e)
				restored, again = restored.Apply(10+i, e)
				Expect(again).To(Equal(o), "%d: %T", i, e.Command)
				Expect(encode(restored)).To(Equal(encode(state)), "%d: %T", i, e.Command)
			}
		})
	}

	DescribeTable("gives up a task at the same crash as one that lived through all of them", func(wasAlone, isUnconfirmed bool, crashes int) {
		for restoredAfter := range crashes {
			r := newReplica()
			r.putContract(newContract())
			r.apply("", newConfiguration())
			r.apply("", newSubmission())
			for i := range crashes {
				w, _ := r.state.Workflow("f")
				Expect(w.IsOpen()).To(BeTrue(), "after %d crashes, restored after %d", i, restoredAfter)
				k := workflow.RunKey{
					TaskKey: workflow.TaskKey{
						Workflow: "f",
					},
					Run: i + 1,
				}
				r.apply("", plantainladder.Round{
					ID: uint64(2*i + 1),
					Placements: []workflow.Placement{
						{
							RunKey: k,
							Worker: "w",
						},
					},
				})
				if i == restoredAfter {
					var err error
					r.state, err = wire.UnmarshalState(encode(r.state))
					Expect(err).NotTo(HaveOccurred())
				}
				r.apply("", plantainladder.Round{
					ID: uint64(2*i + 2),
					RunEnds: []workflow.RunEnd{
						{
							RunKey:        k,
							EndReason:     workflow.EndedCrashed,
							WasAlone:      wasAlone,
							IsUnconfirmed: isUnconfirmed,
						},
					},
				})
			}
			w, _ := r.state.Workflow("f")
			Expect(w.Status()).To(Equal(workflow.StatusFailed), "restored after %d crashes", restoredAfter)
			restored, err := wire.UnmarshalState(encode(r.state))
			Expect(err).NotTo(HaveOccurred())
			again, _ := restored.Workflow("f")
			Expect(again.Phase).To(Equal(w.Phase))
			Expect(again.Occurrences).To(Equal(w.Occurrences), "the crashes of the task and when the last was")
		}
	},
		Entry("the third, if it was alone", true, false, 3),
		Entry("the fifth, if it never was", false, false, 5),
		Entry("the fifth, if none was confirmed", true, true, 5),
	)
})

var _ = Describe("A snapshot without expiries, from an earlier version", func() {
	It("is restored to a state that still removes expired records", func() {
		r := newReplica()
		r.putContract(newContract())
		for i := range 20 {
			r.apply(fmt.Sprint("c", i), plantainladder.SubmitJob{
				Spec: newJobSpec(fmt.Sprint("j", i)),
			})
			r.apply("", plantainladder.CancelJob{
				ID:           fmt.Sprint("j", i),
				Organisation: "o",
			})
		}
		records := r.state.Records()
		records.Expiries = nil
		r.state = plantainladder.NewStateFromRecords(records)
		r.now = r.now.Add(25 * time.Hour)
		for range 20 {
			r.apply("", plantainladder.Confirm{})
		}
		Expect(r.state.Counts().Outcomes).To(BeZero())
		Expect(r.state.Counts().Jobs).To(BeZero())
	})
})

package plantainladder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/workflow"
)

func accelerators(n int) pool.ResourceVector {
	return pool.ResourceVector{
		Accelerators: n,
	}
}

// A submission that can never run would wait until its caller gives up, and one that has
// been accepted must not be refused when it is sent again.
var _ = Describe("The limit of an organisation", func() {
	var r *replica

	// configure puts a configuration with a limit, and returns the outcome.
	configure := func(version uint64, limit int) plantainladder.Outcome {
		c := newConfiguration()
		c.Document.Version = version
		c.Document.Queues[0].Public = true
		c.Document.Organisations[0].Limit = accelerators(limit)
		return r.apply("", c)
	}

	submit := func(id, token string, overage float64, steps ...workflow.Step) plantainladder.Outcome {
		return r.apply("", plantainladder.SubmitWorkflow{
			Spec: workflow.Spec{
				ID:    id,
				Queue: "queue",
				Steps: steps,
			},
			Token:        token,
			LimitOverage: overage,
		})
	}

	step := func(isGang bool, tasks, each int) workflow.Step {
		return workflow.Step{
			Tasks:   tasks,
			PerTask: accelerators(each),
			IsGang:  isGang,
		}
	}

	BeforeEach(func() {
		r = newReplica()
		Expect(configure(2, 20).IsAccepted()).To(BeTrue())
	})

	DescribeTable("refuses what can never fit", func(token string, overage float64, s workflow.Step, isAccepted bool) {
		o := submit("f", token, overage, step(true, 1, 1), s)
		Expect(o.IsAccepted()).To(Equal(isAccepted))
		if _, exists := r.state.Workflow("f"); isAccepted {
			Expect(exists).To(BeTrue())
			return
		}
		Expect(o.Reason).To(Equal(plantainladder.RefusedOverLimit))
		Expect(o.Field).To(Equal("steps[1]"))
	},
		Entry("but not a gang of its size", "token", 0.0, step(true, 10, 2), true),
		Entry("such as a larger gang", "token", 0.0, step(true, 11, 2), false),
		Entry("but not a gang within the overage", "token", 0.1, step(true, 11, 2), true),
		Entry("such as a gang beyond the overage", "token", 0.1, step(true, 23, 1), false),
		Entry("such as a single task", "token", 0.1, step(false, 1, 23), false),
		Entry("but not many tasks that need not run at the same time", "token", 0.1, step(false, 400, 1), true),
		Entry("such as a gang whose size overflows", "token", 0.1, step(true, 4000, 1<<60), false),
		Entry("but not to callers without an organisation", "", 0.1, step(true, 100, 1), true),
	)

	It("does not refuse what was accepted before it was lowered", func() {
		Expect(submit("f", "token", 0, step(true, 20, 1)).IsAccepted()).To(BeTrue())
		Expect(configure(3, 4).IsAccepted()).To(BeTrue())
		Expect(submit("f", "token", 0, step(true, 20, 1)).IsAccepted()).To(BeTrue())
		Expect(submit("g", "token", 0, step(true, 20, 1)).Reason).To(Equal(plantainladder.RefusedOverLimit))
	})

	It("stays in force beside an older configuration, and beside one that is refused", func() {
		limit := func() pool.ResourceVector {
			o, _ := r.state.Configuration().Organisation("o")
			return o.Limit
		}
		Expect(configure(1, 4).IsAccepted()).To(BeTrue())
		Expect(limit()).To(Equal(accelerators(20)))
		Expect(configure(3, -4).Field).To(Equal("organisations.limit"))
		Expect(limit()).To(Equal(accelerators(20)))
		Expect(configure(3, 4).IsAccepted()).To(BeTrue())
		Expect(limit()).To(Equal(accelerators(4)))
	})

	It("is compared with what is placed, for metrics", func() {
		Expect(submit("f", "token", 0, step(false, 3, 2)).IsAccepted()).To(BeTrue())
		k := workflow.RunKey{
			TaskKey: workflow.TaskKey{
				Workflow: "f",
				Index:    1,
			},
			Run: 1,
		}
		r.apply("", plantainladder.Round{
			ID: 1,
			Placements: []workflow.Placement{
				{
					RunKey: k,
					Worker: "w",
				},
			},
		})
		Expect(r.state.LimitUses()).To(Equal([]plantainladder.LimitUse{
			{
				Organisation: "o",
				Limit:        accelerators(20),
				Used:         accelerators(2),
			},
		}))
		Expect(configure(3, 0).IsAccepted()).To(BeTrue())
		Expect(r.state.LimitUses()).To(BeEmpty())
	})

	It("is kept by snapshots", func() {
		restored, err := wire.UnmarshalState(encode(r.state))
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Configuration()).To(Equal(r.state.Configuration()))
	})

	// The version before knew neither field, in snapshots and in the log.
	It("is none in what an earlier version stored", func() {
		b, err := codec.Marshal(struct {
			Name                   string   `json:"name"`
			Tokens                 []string `json:"tokens"`
			GuaranteedAccelerators int      `json:"guaranteed-accelerators"`
		}{
			Name:                   "o",
			Tokens:                 []string{"token"},
			GuaranteedAccelerators: 8,
		})
		Expect(err).NotTo(HaveOccurred())
		o, err := codec.Unmarshal[configuration.Organisation](b)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.GuaranteedAccelerators).To(Equal(8))
		Expect(o.Limit.IsZero()).To(BeTrue())
		Expect(o.Weight).To(BeZero())
		same, err := codec.Marshal(o)
		Expect(err).NotTo(HaveOccurred())
		Expect(same).To(Equal(b), "an earlier version reads what is stored without limits")
	})
})

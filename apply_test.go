package plantainladder_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/shape"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/worker"
)

func TestState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "state")
}

var epoch = time.Unix(1_700_000_000, 0).UTC()

func newContract() contract.Contract {
	return contract.Contract{
		Organisation:        "o",
		CeilingAccelerators: 1000,
		CeilingSlots:        10,
		MaxQueuedJobs:       100_000,
		ClaimWindowS:        60,
		Classes:             contract.Classes(),
	}
}

// replica applies commands to a state, with one second between them.
type replica struct {
	state plantainladder.State
	index uint64
	now   time.Time
}

func newReplica() *replica {
	return &replica{
		state: plantainladder.NewState(),
		now:   epoch,
	}
}

func (r *replica) apply(id string, c plantainladder.Command) plantainladder.Outcome {
	r.index++
	r.now = r.now.Add(time.Second)
	var o plantainladder.Outcome
	r.state, o = r.state.Apply(r.index, plantainladder.Envelope{
		ID:      id,
		At:      r.now,
		Command: c,
	})
	return o
}

func (r *replica) putContract(c contract.Contract) plantainladder.Outcome {
	return r.apply("", plantainladder.PutContract{
		Contract: c,
	})
}

func newJobSpec(id string) job.Spec {
	return job.Spec{
		ID:           id,
		Organisation: "o",
		Class:        "normal",
		Shape: shape.Shape{
			Tasks: 1,
			PerTask: shape.Resources{
				Accelerators: 1,
			},
		},
	}
}

var _ = Describe("State", func() {
	It("returns the first outcome for a command that is sent again", func() {
		r := newReplica()
		edit := plantainladder.PutContract{
			Contract: newContract(),
		}
		first := r.apply("c1", edit)
		Expect(first.IsAccepted()).To(BeTrue())
		Expect(r.apply("c1", edit)).To(Equal(first))
		Expect(r.apply("c2", edit).Reason).To(Equal(plantainladder.RefusedWrongRevision))
	})

	It("never reuses a revision, even after the contract was dropped", func() {
		r := newReplica()
		r.putContract(newContract())
		r.apply("", plantainladder.DropContract{
			Organisation: "o",
			Revision:     1,
		})
		Expect(r.putContract(newContract()).Reason).To(Equal(plantainladder.RefusedWrongRevision))
		Expect(r.putContract(newContract().WithRevision(2)).Revision).To(Equal(uint64(3)))
	})

	DescribeTable("refuses a contract with a value that is not allowed and names the field",
		func(change func(c *contract.Contract), field string) {
			c := newContract()
			change(&c)
			o := newReplica().putContract(c)
			Expect(o.Reason).To(Equal(plantainladder.RefusedBadField))
			Expect(o.Field).To(Equal(field))
		},
		Entry("name", func(c *contract.Contract) { c.Organisation = "a b" }, "organisation"),
		Entry("classes", func(c *contract.Contract) { c.Classes = []string{"fast"} }, "classes"),
		Entry("slots", func(c *contract.Contract) { c.CeilingSlots = 0 }, "ceiling-slots"),
		Entry("window", func(c *contract.Contract) { c.ClaimWindowS = 0 }, "claim-window-s"),
		Entry("hold", func(c *contract.Contract) { c.LeaseGraceS = -1 }, "hold-s"),
		Entry("token", func(c *contract.Contract) { c.TokenSHA256 = "abc" }, "token-sha256"),
	)

	It("grants a claim once, keeps its outcome and allows a new attempt only after NotRun", func() {
		r := newReplica()
		r.putContract(newContract())
		makeClaim := func(holder, fingerprint string) plantainladder.Outcome {
			return r.apply("", plantainladder.MakeClaim{
				Key: claim.Key{
					Organisation: "o",
					ID:           "k",
				},
				Fingerprint: fingerprint,
				Holder:      holder,
				TimeoutMS:   10_000,
			})
		}
		settle := func(attempt int, s claim.State) plantainladder.Outcome {
			return r.apply("", plantainladder.SettleClaim{
				Key: claim.Key{
					Organisation: "o",
					ID:           "k",
				},
				Attempt: attempt,
				State:   s,
			})
		}
		Expect(makeClaim("g1", "f").Claim.Holder).To(Equal("g1"))
		Expect(makeClaim("g2", "f").Claim.Holder).To(Equal("g1"))
		Expect(makeClaim("g2", "other").Reason).To(Equal(plantainladder.RefusedKeyReuse))
		settle(1, claim.NotRun)
		Expect(makeClaim("g2", "f").Claim.Attempt).To(Equal(2))
		Expect(settle(1, claim.Done).IsAccepted()).To(BeFalse())
		r.now = r.now.Add(time.Minute)
		Expect(makeClaim("g3", "f").Claim.State).To(Equal(claim.Unknown))
		Expect(settle(2, claim.NotRun).IsAccepted()).To(BeFalse())
	})

	It("removes outcomes and ended jobs after their retention time", func() {
		r := newReplica()
		r.putContract(newContract())
		for i := range 300 {
			r.apply(fmt.Sprint("c", i), plantainladder.SubmitJob{
				Spec: newJobSpec(fmt.Sprint("j", i)),
			})
			r.apply("", plantainladder.CancelJob{
				ID: fmt.Sprint("j", i),
			})
		}
		Expect(r.state.Counts().Outcomes).To(Equal(300))
		r.now = r.now.Add(25 * time.Hour)
		for range 200 {
			r.apply("", plantainladder.RemoveWorker{
				Name: "none",
			})
		}
		Expect(r.state.Counts().Outcomes).To(BeZero())
		Expect(r.state.Counts().Jobs).To(BeZero())
	})

	It("is restored unchanged from a snapshot", func() {
		r := newReplica()
		r.putContract(newContract())
		r.apply("", plantainladder.RegisterWorker{
			Worker: worker.Worker{
				Name:        "w",
				DataCentre:  "a",
				Incarnation: "i",
				Capacity: shape.Resources{
					Accelerators: 8,
				},
			},
		})
		for i := range 20 {
			r.apply(fmt.Sprint("c", i), plantainladder.SubmitJob{
				Spec: newJobSpec(fmt.Sprint("j", i)),
			})
		}
		r.apply("", plantainladder.PlaceJob{
			ID:      "j1",
			Attempt: 1,
			Parts: []job.TaskPlacement{
				{
					Worker:      "w",
					Incarnation: "i",
					DataCentre:  "a",
				},
			},
		})
		b, err := wire.MarshalState(r.state)
		Expect(err).NotTo(HaveOccurred())
		restored, err := wire.UnmarshalState(b)
		Expect(err).NotTo(HaveOccurred())
		again, err := wire.MarshalState(restored)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(b))
		Expect(restored.ActiveJobs()).To(HaveLen(20))
	})

	It("refuses to place a job on a worker that has restarted or in a data centre that is out of service", func() {
		r := newReplica()
		r.putContract(newContract())
		r.apply("", plantainladder.RegisterWorker{
			Worker: worker.Worker{
				Name:        "w",
				DataCentre:  "a",
				Incarnation: "new",
			},
		})
		r.apply("", plantainladder.SubmitJob{
			Spec: newJobSpec("j"),
		})
		place := func(incarnation string) plantainladder.Outcome {
			return r.apply("", plantainladder.PlaceJob{
				ID:      "j",
				Attempt: 1,
				Parts: []job.TaskPlacement{
					{
						Worker:      "w",
						Incarnation: incarnation,
						DataCentre:  "a",
					},
				},
			})
		}
		Expect(place("old").Reason).To(Equal(plantainladder.RefusedWrongState))
		r.apply("", plantainladder.SetDataCentre{
			Name:         "a",
			OutOfService: true,
		})
		Expect(place("new").Reason).To(Equal(plantainladder.RefusedWrongState))
	})
})

var _ = Describe("View", func() {
	It("ignores changes whose index is not higher than its own", func() {
		edits := []plantainladder.Versioned[contract.Contract]{
			{
				Index: 5,
				Value: newContract(),
			},
		}
		v := plantainladder.NewView().WithChanges(5, edits, nil)
		Expect(v.WithChanges(4, nil, nil).Index()).To(Equal(uint64(5)))
		edits[0].Dropped = true
		_, ok := v.WithChanges(5, edits, nil).Contract("o")
		Expect(ok).To(BeTrue())
		_, ok = v.WithChanges(6, edits, nil).Contract("o")
		Expect(ok).To(BeFalse())
	})
})

// BenchmarkApply measures the commands of a steady load: submit, place, start and
// end a job.
func BenchmarkApply(b *testing.B) {
	r := newReplica()
	r.putContract(newContract())
	r.apply("", plantainladder.RegisterWorker{
		Worker: worker.Worker{
			Name:        "w",
			DataCentre:  "a",
			Incarnation: "i",
		},
	})
	n := 0
	for b.Loop() {
		id := fmt.Sprint("j", n/4)
		switch n % 4 {
		case 0:
			r.apply("", plantainladder.SubmitJob{
				Spec: newJobSpec(id),
			})
		case 1:
			r.apply("", plantainladder.PlaceJob{
				ID:      id,
				Attempt: 1,
				Parts: []job.TaskPlacement{
					{
						Worker:      "w",
						Incarnation: "i",
						DataCentre:  "a",
					},
				},
			})
		case 2:
			r.apply("", plantainladder.StartJob{
				ID:      id,
				Attempt: 1,
			})
		case 3:
			r.apply("", plantainladder.EndPart{
				ID:      id,
				Attempt: 1,
				Done:    true,
			})
		}
		n++
		r.now = r.now.Add(20 * time.Second)
	}
}

package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// of returns w as the work of an organisation.
func of(organisation string, w workflow.Workflow) workflow.Workflow {
	w.Spec.Organisation = organisation
	return w
}

// setLimits puts limits in force, as cores by organisation.
func (c *cluster) setLimits(limits map[string]int) {
	c.state.LimitOf = func(organisation string) pool.ResourceVector {
		return pool.ResourceVector{
			MilliCores: milliPerCore * limits[organisation],
		}
	}
	c.state.Version++
}

// coresOfMill returns how many cores the placed tasks of the organisation mill take.
func (c *cluster) coresOfMill() int {
	return organisationUseOf(c.state.Workflows)["mill"].MilliCores / milliPerCore
}

func organisationUseOf(list []workflow.Workflow) map[string]pool.ResourceVector {
	return newStateIndex(ClusterState{
		Workflows: list,
	}).used
}

// placeOnly commits a round without the starts that follow from it.
func (c *cluster) placeOnly() {
	c.now = c.now.Add(stepInterval)
	c.announce()
	c.reconcile()
	c.commit()
}

var _ = Describe("An organisation at its limit", func() {
	machines := func() []pool.Worker {
		return newWorkers("a", "b", "c", "d")
	}

	// Work that waits for a limit looked like work that does not fit: that of others with
	// the same requirement was not tried.
	It("leaves the rest to others while it sends several times what it may have running", func() {
		c := newCluster(machines())
		c.setLimits(map[string]int{
			"mill": 10,
		})
		c.submit(of("mill", newWorkflow("crowd", 1, newStep(40, 2, 500*time.Millisecond))))
		c.submit(of("farm", newWorkflow("small", 1, newStep(4, 2, 5*time.Second))))
		c.step()
		Expect(c.placedAt("small")).To(HaveLen(4))
		for range 80 {
			Expect(c.coresOfMill()).To(BeNumerically("<=", 10))
			c.step()
		}
		Expect(c.placedAt("crowd")).To(BeEmpty(), "all of it has run")
		Expect(c.startsSent["crowd"]).To(Equal(40))
		Expect(c.records).To(ContainElement(And(HaveField("Text", "Tasks wait for the limit of their organisation."),
			HaveField("RunKey.Workflow", "crowd"), HaveField("Reason", "organisation-limit mill milli-cores=10000/10000"))))
	})

	DescribeTable("keeps its placements if the limit is lowered before their start, as far as it allows",
		func(s workflow.Step, limit, starts int) {
			c := newCluster(machines(), of("mill", withRun(newWorkflow("running", 1, newStep(2, 2, time.Minute)), "a")))
			c.step()
			c.submit(of("mill", newWorkflow("f", 1, s)))
			c.placeOnly()
			Expect(c.placedAt("f")).To(HaveLen(4))
			c.setLimits(map[string]int{
				"mill": limit,
			})
			c.stepFor(time.Second)
			Expect(c.startsSent["f"]).To(Equal(starts))
			Expect(c.placedAt("f")).To(HaveLen(starts))
			Expect(c.placedAt("running")).To(HaveLen(2), "a lower limit stops nothing that runs")
			for _, e := range c.ends {
				Expect(e.EndReason).To(Equal(workflow.EndedNotStarted))
			}
			c.setLimits(nil)
			c.stepFor(time.Second)
			Expect(c.placedAt("f")).To(HaveLen(4), "they were not lost")
		},
		Entry("two of four tasks", newStep(4, 2, time.Minute), 8, 2),
		Entry("none, since more is running already", newStep(4, 2, time.Minute), 3, 0),
		Entry("none of a gang, of which three members fit", newGang(4, 2), 10, 0),
		Entry("all of a gang that fits", newGang(4, 2), 12, 4),
	)

	It("gets nothing more after a change of leader while its runs last", func() {
		c := newCluster(machines())
		c.setLimits(map[string]int{
			"mill": 8,
		})
		c.submit(of("mill", newWorkflow("f", 1, newStep(12, 2, 20*time.Second))))
		c.stepFor(time.Second)
		for range 3 {
			c.changeLeader()
			c.stepFor(time.Second)
			Expect(c.coresOfMill()).To(Equal(8))
			Expect(c.startsSent["f"]).To(Equal(4))
		}
	})

	// The run may be in progress, or the order on its way, until the lease is over.
	It("has a run counted whose start was not answered, until its end is certain", func() {
		c := newCluster(machines())
		c.setLimits(map[string]int{
			"mill": 8,
		})
		cut := map[string]bool{}
		c.answer = func(o Order) Result {
			if s, isStart := o.(Start); isStart && s.Workflow == "lost" {
				cut[s.Worker] = true
			}
			if cut[targetOf(o).Worker] {
				return Unanswered{}
			}
			return Acknowledged{}
		}
		c.submit(of("mill", newWorkflow("lost", 1, newStep(2, 2, time.Minute))))
		c.stepFor(500 * time.Millisecond)
		Expect(c.startsSent["lost"]).To(BeNumerically(">=", 2))
		c.submit(of("mill", newWorkflow("next", 1, newStep(4, 2, time.Minute))))
		c.placeOnly()
		Expect(c.coresOfMill()).To(Equal(8))
		c.setLimits(map[string]int{
			"mill": 4,
		})
		c.stepFor(5 * time.Second)
		Expect(c.coresOfMill()).To(Equal(4))
		Expect(c.startsSent["next"]).To(BeZero())
	})

	It("has no limit any more once it is removed from the configuration", func() {
		c := newCluster(machines())
		c.setLimits(map[string]int{
			"mill": 4,
		})
		c.submit(of("mill", newWorkflow("f", 1, newStep(6, 2, time.Minute))))
		c.step()
		Expect(c.coresOfMill()).To(Equal(4))
		c.setLimits(nil)
		c.step()
		Expect(c.coresOfMill()).To(Equal(12))
	})

	DescribeTable("runs a gang that exceeds the limit by itself", func(beside int, overage float64, isPlaced bool) {
		c := newCluster(machines())
		c.dispatcher.cfg.LimitOverage = overage
		c.setLimits(map[string]int{
			"mill": 20,
		})
		if beside > 0 {
			c.submit(of("mill", newWorkflow("beside", 1, newStep(1, beside, 2*time.Second))))
			c.step()
		}
		c.submit(of("mill", newWorkflow("gang", 1, newGang(11, 2))))
		c.submit(of("mill", newWorkflow("small", 1, newStep(1, 1, time.Minute))))
		c.stepFor(time.Second)
		Expect(c.startsSent["gang"]).To(Equal(map[bool]int{true: 11}[isPlaced]))
		if isPlaced {
			Expect(c.startsSent["small"]).To(BeZero(), "the limit is exceeded already")
		}
	},
		Entry("within the overage", 0, 0.1, true),
		Entry("not without an overage", 0, 0.0, false),
		Entry("not beside other work", 1, 0.1, false),
	)

	// Smaller work that is due later took each core that became free.
	It("does not starve a gang beside smaller work", func() {
		c := newCluster(machines())
		c.setLimits(map[string]int{
			"mill": 8,
		})
		for i := range 8 {
			c.submit(of("mill", newWorkflow(fmt.Sprint("first-", i), 1, newStep(1, 1, 4*time.Second))))
			c.stepFor(400 * time.Millisecond)
		}
		gang := newGang(4, 2)
		gang.DeclaredRunTime = 2 * time.Second
		c.submit(of("mill", newWorkflow("gang", 1, gang)))
		for i := range 10 {
			c.submit(of("mill", newWorkflow(fmt.Sprint("small-", i), 1, newStep(1, 1, 20*time.Second))))
			c.stepFor(500 * time.Millisecond)
		}
		Expect(c.startsSent["gang"]).To(Equal(4))
	})

	It("is refused nothing for a task that needs none of what is limited", func() {
		c := newCluster(machines())
		c.state.LimitOf = func(string) pool.ResourceVector {
			return pool.ResourceVector{
				Accelerators: 1,
			}
		}
		c.submit(of("mill", newWorkflow("f", 1, newStep(16, 2, time.Minute))))
		c.step()
		Expect(c.coresOfMill()).To(Equal(32))
	})
})

var _ = Describe("Guaranteed urgent work at its organisation's limit", func() {
	// newFullOrganisation returns a cluster in which mill has 8 cores, its limit, in use by
	// runs of different ages, and farm has older and newer runs.
	newFullOrganisation := func() *cluster {
		c := newCluster(newWorkers("a", "b", "c", "d"))
		c.setLimits(map[string]int{
			"mill": 8,
		})
		c.submit(of("mill", newWorkflow("old", 1, newStep(2, 2, time.Minute))))
		c.stepFor(3 * time.Second)
		c.submit(of("mill", newWorkflow("new", 2, newStep(2, 2, time.Minute))))
		c.submit(of("farm", newWorkflow("other", 2, newStep(2, 2, time.Minute))))
		c.stepFor(500 * time.Millisecond)
		Expect(c.coresOfMill()).To(Equal(8))
		return c
	}

	It("stops the runs of the organisation that lose the least, and starts in time", func() {
		c := newFullOrganisation()
		c.submit(of("mill", newWorkflow("urgent", 0, newGang(2, 2))))
		c.stepFor(1700 * time.Millisecond)
		Expect(c.startsSent["urgent"]).To(Equal(2))
		Expect(c.preempted()).To(Equal([]string{"new"}))
		Expect(c.coresOfMill()).To(BeNumerically("<=", 8))
		Expect(c.records).To(ContainElement(HaveField("Reason", "mill milli-cores=8000/8000")))
	})

	It("stops only as many runs as it needs", func() {
		c := newFullOrganisation()
		c.submit(of("mill", newWorkflow("urgent", 0, newGang(1, 2))))
		c.stepFor(1700 * time.Millisecond)
		Expect(c.startsSent["urgent"]).To(Equal(1))
		Expect(c.placedAt("new")).To(HaveLen(1))
		Expect(c.placedAt("old")).To(HaveLen(2))
	})

	It("leaves runs alone that turn out not to be needed", func() {
		c := newCluster(newWorkers("a", "b", "c", "d"))
		c.setLimits(map[string]int{
			"mill": 6,
		})
		c.submit(of("mill", newWorkflow("wide", 1, newStep(1, 4, time.Minute))))
		c.stepFor(time.Second)
		c.submit(of("mill", newWorkflow("cheap", 1, newStep(2, 1, time.Minute))))
		c.stepFor(time.Second)
		c.submit(of("mill", newWorkflow("urgent", 0, newGang(2, 2))))
		c.stepFor(1700 * time.Millisecond)
		Expect(c.preempted()).To(Equal([]string{"wide"}))
		Expect(c.startsSent["urgent"]).To(Equal(2))
	})

	// Less urgent work took the room that was left, and a further run had to be stopped.
	It("keeps the room that it waits for", func() {
		c := newCluster(newWorkers("a", "b", "c", "d"))
		c.setLimits(map[string]int{
			"mill": 10,
		})
		for _, id := range []string{"old", "new"} {
			c.submit(of("mill", newWorkflow(id, 1, newStep(1, 4, time.Minute))))
			c.stepFor(time.Second)
		}
		c.submit(of("mill", newWorkflow("urgent", 0, newGang(3, 2))))
		c.submit(of("mill", newWorkflow("less-urgent", 1, newStep(1, 2, time.Minute))))
		c.stepFor(1700 * time.Millisecond)
		Expect(c.preempted()).To(Equal([]string{"new"}))
		Expect(c.startsSent["urgent"]).To(Equal(3))
	})

	DescribeTable("stops nothing", func(change func(c *cluster, w *workflow.Workflow)) {
		c := newFullOrganisation()
		w := of("mill", newWorkflow("urgent", 0, newGang(2, 2)))
		change(c, &w)
		c.submit(w)
		c.stepFor(3 * time.Second)
		Expect(c.preempted()).To(BeEmpty())
		Expect(c.startsSent["urgent"]).To(BeZero())
	},
		Entry("if it is beyond the guarantee", func(c *cluster, _ *workflow.Workflow) {
			c.state.GuaranteedTo = func(string) int {
				return -1
			}
		}),
		Entry("if no worker could run it", func(_ *cluster, w *workflow.Workflow) {
			w.Spec.Steps[0].RequiredLabel = "none"
		}),
		Entry("if it can never fit within the limit", func(_ *cluster, w *workflow.Workflow) {
			w.Spec.Steps[0].Tasks = 5
		}),
	)

	It("does not stop runs that are as urgent", func() {
		c := newCluster(newWorkers("a", "b", "c", "d"))
		c.setLimits(map[string]int{
			"mill": 8,
		})
		c.submit(of("mill", newWorkflow("first", 0, newStep(4, 2, time.Minute))))
		c.stepFor(time.Second)
		c.submit(of("mill", newWorkflow("urgent", 0, newGang(2, 2))))
		c.stepFor(2 * time.Second)
		Expect(c.preempted()).To(BeEmpty())
	})
})

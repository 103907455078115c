package dispatch

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/plantainladder/plantainladder/workflow"
)

// newSound returns a workflow of one task that needs a core for a minute.
func newSound(id string) workflow.Workflow {
	return newWorkflow(id, 1, newStep(1, 1, time.Minute))
}

// stepUntilEnds runs steps until n runs have ended, and returns the ends by
// workflow.
func (c *cluster) stepUntilEnds(n int) map[string]workflow.RunEnd {
	GinkgoHelper()
	for end := c.now.Add(30 * time.Second); len(c.ends) < n && c.now.Before(end); {
		c.step()
	}
	Expect(c.ends).To(HaveLen(n))
	m := map[string]workflow.RunEnd{}
	for _, e := range c.ends {
		m[e.Workflow] = e
	}
	return m
}

// readInventory reports readings of an inventory until a worker is missing in two.
func (c *cluster) readInventory(missing string) {
	c.now = c.now.Add(2 * inventoryLag)
	for _, isUp := range []bool{true, false, false} {
		c.dispatcher = c.dispatcher.With(c.now, InventoryRead{
			StartedAt:  c.now,
			IsComplete: true,
			Running: map[string]bool{
				missing: isUp,
			},
		})
	}
}

// unanswered returns the answers of a worker that leaves all orders unanswered, and
// starts none.
func unanswered(Order) Result {
	return Unanswered{
		Detail: "timeout",
	}
}

// startsUnanswered leaves the starts of some workflows unanswered, and any later
// listing, which would show them.
func startsUnanswered(ids ...string) func(o Order) Result {
	hasStarted := false
	return func(o Order) Result {
		s, isStart := o.(Start)
		isSilent := isStart && slices.Contains(ids, s.Workflow)
		hasStarted = hasStarted || isSilent
		if _, isRenew := o.(Renew); isSilent || isRenew && hasStarted {
			return unanswered(o)
		}
		return Acknowledged{}
	}
}

// withHistory returns w after a crash under each of its tasks, so that a worker has
// to answer another order before it is told to start any of them.
func withHistory(w workflow.Workflow) workflow.Workflow {
	return withCrashes(w, 1)
}

func isCrash(wasAlone, isUnconfirmed bool) types.GomegaMatcher {
	return And(
		HaveField("EndReason", workflow.EndedCrashed),
		HaveField("WasAlone", wasAlone),
		HaveField("IsUnconfirmed", isUnconfirmed),
	)
}

func isLost(isUnconfirmed bool) types.GomegaMatcher {
	return And(
		HaveField("EndReason", workflow.EndedLost),
		HaveField("IsUnconfirmed", isUnconfirmed),
	)
}

func isNoCrash() types.GomegaMatcher {
	return And(
		HaveField("EndReason", Not(Equal(workflow.EndedCrashed))),
		HaveField("IsUnconfirmed", false),
	)
}

// A crash is how a worker ends without notice.
type crash func(c *cluster, worker string)

// hasRestarted means that the next incarnation announces itself.
func hasRestarted(c *cluster, worker string) {
	c.restart(worker)
	c.announce()
}

// wasReplaced means that another worker answers at the address.
func wasReplaced(c *cluster, worker string) {
	c.isSilent[worker] = true
	c.answer = func(Order) Result {
		return Replaced{}
	}
}

// isMissing means that the platform's inventory of machines lacks the worker.
func isMissing(c *cluster, worker string) {
	c.isSilent[worker] = true
	c.answer = unanswered
	c.readInventory(worker)
}

var crashes = []TableEntry{
	Entry("restarted", crash(hasRestarted)),
	Entry("was replaced", crash(wasReplaced)),
	Entry("is missing in the inventory", crash(isMissing)),
}

var _ = Describe("A run on a worker that has crashed", func() {
	DescribeTable("is a confirmed crash if its start was acknowledged, and was alone without other workflows", func(end crash) {
		c := newCluster(newWorkers("w"), newWorkflow("a", 1, newStep(2, 1, time.Minute)))
		c.stepFor(time.Second)
		Expect(c.startedAt).To(HaveLen(2))
		end(c, "w")
		c.stepUntilEnds(2)
		Expect(c.ends).To(HaveEach(isCrash(true, false)))
	}, crashes)

	DescribeTable("is a confirmed crash if its start was acknowledged, beside other workflows too", func(end crash) {
		c := newCluster(newWorkers("w"), newSound("a"), newSound("b"))
		c.stepFor(time.Second)
		Expect(c.startedAt).To(HaveLen(2))
		end(c, "w")
		c.stepUntilEnds(2)
		Expect(c.ends).To(HaveEach(isCrash(false, false)))
	}, crashes)

	DescribeTable("is an unconfirmed crash if several workflows wait for the answers to their starts", func(end crash) {
		c := newCluster(newWorkers("w"), newSound("a"), withHistory(newSound("b")), withHistory(newSound("c")))
		c.answer = startsUnanswered("b", "c")
		c.stepFor(4 * stepInterval)
		Expect(c.startedAt).To(HaveLen(1))
		c.answer = acknowledge
		end(c, "w")
		ends := c.stepUntilEnds(3)
		Expect(ends["a"]).To(isCrash(false, false), "acknowledged")
		Expect(ends["b"]).To(isCrash(false, true))
		Expect(ends["c"]).To(isCrash(false, true))
	}, crashes)

	DescribeTable("is a confirmed crash if its start is the only one without an answer, and the worker was alive", func(end crash) {
		c := newCluster(newWorkers("w"), newSound("a"), withHistory(newSound("b")))
		c.answer = startsUnanswered("b")
		c.stepFor(4 * stepInterval)
		Expect(c.startedAt).To(HaveLen(1))
		c.answer = acknowledge
		end(c, "w")
		ends := c.stepUntilEnds(2)
		Expect(ends["a"]).To(isCrash(false, false))
		Expect(ends["b"]).To(isCrash(false, false))
	}, crashes)

	DescribeTable("is a confirmed crash if no other workflow has runs there, even of several unanswered starts", func(end crash) {
		c := newCluster(newWorkers("w"), withHistory(newWorkflow("a", 1, newStep(2, 1, time.Minute))))
		c.answer = startsUnanswered("a")
		c.stepFor(5 * stepInterval)
		Expect(c.startsSent["a"]).To(Equal(2))
		Expect(c.startedAt).To(BeEmpty())
		c.answer = acknowledge
		end(c, "w")
		c.stepUntilEnds(2)
		Expect(c.ends).To(HaveEach(isCrash(true, false)))
	}, crashes)

	// Guards against workers that lost power before the start was sent. An idle
	// connection to such a worker takes the start, which is never answered.
	DescribeTable("may be no crash if its start has no answer and the worker was not known to be alive", func(end crash) {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.fence("w")
		c.answer = unanswered
		c.stepFor(3 * stepInterval)
		Expect(c.startsSent["a"]).To(Equal(1))
		c.answer = acknowledge
		end(c, "w")
		Expect(c.stepUntilEnds(1)["a"]).To(isLost(true))
	}, crashes)

	DescribeTable("is no crash if there was no connection for its start", func(end crash) {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.fence("w")
		c.answer = func(Order) Result {
			return Unanswered{
				Detail:        "connection refused",
				IsUndelivered: true,
			}
		}
		c.stepFor(3 * stepInterval)
		c.answer = acknowledge
		end(c, "w")
		Expect(c.stepUntilEnds(1)["a"]).To(isNoCrash())
	}, crashes)

	It("is a crash if only some of its starts had no connection", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.fence("w")
		c.answer = unanswered
		c.stepFor(2 * stepInterval)
		c.answer = func(o Order) Result {
			if _, isRenew := o.(Renew); isRenew {
				return Acknowledged{}
			}
			return Unanswered{
				IsUndelivered: true,
			}
		}
		c.stepFor(6 * stepInterval)
		c.answer = acknowledge
		hasRestarted(c, "w")
		Expect(c.stepUntilEnds(1)["a"]).To(isCrash(true, false))
	})

	It("is a confirmed crash to a new leader only if the worker has listed it", func() {
		for _, isListed := range []bool{false, true} {
			c := newCluster(newWorkers("w"), withHistory(newSound("a")))
			c.stepFor(time.Second)
			c.changeLeader()
			if isListed {
				c.stepFor(time.Second)
			}
			hasRestarted(c, "w")
			Expect(c.stepUntilEnds(1)["a"]).To(isCrash(true, !isListed))
		}
	})

	It("may be no crash to a new leader if no worker has crashed under its task before", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.stepFor(time.Second)
		c.changeLeader()
		hasRestarted(c, "w")
		Expect(c.stepUntilEnds(1)["a"]).To(isLost(true))
	})

	It("is no crash if its placement was committed only after the restart, so that no start was sent", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.now = c.now.Add(stepInterval)
		c.announce()
		c.reconcile()
		Expect(c.proposed.Placements).To(HaveLen(1))
		hasRestarted(c, "w")
		c.commit()
		Expect(c.placedAt("a")).To(Equal([]string{"w"}))
		Expect(c.stepUntilEnds(1)["a"]).To(isNoCrash())
	})

	It("was not alone even if the ends are recorded one after the other", func() {
		c := newCluster(newWorkers("w"), newSound("a"), newSound("b"))
		c.stepFor(time.Second)
		hasRestarted(c, "w")
		c.answer = func(o Order) Result {
			if s, isStop := o.(Stop); isStop && s.Workflow == "b" && len(c.ends) == 0 {
				return unanswered(o)
			}
			return Acknowledged{}
		}
		Expect(c.stepUntilEnds(1)).To(HaveKeyWithValue("a", isCrash(false, false)))
		Expect(c.stepUntilEnds(2)).To(HaveKeyWithValue("b", isCrash(false, false)))
	})
})

var _ = Describe("A run of a task with a history of crashes", func() {
	It("starts as soon as its worker has answered another order", func() {
		c := newCluster(newWorkers("w"), withHistory(newSound("a")))
		c.answer = func(o Order) Result {
			if _, isRenew := o.(Renew); isRenew && c.now.Before(epoch.Add(5*stepInterval)) {
				return unanswered(o)
			}
			return Acknowledged{}
		}
		c.stepFor(4 * stepInterval)
		Expect(c.startsSent["a"]).To(BeZero())
		c.stepFor(4 * stepInterval)
		Expect(c.startsSent["a"]).To(Equal(1))
		Expect(c.ends).To(BeEmpty())
	})

	// Guards against a history of crashes that grows by starts which reach no process.
	It("is never started on workers that answer no order, and ends without a crash", func() {
		w := withHistory(newSound("a"))
		c := newCluster(newWorkers("w1", "w2", "w3"), w)
		c.fence("w1", "w2", "w3")
		c.answer = unanswered
		ends := c.stepUntilEnds(3)
		Expect(c.startsSent["a"]).To(BeZero())
		Expect(ends["a"].EndReason).To(Equal(workflow.EndedNotStarted))
		Expect(c.ends).To(HaveEach(isNoCrash()))
		t, _ := c.state.Workflows[0].Task(workflow.TaskKey{
			Workflow: "a",
		})
		Expect(t.Crashes).To(Equal(1))
	})
})

var _ = Describe("A run on a worker that had announced that it leaves", func() {
	var c *cluster
	BeforeEach(func() {
		c = newCluster(newWorkers("w"), newSound("a"))
		c.stepFor(time.Second)
		c.machines[0].Leaving = true
		c.step()
		Expect(c.startedAt).To(HaveLen(1), "the run goes on")
	})

	It("is no crash after a restart", func() {
		hasRestarted(c, "w")
		Expect(c.stepUntilEnds(1)["a"]).To(isNoCrash())
	})

	It("is no crash if another worker answers there", func() {
		wasReplaced(c, "w")
		Expect(c.stepUntilEnds(1)["a"]).To(isNoCrash())
	})

	It("is no crash to a new leader, to which the next incarnation announces itself", func() {
		c.changeLeader()
		c.reconcile()
		hasRestarted(c, "w")
		Expect(c.stepUntilEnds(1)["a"]).To(isNoCrash())
	})

	It("is no crash to a new leader, to which the next incarnation announces itself first", func() {
		c.changeLeader()
		hasRestarted(c, "w")
		Expect(c.stepUntilEnds(1)["a"]).To(isNoCrash())
	})
})

var _ = Describe("A run that ends with the lease of its worker", func() {
	It("may have been a crash if the worker was silent", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.stepFor(time.Second)
		c.isSilent["w"] = true
		c.answer = unanswered
		Expect(c.stepUntilEnds(1)["a"]).To(isLost(true))
	})

	It("is no crash if the worker is in contact but takes no orders", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.stepFor(time.Second)
		c.answer = unanswered
		Expect(c.stepUntilEnds(1)["a"]).To(isLost(false))
	})

	It("may have been a crash to a new leader, whose inventory has never listed the worker", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.stepFor(time.Second)
		c.changeLeader()
		c.isSilent["w"] = true
		c.answer = unanswered
		for range 2 {
			c.dispatcher = c.dispatcher.With(c.now, InventoryRead{
				StartedAt:  c.now,
				IsComplete: true,
				Running: map[string]bool{
					"other": true,
				},
			})
		}
		Expect(c.stepUntilEnds(1)["a"]).To(isLost(true))
	})
})

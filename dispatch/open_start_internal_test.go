package dispatch

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func isStart(o Order) bool {
	_, ok := o.(Start)
	return ok
}

// startOnItsWay lets the leader place and start a task, and returns the start, which has not
// reached its worker. The workers have answered orders before.
func startOnItsWay(c *cluster) Start {
	GinkgoHelper()
	for _, w := range c.machines {
		c.fence(w.ID)
	}
	c.withholds = isStart
	c.stepFor(3 * stepInterval)
	c.withholds = nil
	Expect(c.inFlight).To(HaveLen(1))
	return c.inFlight[0].(Start)
}

// leaveUnanswered lets a worker carry out no order, and reports that one got no answer.
func leaveUnanswered(c *cluster, o Order) {
	worker := targetOf(o).Worker
	c.answer = func(o Order) Result {
		if targetOf(o).Worker == worker {
			return Unanswered{}
		}
		return Acknowledged{}
	}
	c.deliver(o)
}

// replacedAt returns answers of another worker at the address of one, and acknowledgements
// of all others.
func replacedAt(worker string) func(o Order) Result {
	return func(o Order) Result {
		if targetOf(o).Worker == worker {
			return Replaced{}
		}
		return Acknowledged{}
	}
}

// A start that another worker answered was counted as on its way for good, so that its run
// never ended.
var _ = Describe("A start that another worker answers at the address of a lost one", func() {
	It("does not keep its task from running elsewhere", func() {
		c := newCluster(newWorkers("w", "x"), newSound("a"))
		start := startOnItsWay(c)
		lost := start.Worker
		c.answer = replacedAt(lost)
		c.isSilent[lost] = true
		c.deliver(start)
		c.stepFor(time.Second)
		Expect(c.placedAt("a")).To(HaveLen(1))
		Expect(c.placedAt("a")).NotTo(ContainElement(lost))
		Expect(c.startedAt).To(HaveLen(1))
	})

	It("does not keep the gang of its task from running elsewhere", func() {
		c := newCluster(newWorkers("w", "x", "y"), newWorkflow("a", 1, newGang(2, 5)))
		c.fence("w", "x", "y")
		c.withholds = isStart
		c.stepFor(3 * stepInterval)
		Expect(c.inFlight).To(HaveLen(2))
		lost := targetOf(c.inFlight[0]).Worker
		c.withholds, c.answer = nil, replacedAt(lost)
		c.isSilent[lost] = true
		c.deliver(c.inFlight[0])
		c.deliver(c.inFlight[1])
		c.stepFor(2 * time.Second)
		Expect(c.placedAt("a")).To(HaveLen(2))
		Expect(c.placedAt("a")).NotTo(ContainElement(lost))
		Expect(c.startedAt).To(HaveLen(2))
	})

	// The leader did not log which start a run waited for.
	It("names the run in the log while another start for it is on its way", func() {
		c := newCluster(newWorkers("w", "x"), newSound("a"))
		lost := startOnItsWay(c).Worker
		isMissing(c, lost)
		c.stepFor(3 * stepInterval)
		isNamed := slices.ContainsFunc(c.records, func(r DecisionRecord) bool {
			return r.Reason == string(reasonStartOpen) && r.Worker == lost && r.RunKey.Workflow == "a"
		})
		Expect(isNamed).To(BeTrue())
	})
})

// A worker that is back under its identifier carries out a start for its former incarnation
// until it has answered an order with a higher fence. The task ran elsewhere by then.
var _ = Describe("A start that got no answer", func() {
	var (
		c     *cluster
		start Start
		lost  string
	)
	BeforeEach(func() {
		c = newCluster(newWorkers("w", "x"), newSound("a"))
		start = startOnItsWay(c)
		lost = start.Worker
	})
	// expectHeldUntil expects that the run goes on up to a time and ends soon after it.
	expectHeldUntil := func(at time.Time) {
		GinkgoHelper()
		c.stepFor(at.Sub(c.now) - 2*stepInterval)
		Expect(c.ends).To(BeEmpty())
		c.stepFor(5 * stepInterval)
		Expect(c.ends).To(HaveLen(1))
	}
	sentAt := func() time.Time {
		return epoch.Add(2 * stepInterval)
	}

	It("keeps its task from running elsewhere while it may be carried out, if the inventory lacks the worker", func() {
		leaveUnanswered(c, start)
		isMissing(c, lost)
		expectHeldUntil(sentAt().Add(c.dispatcher.cfg.MaxOrderDelay))
	})

	It("keeps its task from running elsewhere while it may be carried out, if the lease is over", func() {
		leaveUnanswered(c, start)
		c.isSilent[lost] = true
		expectHeldUntil(sentAt().Add(c.dispatcher.cfg.MaxOrderDelay))
	})

	It("keeps its task from running elsewhere after two incarnations of the worker have ended", func() {
		leaveUnanswered(c, start)
		isMissing(c, lost)
		c.restart(lost)
		c.stepFor(2 * stepInterval)
		isMissing(c, lost)
		expectHeldUntil(sentAt().Add(c.dispatcher.cfg.MaxOrderDelay))
	})

	It("keeps its task from running elsewhere after a change of leader", func() {
		leaveUnanswered(c, start)
		c.changeLeader()
		since := c.now
		c.stepFor(stepInterval)
		isMissing(c, lost)
		expectHeldUntil(since.Add(c.dispatcher.cfg.MaxOrderDelay))
	})

	It("keeps its task from running elsewhere if its connection broke and the worker lived on", func() {
		c.answer = func(o Order) Result {
			if isStart(o) {
				return Unanswered{
					BrokenAfter: 1,
				}
			}
			return Acknowledged{}
		}
		c.deliver(start)
		c.stepFor(2 * stepInterval)
		isMissing(c, lost)
		expectHeldUntil(sentAt().Add(c.dispatcher.cfg.MaxOrderDelay))
	})

	It("keeps nothing waiting once another worker has the address", func() {
		leaveUnanswered(c, start)
		c.stepFor(4 * stepInterval)
		c.answer = replacedAt(lost)
		c.isSilent[lost] = true
		c.stepFor(time.Second)
		Expect(c.placedAt("a")).To(HaveLen(1))
		Expect(c.placedAt("a")).NotTo(ContainElement(lost))
	})

	It("meets a next incarnation that has answered an order, although nothing is placed there any more", func() {
		leaveUnanswered(c, start)
		c.answer = acknowledge
		for i := range c.machines {
			c.machines[i].Leaving = c.machines[i].ID == lost
		}
		c.stepFor(time.Second)
		Expect(c.ends).To(HaveLen(1))
		Expect(c.placedAt("a")).NotTo(ContainElement(lost))
		c.restart(lost)
		c.stepFor(2 * stepInterval)
		v, _ := c.dispatcher.workerView(lost)
		Expect(v.answeredFence).To(BeNumerically(">", start.Fence))
	})

	It("meets an idle incarnation that has answered an order of a new leader", func() {
		c.changeLeader()
		c.restart(lost)
		c.stepFor(2 * stepInterval)
		v, _ := c.dispatcher.workerView(lost)
		Expect(v.answeredFence).To(BeNumerically(">", start.Fence))
	})
})

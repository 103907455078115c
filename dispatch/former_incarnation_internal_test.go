package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A worker that is back under its identifier takes orders that were meant for its former
// incarnation, seconds late, as its own.
var _ = Describe("An incarnation of a worker that has restarted", func() {
	It("gets orders with a higher fence than any incarnation before, from any leader", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		var fences []uint64
		c.withholds = func(o Order) bool {
			fences = append(fences, targetOf(o).Fence)
			return false
		}
		highest := func() (n uint64) {
			for _, t := range fences {
				n = max(n, t)
			}
			fences = nil
			return n
		}
		c.stepFor(time.Second)
		before := highest()
		for range 2 {
			c.restart("w")
			c.stepFor(time.Second)
			Expect(fences[len(fences)-1]).To(BeNumerically(">", before))
			c.changeLeader()
			fences = nil
			c.stepFor(time.Second)
			Expect(fences).NotTo(BeEmpty())
			Expect(fences).To(HaveEach(BeNumerically(">", before)))
			before = highest()
		}
	})

	// A start before that left a gap in which an order for the former incarnation could
	// still extend the lease.
	It("is told to start nothing before it has answered an order", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.answer = func(o Order) Result {
			if isStart(o) {
				return Acknowledged{}
			}
			return unanswered(o)
		}
		c.stepFor(time.Second)
		Expect(c.startsSent["a"]).To(BeZero())
		c.answer = acknowledge
		c.stepFor(time.Second)
		Expect(c.startsSent["a"]).To(Equal(1))
	})

	// Its lease may be the longest that workers grant, by an order for the former
	// incarnation that arrived just before.
	It("keeps a run for the longest lease after its first answer", func() {
		c := newCluster(newWorkers("w"))
		c.stepFor(time.Second)
		c.restart("w")
		c.submit(newSound("a"))
		c.withholds = func(o Order) bool {
			r, isRenewal := o.(Renew)
			return isRenewal && r.MaxWait > 0
		}
		c.stepFor(500 * time.Millisecond)
		Expect(c.startedAt).To(HaveLen(1))
		c.isSilent["w"] = true
		c.stepFor(c.dispatcher.cfg.MaxLeaseDuration - 500*time.Millisecond)
		Expect(c.ends).To(BeEmpty())
		c.stepFor(time.Second)
		Expect(c.ends).To(HaveLen(1))
	})

	// Such an order has the fence of the committed incarnation, which would carry it out as
	// its own, also seconds late.
	It("is not sent orders for the former incarnation once it is committed", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.stepFor(time.Second)
		Expect(c.startedAt).To(HaveLen(1))
		c.isSilent["w"] = true
		c.restart("w")
		c.commit()
		var incarnations []int64
		c.withholds = func(o Order) bool {
			incarnations = append(incarnations, targetOf(o).Incarnation)
			return false
		}
		c.stepFor(2 * time.Second)
		Expect(incarnations).NotTo(BeEmpty())
		Expect(incarnations).To(HaveEach(c.machines[0].Incarnation))
	})

	DescribeTable("may carry out a start that is on its way when the former has ended", func(result Result, isHeld, isRunning bool) {
		c := newCluster(newWorkers("w", "x"), newSound("a"))
		start := startOnItsWay(c)
		worker := start.Worker
		isMissing(c, worker)
		c.stepFor(3 * stepInterval)
		Expect(c.ends).To(BeEmpty(), "the start is on its way")
		c.dispatcher = c.dispatcher.With(c.now, OrderCompleted{
			Order:  start,
			SentAt: c.now,
			Result: result,
		})
		c.stepFor(3 * stepInterval)
		if !isHeld {
			Expect(c.ends).To(HaveLen(1))
			return
		}
		Expect(c.ends).To(BeEmpty(), "the next incarnation runs it, or may do so")
		c.answer = acknowledge
		c.isSilent[worker] = false
		c.restart(worker)
		if isRunning {
			c.startedAt[start.RunKey] = c.now
		}
		c.stepFor(time.Second)
		Expect(c.ends).To(HaveLen(1))
		Expect(c.startedAt).To(HaveLen(1), "the task runs once")
	},
		Entry("which it has acknowledged", Acknowledged{}, true, true),
		Entry("which got no answer", Unanswered{}, true, false),
		Entry("which got no answer and was carried out", Unanswered{}, true, true),
		Entry("for which there was no connection", Unanswered{
			IsUndelivered: true,
		}, false, false),
		Entry("whose connection broke at once", Unanswered{
			BrokenAfter: maxPromptBreak,
		}, false, false),
		Entry("whose connection broke later", Unanswered{
			BrokenAfter: maxPromptBreak + 1,
		}, true, false),
	)
})

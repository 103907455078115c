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
		c.fence("w", "x")
		c.withholds = isStart
		c.stepFor(3 * stepInterval)
		Expect(c.inFlight).To(HaveLen(1))
		lost := targetOf(c.inFlight[0]).Worker
		c.withholds, c.answer = nil, replacedAt(lost)
		c.isSilent[lost] = true
		c.deliver(c.inFlight[0])
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
		c.fence("w", "x")
		c.withholds = isStart
		c.stepFor(3 * stepInterval)
		Expect(c.inFlight).To(HaveLen(1))
		lost := targetOf(c.inFlight[0]).Worker
		isMissing(c, lost)
		c.stepFor(3 * stepInterval)
		isNamed := slices.ContainsFunc(c.records, func(r DecisionRecord) bool {
			return r.Reason == string(reasonStartOpen) && r.Worker == lost && r.RunKey.Workflow == "a"
		})
		Expect(isNamed).To(BeTrue())
	})
})

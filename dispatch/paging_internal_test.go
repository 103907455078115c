package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A run that is in no listing", func() {
	// Guards against ends that a worker has not listed yet.
	It("is stopped only once a listing has all ended runs", func() {
		c := newCluster(newWorkers("w"), newSound("a"))
		c.stepFor(time.Second)
		Expect(c.startedAt).To(HaveLen(1))
		var stops int
		c.answer = func(o Order) Result {
			if _, isStop := o.(Stop); isStop {
				stops++
			}
			return Acknowledged{}
		}
		clear(c.startedAt)
		c.hasMore = true
		c.stepFor(5 * time.Second)
		Expect(stops).To(BeZero())
		Expect(c.ends).To(BeEmpty())
		c.hasMore = false
		c.stepUntilEnds(1)
		Expect(stops).To(BeNumerically(">", 0))
	})
})

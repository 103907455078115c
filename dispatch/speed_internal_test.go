package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/speed"
	"github.com/plantainladder/plantainladder/workflow"
)

// The load is that of a pool whose workers have the speeds 0.6, 1 and 1.6, which nothing but
// their runs shows: urgent gangs with little slack beside wide steps with much.
var _ = Describe("A pool whose workers have different speeds", func() {
	slow := func(i int) bool { return i%3 == 0 }

	newUneven := func(speeds ...float64) *cluster {
		var ids []string
		byID := map[string]float64{}
		for i := range 30 {
			id := fmt.Sprintf("w%02d", i)
			ids = append(ids, id)
			byID[id] = speeds[i%len(speeds)]
		}
		c := newCluster(newWorkers(ids...))
		c.speeds = byID
		return c
	}
	// learn runs steps with a task for each worker until the speeds are known. Work of 4 s
	// with a stretch of 3 has slack on each of them.
	learn := func(c *cluster) {
		for n := range 4 {
			c.submit(newWorkflow(fmt.Sprintf("learn-%d", n), 1, newStep(30, 8, 4*time.Second)))
			c.stepFor(9 * time.Second)
		}
		Expect(c.state.Workflows).To(BeEmpty())
	}
	urgentGang := func(tasks, cores int) workflow.Workflow {
		step := newGang(tasks, cores)
		step.DeclaredRunTime = 4 * time.Second
		w := newWorkflow("urgent", 0, step)
		w.QueueSettings.Stretch, w.QueueSettings.Slack = 1.5, 250*time.Millisecond
		return w
	}
	numbers := func(c *cluster, id string) (list []int) {
		for _, worker := range c.placedAt(id) {
			list = append(list, slices.IndexFunc(c.machines, func(w pool.Worker) bool { return w.ID == worker }))
		}
		return list
	}

	// One member on a slow worker makes the whole gang late.
	It("places an urgent gang on none of the slow ones", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		c.submit(urgentGang(12, 8))
		c.stepFor(500 * time.Millisecond)
		Expect(numbers(c, "urgent")).To(HaveLen(12))
		for _, n := range numbers(c, "urgent") {
			Expect(slow(n)).To(BeFalse(), "worker %d", n)
		}
	})

	It("leaves the fast ones to others if the slow ones meet the target", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		c.submit(newWorkflow("slack", 1, newStep(10, 8, 4*time.Second)))
		c.stepFor(500 * time.Millisecond)
		Expect(numbers(c, "slack")).To(HaveLen(10))
		for _, n := range numbers(c, "slack") {
			Expect(slow(n)).To(BeTrue(), "worker %d", n)
		}
	})

	It("still places a gang that only fits with some of the slow ones", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		c.submit(urgentGang(25, 8))
		c.stepFor(500 * time.Millisecond)
		Expect(numbers(c, "urgent")).To(HaveLen(25))
	})

	It("expects runs to end later on slow workers", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		belief := c.dispatcher.belief(workerIncarnation{
			id:          "w00",
			incarnation: 1,
		})
		pools, workers := c.dispatcher.UnevenPools()
		Expect([]int{pools, workers}).To(Equal([]int{1, 30}))
		Expect(atSpeed(4*time.Second, belief.Mean)).To(BeNumerically("~", 6700*time.Millisecond, 700*time.Millisecond))
	})

	DescribeTable("stops less urgent work on a fast worker for an urgent gang, if that loses less work than the gang has", func(age time.Duration, isPreempted bool) {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		// All workers but the slow ones are in use.
		for i := range 30 {
			if !slow(i) {
				w := newWorkflow(fmt.Sprintf("other-%d", i), 2, newStep(1, 8, time.Minute))
				w.Submitted = c.now
				w.Spec.Steps[0].RequiredLabel = c.machines[i].ID
				c.machines[i].Labels = []string{c.machines[i].ID}
				c.submit(w)
			}
		}
		c.stepFor(age)
		c.submit(urgentGang(3, 6))
		c.stepFor(300 * time.Millisecond)
		Expect(c.preempted() != nil).To(Equal(isPreempted))
		c.stepFor(2 * time.Second)
		Expect(numbers(c, "urgent")).To(HaveLen(3))
		for _, n := range numbers(c, "urgent") {
			Expect(slow(n)).To(Equal(!isPreempted))
		}
	},
		Entry("as work does that has just begun", 2*time.Second, true),
		Entry("as work does not that has run for long", 20*time.Second, false),
	)

	// A restart may bring another kind of machine under the same identifier.
	It("knows nothing of a worker that has restarted", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		c.restart("w00")
		c.stepFor(time.Second)
		Expect(c.dispatcher.belief(workerIncarnation{
			id:          "w00",
			incarnation: 2,
		}).Mean).To(BeZero())
	})

	// Without the replicated speeds, gangs were late for 12 s after a change of leader.
	It("is uneven for a new leader at once, by the speeds that were learned before", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		c.restart("w03")
		c.step()
		c.changeLeader()
		c.step()
		Expect(c.dispatcher.spreads["pool"].IsUneven()).To(BeTrue())
		Expect(c.dispatcher.belief(workerIncarnation{
			id:          "w00",
			incarnation: 1,
		}).ProbabilityAbove(0.75)).To(BeNumerically("<", 0.1))
		Expect(c.dispatcher.belief(workerIncarnation{
			id:          "w03",
			incarnation: 2,
		}).Mean).To(BeZero())
		c.stepFor(2 * time.Second)
		c.submit(urgentGang(8, 4))
		c.stepFor(500 * time.Millisecond)
		Expect(numbers(c, "urgent")).To(HaveLen(8))
		for _, n := range numbers(c, "urgent") {
			Expect(slow(n)).To(BeFalse(), "worker %d", n)
		}
	})

	It("is uneven for a new leader after one of an earlier version only once it has seen runs there", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		for n := range 2 {
			c.submit(newWorkflow(fmt.Sprintf("inherited-%d", n), 1, newStep(30, 4, 20*time.Second)))
		}
		c.stepFor(time.Second)
		for i := range c.machines {
			c.machines[i] = c.machines[i].WithSpeed(0, 0)
		}
		c.commit()
		c.changeLeader()
		c.step()
		Expect(c.dispatcher.spreads["pool"].IsUneven()).To(BeFalse())
		Expect(c.dispatcher.belief(workerIncarnation{
			id:          "w00",
			incarnation: 1,
		})).To(Equal(speed.Belief{}))
		c.stepFor(8 * time.Second)
		c.submit(urgentGang(8, 4))
		c.stepFor(500 * time.Millisecond)
		for _, n := range numbers(c, "urgent") {
			Expect(slow(n)).To(BeFalse(), "worker %d", n)
		}
	})

	It("is treated like one with equal workers while the slowest meet each target", func() {
		c := newUneven(0.8, 1, 1.25)
		learn(c)
		Expect(c.dispatcher.spreads["pool"].IsUneven()).To(BeFalse())
		Expect(c.dispatcher.belief(workerIncarnation{
			id:          "w00",
			incarnation: 1,
		})).To(Equal(speed.Belief{}))
	})

	It("keeps no samples of workflows that have ended", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		c.stepFor(sampleRetention + time.Second)
		// A workflow that goes on keeps those of its steps that have not ended.
		c.submit(newWorkflow("another", 1, newStep(1, 1, time.Second), newStep(1, 1, time.Minute)))
		c.stepFor(2*sampleRetention + 2*time.Second)
		Expect(c.dispatcher.samples.byStep.Len()).To(Equal(1))
		_, isKept := c.dispatcher.samples.byStep.Get("another/0/1")
		Expect(isKept).To(BeTrue())
	})

	// Otherwise short runs would seem longer with each round that is not committed.
	It("takes the sample of a run that has ended once, although its end is listed again and again", func() {
		c := newCluster(newWorkers("w0", "w1", "w2", "w3"))
		c.stepFor(time.Second)
		c.submit(newWorkflow("a", 1, newStep(4, 8, 100*time.Millisecond)))
		c.stepFor(3 * stepInterval)
		for range 100 {
			c.now = c.now.Add(stepInterval)
			c.announce()
			c.reconcile()
		}
		step, isSampled := c.dispatcher.samples.byStep.Get("a/0/0")
		Expect(isSampled).To(BeTrue())
		Expect(step.tasks).To(Equal(4))
		for _, sample := range step.samples {
			Expect(sample.logTime).To(BeNumerically("<", logSeconds(500*time.Millisecond)))
		}
	})

	// The next leader would have placed work by speeds that its workers do not have any more.
	It("is equal for the next leader once its workers have turned out to be equal", func() {
		c := newUneven(0.6, 1, 1.6)
		learn(c)
		for id := range c.speeds {
			c.speeds[id] = 1
		}
		for n := range 30 {
			c.submit(newWorkflow(fmt.Sprintf("equal-%d", n), 1, newStep(30, 8, 4*time.Second)))
			c.stepFor(6 * time.Second)
		}
		Expect(c.dispatcher.spreads["pool"].IsUneven()).To(BeFalse())
		c.changeLeader()
		c.step()
		Expect(c.dispatcher.spreads["pool"].IsUneven()).To(BeFalse())
	})
})

var _ = DescribeTable("The speed that work needs", func(work, left time.Duration, want float64) {
	Expect(neededSpeed(epoch, work, epoch.Add(left))).To(BeNumerically("~", want, 0.01))
},
	Entry("leaves a tenth for what is not work", 2*time.Second, 4*time.Second, 0.55),
	Entry("is out of reach, since the target has passed", time.Second, -time.Second, unreachableSpeed),
	Entry("is out of reach, since no worker is fast enough", 4*time.Second, time.Second, unreachableSpeed),
)

// A pass over 540 workers has to end within 5 ms.
func BenchmarkPlaceUneven(b *testing.B) {
	for _, priority := range []int{0, 1} {
		b.Run(fmt.Sprintf("priority=%d", priority), func(b *testing.B) {
			c := newBusyUneven(b)
			for n := range 20 {
				gang := newGang(13, 6)
				gang.DeclaredRunTime = 4 * time.Second
				w := newWorkflow(fmt.Sprintf("gang-%d", n), priority, gang)
				w.QueueSettings.Stretch, w.QueueSettings.Slack = 1.5, 250*time.Millisecond
				c.submit(w)
			}
			b.ResetTimer()
			for range b.N {
				d := c.dispatcher
				d.placedVersion = 0
				d.Reconcile(c.now, c.state, c.after)
			}
		})
	}
}

// The expected end of each member of a gang depends on its slowest worker, which took time that
// grows with the square of the gang's width.
func BenchmarkPlaceBesideGang(b *testing.B) {
	c := newBusyUneven(b)
	c.submit(newWorkflow("wide", 1, newGang(256, 4)))
	c.stepFor(time.Second)
	c.submit(newWorkflow("more", 1, newStep(540, 64, time.Minute)))
	b.ResetTimer()
	for range b.N {
		d := c.dispatcher
		d.placedVersion = 0
		d.Reconcile(c.now, c.state, c.after)
	}
}

// newBusyUneven returns a cluster of 540 workers, whose different speeds a leader before has
// learned, with 1,296 runs.
func newBusyUneven(b *testing.B) *cluster {
	RegisterTestingT(b)
	var ids []string
	for i := range 540 {
		ids = append(ids, fmt.Sprintf("w%03d", i))
	}
	c := newCluster(newWorkers(ids...))
	c.speeds = map[string]float64{}
	for i, id := range ids {
		c.speeds[id] = []float64{0.6, 1, 1.6}[i%3]
		c.machines[i] = c.machines[i].WithSpeed([]float64{-0.5, 0, 0.47}[i%3], 150)
	}
	c.commit()
	for n := range 12 {
		c.submit(newWorkflow(fmt.Sprintf("busy-%d", n), 1, newStep(108, 2, time.Minute)))
	}
	c.stepFor(2 * time.Second)
	Expect(c.dispatcher.spreads["pool"].IsUneven()).To(BeTrue())
	return c
}

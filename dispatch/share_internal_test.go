package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// newPods returns a worker with 8 cores and accelerators.
func newPods(ids ...string) []pool.Worker {
	list := newWorkers(ids...)
	for i := range list {
		list[i].Capacity.Accelerators = 8
	}
	return list
}

func newAccelerated(tasks, accelerators int) workflow.Step {
	s := newStep(tasks, 1, time.Minute)
	s.PerTask.Accelerators = accelerators
	return s
}

var _ = Describe("The order of task groups of one priority", func() {
	// submitAll submits ten workflows of each organisation, one accelerator each, those of
	// the first organisation with the earliest targets.
	submitAll := func(c *cluster, organisations ...string) {
		for _, org := range organisations {
			for i := range 10 {
				c.submit(of(org, newWorkflow(fmt.Sprintf("%s-%d", org, i), 1, newAccelerated(1, 1))))
			}
			c.now = c.now.Add(time.Millisecond)
		}
	}

	accelerators := func(c *cluster, organisation string) int {
		return organisationUseOf(c.state.Workflows)[organisation].Accelerators
	}

	// One organisation with early targets had everything until its work was done.
	DescribeTable("gives the organisations shares of what does not suffice", func(weights map[string]float64, mill, farm int) {
		c := newCluster(newPods("a"))
		c.state.WeightOf = func(organisation string) float64 {
			return weights[organisation]
		}
		submitAll(c, "mill", "farm")
		c.step()
		Expect(accelerators(c, "mill")).To(Equal(mill))
		Expect(accelerators(c, "farm")).To(Equal(farm))
	},
		Entry("by their weights", map[string]float64{"mill": 0.1, "farm": 0.3}, 2, 6),
		Entry("alike if one has no weight", map[string]float64{"farm": 0.3}, 4, 4),
		Entry("not without weights", nil, 8, 0),
	)

	It("counts what an organisation has running already", func() {
		c := newCluster(newPods("a", "b"))
		c.state.WeightOf = func(string) float64 {
			return 1
		}
		c.submit(of("mill", newWorkflow("running", 1, newAccelerated(7, 1))))
		c.stepFor(time.Second)
		submitAll(c, "mill", "farm")
		c.step()
		Expect(accelerators(c, "farm")).To(Equal(8))
		Expect(accelerators(c, "mill")).To(Equal(8))
	})

	It("leaves work under a guarantee and more urgent work first", func() {
		c := newCluster(newPods("a"))
		c.state.WeightOf = func(organisation string) float64 {
			return map[string]float64{"mill": 1, "farm": 1000}[organisation]
		}
		submitAll(c, "farm")
		c.submit(of("mill", newWorkflow("urgent", 0, newAccelerated(1, 6))))
		c.step()
		Expect(accelerators(c, "mill")).To(Equal(6))
	})

	newGroup := func(organisation, poolName string) taskGroup {
		w := of(organisation, newWorkflow(organisation+"-"+poolName, 1, newStep(1, 1, time.Second)))
		w.QueueSettings.Pool = poolName
		return taskGroup{
			wf: w,
		}
	}

	// The share of all organisations was computed for each group, which took longer than a
	// whole pass may.
	It("computes the share of an organisation only after a group of it was tried", func() {
		var groups []taskGroup
		for i := range 5000 {
			groups = append(groups, newGroup(fmt.Sprint(i%34), "pool"))
		}
		o := newGroupOrder(groups, GuaranteeAware{}, func(string) float64 { return 1 })
		computed := 0
		for ok := true; ok; {
			_, ok = o.pop(func(taskGroup) float64 {
				computed++
				return float64(computed)
			})
		}
		Expect(computed).To(BeNumerically("<=", 5000+34))
	})

	// The cores of one organisation were compared with the accelerators of another.
	It("compares organisations only within a pool", func() {
		uses := map[string]float64{"mill-cpu": 100, "farm-cpu": 2, "mill-gpu": 1, "farm-gpu": 2}
		o := newGroupOrder([]taskGroup{
			newGroup("mill", "cpu"),
			newGroup("mill", "gpu"),
			newGroup("farm", "gpu"),
			newGroup("farm", "cpu"),
		}, GuaranteeAware{}, func(string) float64 { return 1 })
		var order []string
		for range uses {
			g, ok := o.pop(func(g taskGroup) float64 { return uses[g.wf.Spec.ID] })
			Expect(ok).To(BeTrue())
			order = append(order, g.wf.Spec.ID)
		}
		Expect(order).To(Equal([]string{"farm-cpu", "mill-cpu", "mill-gpu", "farm-gpu"}))
	})

	for seed := range uint64(10) {
		It(fmt.Sprintf("yields each group once, by priority, seed %d", seed), func() {
			rng := rand.New(rand.NewPCG(seed, 5))
			var groups []taskGroup
			for i := range rng.IntN(60) {
				w := of(fmt.Sprint(rng.IntN(5)), newWorkflow(fmt.Sprint(i), i/20, newStep(1, 1, time.Second)))
				groups = append(groups, taskGroup{
					wf:           w,
					isGuaranteed: i%20 < 3,
				})
			}
			o := newGroupOrder(groups, GuaranteeAware{}, func(string) float64 { return rng.Float64() })
			seen := map[string]bool{}
			last := 0
			for {
				g, ok := o.pop(func(taskGroup) float64 { return float64(rng.IntN(3)) })
				if !ok {
					break
				}
				Expect(seen[g.wf.Spec.ID]).To(BeFalse())
				seen[g.wf.Spec.ID] = true
				Expect(g.wf.QueueSettings.Priority).To(BeNumerically(">=", last))
				last = g.wf.QueueSettings.Priority
			}
			Expect(seen).To(HaveLen(len(groups)))
		})
	}
})

// BenchmarkPlaceLimited is a placement pass over a full fleet of the users' size, with ten
// organisations at their limits and 600 waiting task groups.
func BenchmarkPlaceLimited(b *testing.B) {
	RegisterTestingT(b)
	c := newCluster(newPods(benchmarkIDs(540)...))
	c.state.GuaranteedTo = func(string) int { return 40 }
	c.state.WeightOf = func(string) float64 { return 1 }
	c.state.LimitOf = func(string) pool.ResourceVector {
		return pool.ResourceVector{
			Accelerators: 400,
		}
	}
	for i := range 600 {
		step := newAccelerated(8, 1+i%4)
		step.IsGang = i%3 == 0
		c.submit(of(fmt.Sprint(i%10), newWorkflow(fmt.Sprint("running-", i), 1+i%2, step)))
	}
	for range 10 {
		c.step()
	}
	for i := range 600 {
		step := newAccelerated(8, 1+i%4)
		step.IsGang = i%3 == 0
		c.submit(of(fmt.Sprint(i%10), newWorkflow(fmt.Sprint("waiting-", i), i%3, step)))
	}
	c.announce()
	s := &reconciliation{
		dispatcher: c.dispatcher,
		now:        c.now.Add(placementInterval),
		state:      c.state,
		index:      newStateIndex(c.state),
	}
	// The first pass marks the runs that are stopped for urgent work.
	s.place(c.state)
	for b.Loop() {
		s.dispatcher.placedVersion = 0
		s.place(c.state)
	}
}

// BenchmarkGroupOrder is the order alone of 5,000 task groups of 34 organisations.
func BenchmarkGroupOrder(b *testing.B) {
	var groups []taskGroup
	for i := range 5000 {
		groups = append(groups, taskGroup{
			wf: of(fmt.Sprint(i%34), newWorkflow("f", 1, newStep(1, 1, time.Second))),
		})
	}
	used := map[string]float64{}
	for b.Loop() {
		o := newGroupOrder(groups, GuaranteeAware{}, func(string) float64 { return 1 })
		for ok := true; ok; {
			_, ok = o.pop(func(g taskGroup) float64 { return used[g.wf.Spec.Organisation] })
		}
	}
}

func benchmarkIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("w-%03d", i))
	}
	return ids
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A limitedCluster checks at each start that is carried out that the organisation has no more
// running than the rule allows.
type limitedCluster struct {
	*cluster
	rng   *rand.Rand
	specs map[string]workflow.Workflow
	// limits holds the limits in force in cores.
	limits map[string]int
	starts int
}

var limitedOrganisations = []string{"mill", "farm", "shop"}

func newLimitedCluster(seed uint64) *limitedCluster {
	c := &limitedCluster{
		cluster: newCluster(newWorkers("a", "b", "c", "d", "e")),
		rng:     rand.New(rand.NewPCG(seed, 7)),
		specs:   map[string]workflow.Workflow{},
		limits:  map[string]int{},
	}
	c.dispatcher.cfg.LimitOverage = 0.1
	c.answer = c.answerSome
	return c
}

// answerSome leaves some orders unanswered, of which workers carry out every second one.
func (c *limitedCluster) answerSome(o Order) Result {
	isCut := c.rng.IntN(12) == 0
	isCarriedOut := !isCut || c.rng.IntN(2) == 0
	switch o := o.(type) {
	case Start:
		if _, isRunning := c.startedAt[o.RunKey]; isCarriedOut && !isRunning {
			c.checkStart(o.RunKey)
			c.startedAt[o.RunKey] = c.now
		}
	case Stop:
		if isCarriedOut {
			delete(c.startedAt, o.RunKey)
		}
	}
	if isCut {
		return Unanswered{}
	}
	return Acknowledged{}
}

func (c *limitedCluster) checkStart(k workflow.RunKey) {
	GinkgoHelper()
	w := c.specs[k.Workflow]
	org := w.Spec.Organisation
	if c.limits[org] == 0 {
		return
	}
	one := w.Spec.Steps[k.Step].PerTask
	running := one
	for other := range c.startedAt {
		if o := c.specs[other.Workflow]; o.Spec.Organisation == org {
			running = running.Plus(o.Spec.Steps[other.Step].PerTask)
		}
	}
	limit := pool.ResourceVector{
		MilliCores: milliPerCore * c.limits[org],
	}
	Expect(running.FitsIn(limit.WithOverage(0.1).Plus(one).Plus(pool.ResourceVector{
		MemoryMB: 1 << 40,
	}))).To(BeTrue(), "%s starts %v and has %v running of %v", org, k, running, limit)
	c.starts++
}

func (c *limitedCluster) submitSome(n int) {
	for range c.rng.IntN(3) {
		step := newStep(1+c.rng.IntN(6), 1+c.rng.IntN(3), time.Duration(1+c.rng.IntN(4))*time.Second)
		step.IsGang = c.rng.IntN(3) == 0
		w := of(limitedOrganisations[c.rng.IntN(3)], newWorkflow(fmt.Sprintf("f-%d-%d", n, len(c.specs)), c.rng.IntN(3), step))
		c.specs[w.Spec.ID] = w
		c.submit(w)
	}
}

// dropEnded ends the runs that are not placed any more: their leases are over.
func (c *limitedCluster) dropEnded() {
	x := newStateIndex(c.state)
	for k := range c.startedAt {
		if !x.placedRuns[k] {
			delete(c.startedAt, k)
		}
	}
}

// Each of the faults leaves runs of which the leader does not know whether they go on.
var _ = Describe("What an organisation has running", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("stays within its limit while limits, leaders and workers change, seed %d", seed), func() {
			c := newLimitedCluster(seed)
			for n := range 300 {
				if c.rng.IntN(4) == 0 {
					c.limits[limitedOrganisations[c.rng.IntN(3)]] = []int{4, 9, 14}[c.rng.IntN(3)]
					c.setLimits(c.limits)
				}
				if n < 250 {
					c.submitSome(n)
				}
				switch c.rng.IntN(60) {
				case 0:
					c.changeLeader()
				case 1:
					c.restart(c.machines[c.rng.IntN(len(c.machines))].ID)
				}
				c.step()
				c.dropEnded()
			}
			Expect(c.starts).To(BeNumerically(">", 50))
		})
	}
})

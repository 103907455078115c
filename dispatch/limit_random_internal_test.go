package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	// limits holds the limits in force.
	limits map[string]pool.ResourceVector
	// endsBy holds until when runs that are no longer placed may go on, at the latest.
	endsBy map[workflow.RunKey]time.Time
	// stopped holds the runs that workers were told to stop.
	stopped map[workflow.RunKey]bool
	// late holds starts that were not answered and are still on their way.
	late   []lateStart
	starts int
}

// A lateStart is a start that arrives at a time. The highest limit since it was sent counts: it
// can't be called back once it is on its way.
type lateStart struct {
	Start
	at    time.Time
	limit pool.ResourceVector
}

var limitedOrganisations = []string{"mill", "farm", "shop"}

func newLimitedCluster(seed uint64) *limitedCluster {
	c := &limitedCluster{
		cluster: newCluster(newPods("a", "b", "c", "d", "e")),
		rng:     rand.New(rand.NewPCG(seed, 7)),
		specs:   map[string]workflow.Workflow{},
		limits:  map[string]pool.ResourceVector{},
		endsBy:  map[workflow.RunKey]time.Time{},
		stopped: map[workflow.RunKey]bool{},
	}
	c.state.LimitOf = func(organisation string) pool.ResourceVector {
		return c.limits[organisation]
	}
	c.dispatcher.cfg.LimitOverage = 0.1
	c.answer = c.answerSome
	return c
}

// answerSome leaves some orders unanswered, of which workers carry out every second one. Some
// of the other starts arrive later.
func (c *limitedCluster) answerSome(o Order) Result {
	isCut := c.rng.IntN(12) == 0
	isCarriedOut := !isCut || c.rng.IntN(2) == 0
	switch o := o.(type) {
	case Start:
		switch {
		case isCarriedOut:
			c.start(o, c.limits[c.specs[o.Workflow].Spec.Organisation])
		case c.rng.IntN(2) == 0:
			c.late = append(c.late, lateStart{
				Start: o,
				at:    c.now.Add(time.Duration(c.rng.IntN(5000)) * time.Millisecond),
				limit: c.limits[c.specs[o.Workflow].Spec.Organisation],
			})
		}
	case Stop:
		if isCarriedOut {
			delete(c.startedAt, o.RunKey)
			// A worker never starts a run that it was told to stop.
			c.stopped[o.RunKey] = true
		}
	}
	if s, isStart := o.(Start); isStart {
		_, isRunning := c.startedAt[s.RunKey]
		isCut = isCut || !isRunning
	}
	if isCut {
		return Unanswered{}
	}
	return Acknowledged{}
}

// start carries out a start, unless the worker has run or stopped the run before, has a new
// incarnation, has seen a newer fence, or the lease in the start is over.
func (c *limitedCluster) start(o Start, limit pool.ResourceVector) {
	_, isRunning := c.startedAt[o.RunKey]
	isCurrent := slices.ContainsFunc(c.machines, func(w pool.Worker) bool {
		return w.ID == o.Worker && w.Incarnation == o.Incarnation
	})
	isEnded := slices.ContainsFunc(c.ended[o.Worker], func(e EndedRun) bool {
		return e.RunKey == o.RunKey
	})
	if isRunning || isEnded || c.stopped[o.RunKey] || !isCurrent || o.LeaseUntil < c.clockMS() {
		return
	}
	c.checkStart(o.RunKey, limit)
	c.startedAt[o.RunKey] = c.now
}

// deliverLate carries out the starts that arrive late.
func (c *limitedCluster) deliverLate() {
	c.late = slices.DeleteFunc(c.late, func(s lateStart) bool {
		if c.now.Before(s.at) {
			return false
		}
		c.start(s.Start, s.limit)
		return true
	})
}

func (c *limitedCluster) checkStart(k workflow.RunKey, limit pool.ResourceVector) {
	GinkgoHelper()
	w := c.specs[k.Workflow]
	org := w.Spec.Organisation
	if limit.IsZero() {
		return
	}
	one := w.Spec.Steps[k.Step].PerTask
	running := one
	for other := range c.startedAt {
		if o := c.specs[other.Workflow]; o.Spec.Organisation == org {
			running = running.Plus(o.Spec.Steps[other.Step].PerTask)
		}
	}
	room := limit.WithOverage(0.1).RoomFor(one, running.Minus(one))
	Expect(room.IsNegative()).To(BeFalse(), "%s starts %v and has %v running of %v", org, k, running, limit)
	c.starts++
}

// setSomeLimit changes the limit of an organisation.
func (c *limitedCluster) setSomeLimit() {
	org := limitedOrganisations[c.rng.IntN(3)]
	limit := pool.ResourceVector{
		MilliCores:   milliPerCore * []int{4, 9, 14}[c.rng.IntN(3)],
		Accelerators: []int{0, 3, 6}[c.rng.IntN(3)],
	}
	c.limits[org] = limit
	c.state.Version++
	for i := range c.late {
		s := &c.late[i]
		if c.specs[s.Workflow].Spec.Organisation == org {
			s.limit = highestLimit(s.limit, limit)
		}
	}
}

// highestLimit returns for each resource the higher limit; 0 for none.
func highestLimit(a, b pool.ResourceVector) pool.ResourceVector {
	highest := func(a, b int) int {
		if a == 0 || b == 0 {
			return 0
		}
		return max(a, b)
	}
	return pool.ResourceVector{
		MilliCores:   highest(a.MilliCores, b.MilliCores),
		MemoryMB:     highest(a.MemoryMB, b.MemoryMB),
		Accelerators: highest(a.Accelerators, b.Accelerators),
	}
}

func (c *limitedCluster) submitSome(n int) {
	for range c.rng.IntN(3) {
		step := newStep(1+c.rng.IntN(6), 1+c.rng.IntN(3), time.Duration(1+c.rng.IntN(4))*time.Second)
		step.IsGang = c.rng.IntN(3) == 0
		step.PerTask.Accelerators = max(0, c.rng.IntN(4)-1)
		w := of(limitedOrganisations[c.rng.IntN(3)], newWorkflow(fmt.Sprintf("f-%d-%d", n, len(c.specs)), c.rng.IntN(3), step))
		c.specs[w.Spec.ID] = w
		c.submit(w)
	}
}

// dropEnded ends the runs that are not placed any more and have not ended otherwise, once
// the longest lease after that is over.
func (c *limitedCluster) dropEnded() {
	x := newStateIndex(c.state)
	for k := range c.startedAt {
		switch at, isKnown := c.endsBy[k]; {
		case x.placedRuns[k]:
		case !isKnown:
			c.endsBy[k] = c.now.Add(c.dispatcher.cfg.LeaseDuration)
		case !c.now.Before(at):
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
					c.setSomeLimit()
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
				c.deliverLate()
				c.dropEnded()
			}
			Expect(c.starts).To(BeNumerically(">", 50))
		})
	}
})

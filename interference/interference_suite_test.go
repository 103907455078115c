package interference_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/interference"
)

func TestInterference(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "interference")
}

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

var (
	victim = newKind("victim")
	other  = newKind("other")
	noisy  = newKind("noisy")
	pair   = interference.Pair{
		Slowed: victim,
		By:     noisy,
	}
)

func newKind(queue string) interference.Kind {
	return interference.Kind{
		Queue: queue,
	}
}

// A fleet is 40 simulated workers and what is learned from their runs.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	knowledge interference.Knowledge
	changes   []interference.Change
	steps     int
	// slowdown is that of each kind by each other, and ownSlowdown that of a worker.
	slowdown    map[interference.Pair]float64
	ownSlowdown func(worker int) float64
	// hasNoisy reports whether the noisy kind runs on a worker.
	hasNoisy func(worker int) bool
}

func newFleet(seed int64) *fleet {
	f := &fleet{
		random:      rand.New(rand.NewSource(seed)),
		now:         epoch,
		slowdown:    map[interference.Pair]float64{},
		ownSlowdown: func(int) float64 { return 1 },
	}
	f.hasNoisy = func(int) bool { return f.random.Intn(2) == 0 }
	return f
}

// run lets each worker run a task of a step. The work of the tasks differs by 20 percent.
func (f *fleet) run(kind interference.Kind) {
	f.steps++
	f.now = f.now.Add(time.Second)
	step := interference.Step{
		Name: fmt.Sprintf("step-%d", f.steps),
		Kind: kind,
	}
	for i := range 40 {
		run := interference.Run{
			Worker:   fmt.Sprintf("w%02d", i),
			LogTime:  math.Log(f.ownSlowdown(i)) + 0.2*f.random.NormFloat64(),
			Variance: 0.2 * 0.2,
		}
		if f.hasNoisy(i) {
			run.Beside = []interference.Kind{noisy}
			if by, ok := f.slowdown[interference.Pair{
				Slowed: kind,
				By:     noisy,
			}]; ok {
				run.LogTime += math.Log(by)
			}
		}
		step.Runs = append(step.Runs, run)
	}
	f.learn(step)
}

func (f *fleet) learn(steps ...interference.Step) {
	var changes []interference.Change
	f.knowledge, changes = f.knowledge.With(f.now, steps)
	f.changes = append(f.changes, changes...)
}

var _ = Describe("The knowledge of interference", func() {
	It("finds a kind that slows another one down by 1.4, and no other pair", func() {
		for seed := range int64(20) {
			f := newFleet(seed)
			f.slowdown[pair] = 1.4
			for range 6 {
				f.run(victim)
				f.run(other)
			}
			Expect(f.knowledge.Effects()).To(HaveLen(1), "seed %d", seed)
			effect := f.knowledge.Effects()[0]
			Expect(effect.Pair).To(Equal(pair))
			Expect(effect.Slowdown).To(BeNumerically("~", 1.4, 0.15), "seed %d", seed)
			Expect(f.changes).To(HaveLen(1))
			Expect(f.changes[0].IsBegun).To(BeTrue())
		}
	})

	// Otherwise chance would keep kinds apart that do not interfere.
	DescribeTable("finds none", func(slowdown float64) {
		for seed := range int64(20) {
			f := newFleet(seed)
			f.slowdown[pair] = slowdown
			for range 50 {
				f.run(victim)
				f.run(other)
			}
			Expect(f.changes).To(BeEmpty(), "seed %d", seed)
		}
	},
		Entry("where kinds run at their usual pace", 1.0),
		Entry("where they slow each other down by less than a tenth", 1.05),
	)

	// A slow worker slows all kinds down, with or without another one beside them.
	DescribeTable("blames no kind for slow workers", func(isSlow func(worker int) bool) {
		for seed := range int64(20) {
			f := newFleet(seed)
			f.ownSlowdown = func(worker int) float64 {
				if isSlow(worker) {
					return 1.5
				}
				return 1
			}
			// The noisy kind runs only on the slow workers, and not all of the time.
			f.hasNoisy = func(worker int) bool { return isSlow(worker) && f.steps%3 != 0 }
			for range 30 {
				f.run(victim)
				f.run(other)
			}
			Expect(f.changes).To(BeEmpty(), "seed %d", seed)
		}
	},
		Entry("if there is one", func(worker int) bool { return worker == 0 }),
		Entry("if a kind runs only there", func(worker int) bool { return worker%4 == 0 }),
	)

	// Tasks with many times the work of their step are common.
	It("blames no kind for single long tasks", func() {
		f := newFleet(1)
		f.hasNoisy = func(worker int) bool { return worker%2 == 0 }
		for n := range 30 {
			f.ownSlowdown = func(worker int) float64 {
				if worker == 2*n%40 {
					return 7
				}
				return 1
			}
			f.run(victim)
		}
		Expect(f.changes).To(BeEmpty())
	})

	It("ends an effect once the kind no longer slows the other down", func() {
		f := newFleet(1)
		f.slowdown[pair] = 1.4
		for range 6 {
			f.run(victim)
		}
		f.slowdown[pair] = 1
		for range 20 {
			f.run(victim)
		}
		Expect(f.knowledge.Effects()).To(BeEmpty())
		Expect(f.changes).To(HaveLen(2))
		Expect(f.changes[1].IsBegun || f.changes[1].IsUnseen).To(BeFalse())
	})

	It("forgets pairs and workers that are no longer seen", func() {
		f := newFleet(1)
		f.slowdown[pair] = 1.4
		for range 6 {
			f.run(victim)
		}
		f.now = f.now.Add(interference.Retention)
		f.learn()
		pairs, workers := f.knowledge.Counts()
		Expect(pairs + workers + len(f.knowledge.Effects())).To(BeZero())
		Expect(f.changes[1].IsUnseen).To(BeTrue())
	})

	// Callers choose images and may choose a new one for each job.
	It("stays bounded, and keeps what has an effect, however many kinds and workers there are", func() {
		f := newFleet(1)
		f.slowdown[pair] = 1.4
		for range 6 {
			f.run(victim)
		}
		for n := range 500 {
			step := interference.Step{
				Name: fmt.Sprintf("many-%d", n),
				Kind: newKind(fmt.Sprintf("kind-%d", n)),
			}
			for i := range 40 {
				run := interference.Run{
					Worker:   fmt.Sprintf("w%02d", i),
					Variance: 0.04,
				}
				if i >= 10 {
					run.Beside = []interference.Kind{newKind(fmt.Sprintf("by-%d-%d", n, i))}
				} else {
					run.Worker = fmt.Sprintf("w%02d-%d", i, n)
				}
				step.Runs = append(step.Runs, run)
			}
			f.learn(step)
		}
		pairs, workers := f.knowledge.Counts()
		Expect(pairs).To(And(BeNumerically("<=", interference.MaxPairs), BeNumerically(">", interference.MaxPairs/2)))
		Expect(workers).To(Equal(interference.MaxWorkers))
		Expect(f.knowledge.Effects()).To(HaveLen(1))
	})
})

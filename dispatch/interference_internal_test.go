package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/interference"
	"github.com/plantainladder/plantainladder/workflow"
)

// An interferenceLoad is a cluster in which tasks of the queue noisy may slow down those of
// the queue victim, but not those of the queue other.
type interferenceLoad struct {
	*cluster
	submitted int
}

func newInterferenceLoad(workers int, slowdown float64) *interferenceLoad {
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	l := &interferenceLoad{
		cluster: newCluster(newWorkers(ids...)),
	}
	l.pace = func(t workflow.PlacedTask) float64 {
		if t.StepSpec.Image == "victim" && l.hasNoisyBeside(t) {
			return 1 / slowdown
		}
		return 1
	}
	return l
}

// hasNoisyBeside reports whether a noisy task ran beside a run when it started.
func (l *interferenceLoad) hasNoisyBeside(t workflow.PlacedTask) bool {
	return slices.ContainsFunc(l.placedOn(t.Worker), func(other workflow.PlacedTask) bool {
		return other.StepSpec.Image == "noisy" && !l.startedAt[other.RunKey].After(l.startedAt[t.RunKey])
	})
}

// submitKind submits tasks of a kind and returns the workflow.
func (l *interferenceLoad) submitKind(kind string, tasks, cores int, runTime time.Duration) string {
	l.submitted++
	step := newStep(tasks, cores, runTime)
	step.Image, step.MaxPerWorker = kind, 1
	w := newWorkflow(fmt.Sprintf("%s-%d", kind, l.submitted), 1, step)
	w.Spec.Queue = "queue"
	l.submit(w)
	return w.Spec.ID
}

// learn lets the kinds run beside each other on half of the workers, after a time in which
// the workers have the victims alone.
func (l *interferenceLoad) learn() {
	for range 3 {
		for range 2 {
			l.submitKind("victim", len(l.machines), 5, 3*time.Second)
			l.stepUntilDone()
		}
		l.submitKind("noisy", len(l.machines)/2, 3, 9*time.Second)
		l.stepFor(300 * time.Millisecond)
		l.submitKind("victim", len(l.machines), 5, 3*time.Second)
		l.stepUntilDone()
	}
}

func (l *interferenceLoad) stepUntilDone() {
	for range 300 {
		if len(l.state.Workflows) == 0 {
			return
		}
		l.step()
	}
	Fail("work is still in progress")
}

func (l *interferenceLoad) interfering() (pairs []string) {
	for _, e := range l.dispatcher.Interference() {
		pairs = append(pairs, e.Pair.Slowed.Image+" by "+e.Pair.By.Image)
	}
	return pairs
}

func (l *interferenceLoad) texts() (texts []string) {
	for _, r := range l.records {
		texts = append(texts, r.Text)
	}
	return texts
}

const keptApartText = "A kind of task slows another down on the same worker; they are kept apart where there is room."

var _ = Describe("A pool in which kinds of task may slow each other down", func() {
	It("keeps a kind apart from the one that slows it down, in either order", func() {
		l := newInterferenceLoad(24, 1.6)
		l.learn()
		Expect(l.interfering()).To(Equal([]string{"victim by noisy"}))
		Expect(l.texts()).To(ContainElement(keptApartText))
		noisy := l.submitKind("noisy", 12, 3, 20*time.Second)
		l.stepFor(300 * time.Millisecond)
		victim := l.submitKind("victim", 8, 3, 20*time.Second)
		l.stepFor(300 * time.Millisecond)
		more := l.submitKind("noisy", 4, 2, 20*time.Second)
		l.stepFor(300 * time.Millisecond)
		Expect(l.placedAt(victim)).To(HaveLen(8))
		Expect(l.placedAt(more)).To(HaveLen(4))
		for _, worker := range l.placedAt(victim) {
			Expect(slices.Concat(l.placedAt(noisy), l.placedAt(more))).NotTo(ContainElement(worker))
		}
	})

	// Otherwise the worker would be taken for a slow one, and lose work that it could do in time.
	It("does not hold a known slow-down against the worker", func() {
		l := newInterferenceLoad(24, 1.6)
		l.learn()
		noisy := l.submitKind("noisy", 12, 3, time.Minute)
		l.stepFor(300 * time.Millisecond)
		for range 6 {
			l.submitKind("victim", 24, 5, 3*time.Second)
			l.stepFor(6 * time.Second)
		}
		Expect(l.placedAt(noisy)).To(HaveLen(12))
		Expect(l.dispatcher.spreads["pool"].Deviation()).To(BeNumerically("<", 0.1))
	})

	It("makes no work wait for room apart from the other kind", func() {
		l := newInterferenceLoad(24, 1.6)
		l.learn()
		l.submitKind("noisy", 24, 5, 20*time.Second)
		l.stepFor(300 * time.Millisecond)
		victim := l.submitKind("victim", 24, 3, 20*time.Second)
		l.stepFor(300 * time.Millisecond)
		Expect(l.placedAt(victim)).To(HaveLen(24))
	})

	// Otherwise interference would spread work that nothing disturbs, and break up free workers.
	It("fills workers as before with a kind that is not slowed down", func() {
		l := newInterferenceLoad(24, 1.6)
		l.learn()
		noisy := l.submitKind("noisy", 2, 5, 20*time.Second)
		l.stepFor(300 * time.Millisecond)
		other := l.submitKind("other", 1, 3, 20*time.Second)
		l.stepFor(300 * time.Millisecond)
		Expect(l.placedAt(noisy)).To(ContainElement(l.placedAt(other)[0]))
	})

	// Evidence of a slow worker or of a long task must not separate kinds.
	DescribeTable("separates none that only seem to", func(disguise func(l *interferenceLoad)) {
		l := newInterferenceLoad(24, 1)
		disguise(l)
		l.learn()
		l.learn()
		Expect(l.dispatcher.Interference()).To(BeEmpty())
		Expect(l.texts()).NotTo(ContainElement(keptApartText))
	},
		Entry("since none does", func(*interferenceLoad) {}),
		Entry("since a worker is slow", func(l *interferenceLoad) {
			l.speeds = map[string]float64{
				"w00": 0.5,
			}
		}),
		Entry("since a task of each step has many times the work of the others", func(l *interferenceLoad) {
			l.pace = func(t workflow.PlacedTask) float64 {
				if t.StepSpec.Image == "victim" && t.Index == 0 {
					return 0.25
				}
				return 1
			}
		}),
	)

	It("is separated by a new leader only once it has learned again", func() {
		l := newInterferenceLoad(24, 1.6)
		l.learn()
		l.changeLeader()
		l.step()
		Expect(l.dispatcher.Interference()).To(BeEmpty())
		l.learn()
		Expect(l.interfering()).To(Equal([]string{"victim by noisy"}))
	})

	It("keeps no observations of steps that have ended", func() {
		l := newInterferenceLoad(24, 1.6)
		l.learn()
		l.stepFor(sampleRetention + time.Second)
		l.submitKind("other", 1, 1, time.Second)
		l.stepFor(sampleRetention + 2*time.Second)
		Expect(l.dispatcher.interference.steps.Len()).To(BeZero())
	})
})

// newInterference returns the knowledge that a number of images slow the image victim down.
func newInterference(images int) (x kindInterference) {
	x = newKindInterference()
	kind := func(image string) interference.Kind {
		return interference.Kind{
			Queue: "queue",
			Image: image,
		}
	}
	// A step tells about a few kinds only.
	for first := 0; first < images; first += 8 {
		count := min(8, images-first)
		for n := range 10 {
			step := interference.Step{
				Name: fmt.Sprintf("step-%d-%d", first, n),
				Kind: kind("victim"),
			}
			for i := range 10 * count {
				run := interference.Run{
					Worker:   fmt.Sprintf("w%03d", 10*first+i),
					Variance: interference.MinVariance,
				}
				if n >= 2 && i < 4*count {
					run.LogTime = 0.6
					run.Beside = []interference.Kind{kind(fmt.Sprintf("noisy-%d", first+i%count))}
				}
				step.Runs = append(step.Runs, run)
			}
			x.knowledge, _ = x.knowledge.With(epoch, []interference.Step{step})
		}
	}
	Expect(x.knowledge.Effects()).To(HaveLen(images))
	return x.withPlacedKinds()
}

// Kinds beyond the bits of a set are placed as if they interfered with none.
var _ = It("Kinds that are kept apart are limited in number", func() {
	x := newInterference(maxPlacedKinds + 6)
	Expect(x.kinds).To(HaveLen(maxPlacedKinds))
	own, avoided := x.kindAndAvoided(interference.Kind{
		Queue: "queue",
		Image: "victim",
	})
	Expect(own & avoided).To(BeZero())
	Expect(avoided).NotTo(BeZero())
})

// Otherwise an evaluation of many new runs would hold up the control thread, or lose some of them.
var _ = It("Runs beyond the work of one evaluation are learned at the next ones", func() {
	l := newInterferenceLoad(1, 1)
	s := reconciliation{
		now:        epoch,
		dispatcher: l.dispatcher,
	}
	const steps = 20
	unlearned := func() (count int) {
		for itr := s.dispatcher.interference.steps.Iterator(); !itr.Done(); {
			_, step, _ := itr.Next()
			count += len(step.Runs) - step.Learned
		}
		return count
	}
	for n := range steps {
		name := fmt.Sprintf("step-%02d", n)
		s.dispatcher.samples.byStep = s.dispatcher.samples.byStep.Set(name, sampledStep{
			isCompared: true,
		})
		for i := range maxObservedRuns {
			run := interference.Run{
				Worker:   fmt.Sprintf("w%03d", i),
				Variance: interference.MinVariance,
			}
			for b := range maxNeighbours {
				run.Beside = append(run.Beside, interference.Kind{
					Image: fmt.Sprint(n, i, b),
				})
			}
			s.dispatcher.interference = s.dispatcher.interference.withRun(name, interference.Kind{}, run)
		}
	}
	left := unlearned()
	Expect(left).To(Equal(steps * maxObservedRuns))
	for left > 0 {
		s.now = s.now.Add(interferenceInterval)
		s.learnInterference()
		now := unlearned()
		Expect(now).To(BeNumerically("<", left))
		Expect(left - now).To(BeNumerically("<=", 64))
		left = now
	}
})

// A pass over 540 workers has to end within 5 ms, also while kinds are kept apart.
func BenchmarkPlaceInterfering(b *testing.B) {
	RegisterTestingT(b)
	l := newInterferenceLoad(540, 1)
	l.pace = nil
	l.dispatcher.interference = newInterference(maxPlacedKinds - 1)
	l.submitKind("noisy-0", 270, 3, time.Minute)
	l.submitKind("other", 540, 2, time.Minute)
	l.stepFor(time.Second)
	for n := range 20 {
		gang := newGang(13, 4)
		gang.Image = "victim"
		w := newWorkflow(fmt.Sprintf("gang-%d", n), 1, gang)
		w.Spec.Queue = "queue"
		l.submit(w)
	}
	Expect(l.dispatcher.interference.kinds).NotTo(BeEmpty())
	b.ResetTimer()
	for range b.N {
		d := l.dispatcher
		d.placedVersion = 0
		d.Reconcile(l.now, l.state, l.after)
	}
}

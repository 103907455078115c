package interference_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/interference"
)

// A load is steps on a number of workers, with a number of kinds beside each run.
type load struct {
	workers, stepRuns, beside int
	// image returns the image of a neighbour of a run.
	image    func(run, neighbour int) string
	observed int
}

// newImages gives each neighbour its own image, as a caller may for each job.
func newImages(run, neighbour int) string {
	return fmt.Sprintf("%0200d", 8*run+neighbour)
}

// threeQueues gives the neighbours of the runs no image; their queue differs.
func threeQueues(int, int) string { return "" }

func (l *load) step(name string, learned int) interference.Step {
	step := interference.Step{
		Name:    name,
		Kind:    victim,
		Learned: learned,
	}
	for range l.stepRuns {
		l.observed++
		run := interference.Run{
			Worker:   fmt.Sprintf("w%04d", l.observed%l.workers),
			LogTime:  float64(l.observed%7) / 10,
			Variance: 0.04,
		}
		for n := range l.beside {
			kind := interference.Kind{
				Image: l.image(l.observed, n),
			}
			if kind.Image == "" {
				kind.Queue = fmt.Sprintf("queue-%d", (l.observed+n)%3)
			}
			run.Beside = append(run.Beside, kind)
		}
		step.Runs = append(step.Runs, run)
	}
	return step
}

func (l *load) steps(count, learned int) (steps []interference.Step) {
	for range count {
		steps = append(steps, l.step(fmt.Sprintf("step-%06d", l.observed), learned))
	}
	return steps
}

func work(steps []interference.Step) (sum int) {
	for _, step := range steps {
		sum += step.Work()
	}
	return sum
}

var _ = Describe("An evaluation", func() {
	// Otherwise steps beside many images would hold up the thread that places tasks.
	It("does a bounded amount of work and takes the rest at the next ones", func() {
		l := load{
			workers:  2_100,
			stepRuns: 128,
			beside:   8,
			image:    newImages,
		}
		left := map[string]interference.Step{}
		for _, step := range l.steps(20, 100) {
			left[step.Name] = step
		}
		last, evaluations := "", 0
		for ; len(left) > 0; evaluations++ {
			var steps, batch []interference.Step
			for _, step := range left {
				steps = append(steps, step)
			}
			batch, last = interference.Batch(steps, last)
			Expect(batch).NotTo(BeEmpty())
			Expect(work(batch)).To(BeNumerically("<=", interference.MaxWork))
			for _, step := range batch {
				known := left[step.Name]
				Expect(len(step.Runs)).To(BeNumerically(">", known.Learned))
				known.Learned = len(step.Runs)
				left[step.Name] = known
				if known.Learned == len(known.Runs) {
					delete(left, step.Name)
				}
			}
		}
		Expect(evaluations).To(BeNumerically("<", 100))
	})

	// Otherwise a step with many new runs would keep later ones from being evaluated.
	It("begins with the step after the last one of the evaluation before", func() {
		l := load{
			workers:  350,
			stepRuns: 128,
			beside:   8,
			image:    newImages,
		}
		steps := l.steps(3, 0)
		var last string
		for _, want := range steps {
			var batch []interference.Step
			batch, last = interference.Batch(steps, last)
			Expect(batch).To(HaveLen(1))
			Expect(batch[0].Name).To(Equal(want.Name))
		}
		_, last = interference.Batch(steps, last)
		Expect(last).To(Equal(steps[0].Name))
	})

	// Half a second of 120 starts a second is learned from at once, as without a bound.
	It("takes all steps of a few queues", func() {
		l := load{
			workers:  350,
			stepRuns: 12,
			beside:   3,
			image:    threeQueues,
		}
		steps := l.steps(5, 0)
		batch, _ := interference.Batch(steps, "step-000013")
		Expect(batch).To(Equal(steps))
	})

	// Otherwise the work of a step and the memory of a worker's past would grow with the images.
	It("judges a bounded number of kinds of a step, those that most runs were beside", func() {
		l := load{
			workers:  100,
			stepRuns: 100,
			image:    newImages,
		}
		var k interference.Knowledge
		for range 3 {
			step := l.step(fmt.Sprintf("step-%d", l.observed), 0)
			for i := range step.Runs {
				if i < 40 && l.observed > 250 {
					step.Runs[i].Beside = []interference.Kind{noisy, newKind(fmt.Sprintf("rare-%d", i))}
				}
			}
			k, _ = k.With(epoch, []interference.Step{step})
		}
		pairs, _ := k.Counts()
		Expect(pairs).To(Equal(8))
	})
})

// heap returns the bytes of the heap in use.
func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// One evaluation has to end within a millisecond, also beside many images.
func BenchmarkEvaluation(b *testing.B) {
	for _, bm := range []struct {
		name string
		load load
		// learned is how many runs of each of 60 steps are known.
		learned int
	}{
		{
			name: "new images",
			load: load{
				workers:  2_100,
				stepRuns: 128,
				beside:   8,
				image:    newImages,
			},
			learned: 112,
		},
		{
			name: "97 images",
			load: load{
				workers:  2_100,
				stepRuns: 128,
				beside:   8,
				image:    func(run, neighbour int) string { return fmt.Sprintf("%0200d", (run+neighbour)%97) },
			},
			learned: 112,
		},
		{
			name: "11 images",
			load: load{
				workers:  2_100,
				stepRuns: 128,
				beside:   8,
				image:    func(run, neighbour int) string { return fmt.Sprint((run + neighbour) % 11) },
			},
			learned: 112,
		},
		{
			name: "three queues",
			load: load{
				workers:  350,
				stepRuns: 12,
				beside:   2,
				image:    threeQueues,
			},
		},
	} {
		b.Run(bm.name, func(b *testing.B) {
			l, now := bm.load, epoch
			var k interference.Knowledge
			before := heap()
			next := func(count int) (batch []interference.Step) {
				batch, _ = interference.Batch(l.steps(count, bm.learned), "")
				return batch
			}
			for range 800 {
				now = now.Add(100 * time.Millisecond)
				k, _ = k.With(now, next(5))
			}
			held := heap() - before
			batches := make([][]interference.Step, 200)
			for i := range batches {
				batches[i] = next(5)
			}
			runs := 0
			b.ResetTimer()
			for n := range b.N {
				batch := batches[n%len(batches)]
				now = now.Add(500 * time.Millisecond)
				k, _ = k.With(now, batch)
				for _, step := range batch {
					runs += len(step.Runs) - step.Learned
				}
			}
			b.ReportMetric(float64(runs)/float64(b.N), "runs/op")
			b.ReportMetric(float64(held)/1e6, "MB")
			pairs, workers := k.Counts()
			b.ReportMetric(float64(pairs), "pairs")
			b.ReportMetric(float64(workers), "workers")
		})
	}
}

package interference

import (
	"slices"
	"strings"
)

// MaxWork bounds the work of one evaluation, as Step.Work counts it. It runs in the thread that
// places tasks.
const MaxWork = 8_192

const (
	// newRunWork and observationWork are the work that a new run takes, and each kind beside it, as
	// multiples of that of reading a run again.
	newRunWork      = 4
	observationWork = 16
)

// Work returns about how much work it is to learn from the new runs of a step. It is bounded by
// the number of runs and of kinds beside each.
func (s Step) Work() (work int) {
	for i, run := range s.Runs {
		work += 1 + len(run.Beside)
		if i >= s.Learned {
			work += run.newWork()
		}
	}
	return work
}

// newWork returns the work that a run takes when it is new.
func (r Run) newWork() int {
	return newRunWork + observationWork*min(len(r.Beside), maxStepKinds)
}

// Batch returns those of the steps that one evaluation learns from, sorted by name. It begins
// with the first name after that of the last step of the evaluation before, so that each step
// has its turn. The last step may have some of its new runs removed; they have to be given again.
func Batch(steps []Step, after string) (batch []Step, last string) {
	steps = slices.SortedFunc(slices.Values(steps), func(a, b Step) int { return strings.Compare(a.Name, b.Name) })
	first, _ := slices.BinarySearchFunc(steps, after, func(s Step, name string) int {
		if s.Name > name {
			return 1
		}
		return -1
	})
	work := 0
	for _, step := range slices.Concat(steps[first:], steps[:first]) {
		rest := MaxWork - work
		if len(batch) > 0 && step.Work() > rest {
			break
		}
		step = step.within(rest)
		work += step.Work()
		batch, last = append(batch, step), step.Name
	}
	slices.SortFunc(batch, func(a, b Step) int { return strings.Compare(a.Name, b.Name) })
	return batch, last
}

// within returns the step with as many of its new runs as take no more than a bound of work, but
// at least one.
func (s Step) within(bound int) Step {
	work := s.Work()
	for len(s.Runs) > s.Learned+1 && work > bound {
		removed := s.Runs[len(s.Runs)-1]
		work -= 1 + len(removed.Beside) + removed.newWork()
		s.Runs = s.Runs[:len(s.Runs)-1]
	}
	return s
}

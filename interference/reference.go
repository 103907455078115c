package interference

import (
	"time"

	"github.com/plantainladder/plantainladder/speed"
)

// A pastRun is what a run tells about its worker.
type pastRun struct {
	run Run
	// logTime is the logarithm of its run time without known slow-downs, and references that
	// of its step's tasks.
	logTime    float64
	references references
}

// A workerHistory is the last runs of a worker.
type workerHistory struct {
	runs []pastRun
	seen time.Time
}

// ownSlowness returns how slow a worker is for another reason than a kind, and the variance of
// that, from its runs that were not beside the kind. It reports false if there are too few.
func (h workerHistory) ownSlowness(without Kind) (slowness, variance float64, ok bool) {
	precision, runs := 0.0, 0
	for _, r := range h.runs {
		usual := r.references.without(without)
		if r.run.isBeside(without) || usual.runs < minReference {
			continue
		}
		excess := r.logTime - usual.logTime
		precision += 1 / r.run.Variance
		slowness += bounded(excess) / r.run.Variance
		runs++
	}
	if runs < minControls {
		return 0, 0, false
	}
	return slowness / precision, 1 / precision, true
}

// bounded returns what one run may say at most.
func bounded(excess float64) float64 {
	return min(max(excess, -speed.MaxDeviation), speed.MaxDeviation)
}

// A reference is the run time of a step's tasks that were not beside a kind.
type reference struct {
	// logTime is its logarithm, and variance the variance of that.
	logTime, variance float64
	runs              int
}

// references are the run times of a step's tasks. They are never written once they are built.
type references struct {
	all    reference
	byKind map[Kind]reference
}

// without returns the run time of the tasks that were not beside a kind.
func (r references) without(k Kind) reference {
	if found, ok := r.byKind[k]; ok {
		return found
	}
	return r.all
}

func (b *builder) references(step Step) references {
	refs := references{
		all:    b.reference(step, nil),
		byKind: map[Kind]reference{},
	}
	for _, run := range step.Runs {
		for _, by := range run.Beside {
			if _, isKnown := refs.byKind[by]; !isKnown {
				refs.byKind[by] = b.reference(step, &by)
			}
		}
	}
	return refs
}

// reference returns the median of the cleared run times of a step's tasks that were not beside
// a kind. If without is nil, all tasks count.
func (b *builder) reference(step Step, without *Kind) reference {
	var list []speed.Weighted
	precision := 0.0
	for _, run := range step.Runs {
		if without != nil && run.isBeside(*without) {
			continue
		}
		precision += 1 / run.Variance
		list = append(list, speed.Weighted{
			Value:  b.known.clearedExcept(step.Kind, run, without),
			Weight: 1 / run.Variance,
		})
	}
	if len(list) == 0 {
		return reference{}
	}
	return reference{
		logTime:  speed.Median(list),
		variance: medianInefficiency / precision,
		runs:     len(list),
	}
}

// Package interference learns which kinds of task slow each other down on one worker. It
// compares the run times of one step's tasks beside another kind with those of the same
// step without it. All times and slow-downs are natural logarithms of ratios.
package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// A Kind is tasks that behave alike: those of a queue, and of an image if their step names one.
type Kind struct {
	Queue string
	Image string
}

// String returns the queue, followed by the image if there is one.
func (k Kind) String() string {
	if k.Image == "" {
		return k.Queue
	}
	return k.Queue + "/" + k.Image
}

func (k Kind) compare(other Kind) int {
	return cmp.Or(strings.Compare(k.Queue, other.Queue), strings.Compare(k.Image, other.Image))
}

// A Pair is a kind of task and one that may slow it down.
type Pair struct {
	Slowed, By Kind
}

func (p Pair) compare(other Pair) int {
	return cmp.Or(p.Slowed.compare(other.Slowed), p.By.compare(other.By))
}

// MinVariance is the least variance of a run. It covers differences that have other causes than
// the work and the worker, such as the time that a start takes.
const MinVariance = 0.1 * 0.1

// A Run is the run time of a task.
type Run struct {
	// Worker identifies the worker's incarnation.
	Worker string
	// Beside holds the kinds of the other tasks that ran there, each once.
	Beside []Kind
	// LogTime is the logarithm of the run time, corrected for what is believed about the
	// speed of the worker.
	LogTime float64
	// Variance is that of the logarithms of the run times of the step's tasks on equal workers.
	// It is at least MinVariance.
	Variance float64
}

func (r Run) isBeside(k Kind) bool {
	return slices.Contains(r.Beside, k)
}

// A Step is the runs of a step, of which the first Learned are known already.
type Step struct {
	Name    string
	Kind    Kind
	Runs    []Run
	Learned int
}

// An Effect is a slow-down beyond doubt.
type Effect struct {
	Pair Pair
	// Slowdown is the factor by which run times grow, from Runs runs on Workers workers.
	// Old runs have lost some of their weight.
	Slowdown float64
	Runs     int
	Workers  int
}

// A Change is an Effect that begins or ends to count.
type Change struct {
	Effect   Effect
	IsBegun  bool
	IsUnseen bool
}

const (
	// MaxPairs bounds the pairs that are kept: all of 32 kinds.
	MaxPairs = 1_024
	// MaxWorkers bounds the workers that are kept: twice the target of 2,100.
	MaxWorkers = 4_200
	// Retention is how long a pair or a worker is kept without a new run. A pair that is
	// kept apart shows no new runs, so this is also the time until it is tried again.
	Retention = 30 * time.Minute
	// maxHistory bounds the runs that are kept of a worker.
	maxHistory = 8
	// maxStepKinds bounds the kinds that are judged from one step: those that most runs were
	// beside. Callers choose images and may choose a new one for each job.
	maxStepKinds = 8
	// minLeftOutRatio is the least ratio of a step's runs to those beside a kind that is not judged
	// at which the median of all counts as that without the kind: a few runs hardly move it.
	minLeftOutRatio = 8
	// minReference is the number of runs without a kind that are needed for a comparison.
	minReference = 3
	// minControls is the number of runs of a worker without a kind that are needed to tell the
	// kind from a slow worker. Kinds may run only on workers of one sort.
	minControls = 2
)

// Knowledge is what is known about kinds that slow each other down. It is immutable; its zero
// value knows nothing.
type Knowledge struct {
	pairs   map[Pair]evidence
	workers map[string]workerHistory
	effects []Effect
	// droppedAt is when what is no longer seen was last dropped.
	droppedAt time.Time
}

// Effects returns the slow-downs beyond doubt, sorted by pair. The caller does not modify them.
func (k Knowledge) Effects() []Effect {
	return k.effects
}

// Counts returns how many pairs and workers are kept.
func (k Knowledge) Counts() (pairs, workers int) {
	return len(k.pairs), len(k.workers)
}

// Cleared returns the logarithm of the run time of a task of a kind without the slow-downs
// beyond doubt.
func (k Knowledge) Cleared(slowed Kind, run Run) float64 {
	return k.clearedExcept(slowed, run, nil)
}

// clearedExcept is Cleared, with the slow-down by one kind left in unless that is nil.
func (k Knowledge) clearedExcept(slowed Kind, run Run, except *Kind) float64 {
	t := run.LogTime
	for _, by := range run.Beside {
		if except != nil && by == *except {
			continue
		}
		i, isEffect := slices.BinarySearchFunc(k.effects, Pair{
			Slowed: slowed,
			By:     by,
		}, func(e Effect, pair Pair) int { return e.Pair.compare(pair) })
		if isEffect {
			t -= math.Log(k.effects[i].Slowdown)
		}
	}
	return t
}

// With returns k after further runs of steps, and which effects begin or end.
func (k Knowledge) With(now time.Time, steps []Step) (next Knowledge, changes []Change) {
	if len(steps) == 0 && now.Sub(k.droppedAt) < Retention/10 {
		return k, nil
	}
	b := builder{
		now:     now,
		pairs:   maps.Clone(k.pairs),
		cloned:  map[Pair]bool{},
		workers: maps.Clone(k.workers),
		known:   k,
	}
	if b.pairs == nil {
		b.pairs, b.workers = map[Pair]evidence{}, map[string]workerHistory{}
	}
	for _, step := range steps {
		b.learn(step)
	}
	if now.Sub(k.droppedAt) >= Retention/10 {
		k.droppedAt = now
		b.dropUnseen()
	}
	k.pairs, k.workers = b.pairs, b.workers
	if len(b.changes) > 0 || b.hasNewEffect {
		k.effects = b.effects()
	}
	return k, b.changes
}

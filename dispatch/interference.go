package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/plantainladder/plantainladder/interference"
	"github.com/plantainladder/plantainladder/workflow"
)

const (
	// interferenceInterval is the time between two evaluations of the observed steps.
	interferenceInterval = 500 * time.Millisecond
	// maxObservedSteps, maxObservedRuns and maxNeighbours bound what is kept of running steps.
	// Of a wider step every nth task is observed, since the first to show progress are those
	// that nothing slows down.
	maxObservedSteps = 512
	maxObservedRuns  = 128
	maxNeighbours    = 8
	// maxImageBytes bounds the part of an image's name that tells kinds apart. Callers
	// choose it.
	maxImageBytes = 200
	// maxPlacedKinds is the number of kinds that placement keeps apart: the bits of a kindSet.
	maxPlacedKinds = 64
)

// A kindSet is a set of the kinds that interfere with any other, one a bit.
type kindSet uint64

// kindInterference is the leader's knowledge of kinds of task that slow each other down. It is
// immutable, bounded and not replicated.
type kindInterference struct {
	// steps holds the observed steps by stepName.
	steps     *immutable.Map[string, interference.Step]
	learnedAt time.Time
	// learnedLast is the name of the last step that was evaluated. The next evaluation begins
	// after it.
	learnedLast string
	knowledge   interference.Knowledge
	kinds       map[interference.Kind]kindSet
	avoided     map[interference.Kind]kindSet
}

func newKindInterference() kindInterference {
	return kindInterference{
		steps: immutable.NewMap[string, interference.Step](nil),
	}
}

// Interference returns the slow-downs between kinds of task that are beyond doubt, sorted by
// pair. The caller does not modify them.
func (d Dispatcher) Interference() []interference.Effect {
	return d.interference.knowledge.Effects()
}

func kindOf(w workflow.Workflow, step workflow.Step) interference.Kind {
	image := step.Image
	if len(image) > maxImageBytes {
		image = strings.Clone(image[:maxImageBytes])
	}
	return interference.Kind{
		Queue: w.Spec.Queue,
		Image: image,
	}
}

// observeNeighbours keeps a sample together with the kinds of the tasks that ran beside it. It
// returns the logarithm of its run time without the slow-downs that are known, which tell nothing
// about the worker.
func (s *reconciliation) observeNeighbours(v workerView, k workflow.TaskKey, logTime, variance float64) (cleared float64) {
	tasks := s.index.placedByWorker[v.worker.ID]
	i := slices.IndexFunc(tasks, func(t workflow.PlacedTask) bool { return t.TaskKey == k })
	if i < 0 {
		return logTime
	}
	t := tasks[i]
	at, _, isBegun := s.beginningOf(t, v.runs[t.RunKey])
	if !isBegun {
		return logTime
	}
	x := s.dispatcher.interference
	kind, worker := kindOf(s.index.workflows[k.Workflow], t.StepSpec), incarnationOf(t)
	run := interference.Run{
		Worker:   worker.id + "/" + strconv.FormatInt(worker.incarnation, 10),
		Beside:   s.neighbours(v, t, at.Add(v.listingReceivedAt.Sub(at)/2)),
		LogTime:  logTime,
		Variance: max(variance, interference.MinVariance),
	}
	cleared = x.knowledge.Cleared(kind, run)
	run.LogTime += s.dispatcher.belief(worker).Mean
	if k.Index%(1+(t.StepSpec.Tasks-1)/maxObservedRuns) == 0 {
		s.dispatcher.interference = x.withRun(stepName(k), kind, run)
	}
	return cleared
}

// withRun returns x with a run of a step, unless it has enough of them.
func (x kindInterference) withRun(name string, kind interference.Kind, run interference.Run) kindInterference {
	step, isKnown := x.steps.Get(name)
	if len(step.Runs) >= maxObservedRuns || !isKnown && x.steps.Len() >= maxObservedSteps {
		return x
	}
	step.Name, step.Kind = name, kind
	step.Runs = append(slices.Clone(step.Runs), run)
	x.steps = x.steps.Set(name, step)
	return x
}

// neighbours returns the kinds of the other tasks on the worker of a run that had started by a
// time.
func (s *reconciliation) neighbours(v workerView, t workflow.PlacedTask, by time.Time) (kinds []interference.Kind) {
	for _, other := range s.index.placedByWorker[v.worker.ID] {
		startedAt := v.runs[other.RunKey].startedAt
		if other.TaskKey == t.TaskKey || startedAt.IsZero() || startedAt.After(by) {
			continue
		}
		kind := kindOf(s.index.workflows[other.Workflow], other.StepSpec)
		if len(kinds) < maxNeighbours && !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// learnInterference evaluates the samples of steps that have been compared, and drops those of
// steps without samples.
func (s *reconciliation) learnInterference() {
	x := s.dispatcher.interference
	if s.now.Sub(x.learnedAt) < interferenceInterval {
		return
	}
	x.learnedAt = s.now
	var steps []interference.Step
	for itr := x.steps.Iterator(); !itr.Done(); {
		name, step, _ := itr.Next()
		compared, isSampled := s.dispatcher.samples.byStep.Get(name)
		switch {
		case !isSampled:
			x.steps = x.steps.Delete(name)
		case compared.isCompared && step.Learned < len(step.Runs):
			steps = append(steps, step)
		}
	}
	steps, x.learnedLast = interference.Batch(steps, x.learnedLast)
	for _, evaluated := range steps {
		step, _ := x.steps.Get(evaluated.Name)
		step.Learned = len(evaluated.Runs)
		x.steps = x.steps.Set(step.Name, step)
	}
	var changes []interference.Change
	x.knowledge, changes = x.knowledge.With(s.now, steps)
	if len(changes) > 0 {
		x = x.withPlacedKinds()
	}
	s.dispatcher.interference = x
	for _, change := range changes {
		s.recordInterference(change)
	}
}

func (s *reconciliation) recordInterference(change interference.Change) {
	text := "A kind of task slows another down on the same worker; they are kept apart where there is room."
	switch {
	case change.IsUnseen:
		text = "Two kinds of task were not seen on the same worker any more; they are no longer kept apart."
	case !change.IsBegun:
		text = "A kind of task does not slow another down any more; they are no longer kept apart."
	}
	e := change.Effect
	s.record(DecisionRecord{
		Text:   text,
		Reason: fmt.Sprintf("%s beside %s, slow-down %.2f, %d runs on %d workers", e.Pair.Slowed, e.Pair.By, e.Slowdown, e.Runs, e.Workers),
		Queue:  e.Pair.Slowed.Queue,
	})
}

// withPlacedKinds returns x with the kinds that placement keeps apart.
func (x kindInterference) withPlacedKinds() kindInterference {
	x.kinds, x.avoided = map[interference.Kind]kindSet{}, map[interference.Kind]kindSet{}
	for _, e := range x.knowledge.Effects() {
		for _, kind := range []interference.Kind{e.Pair.Slowed, e.Pair.By} {
			if _, isKnown := x.kinds[kind]; !isKnown && len(x.kinds) < maxPlacedKinds {
				x.kinds[kind] = 1 << len(x.kinds)
			}
		}
		x.avoided[e.Pair.Slowed] |= x.kinds[e.Pair.By]
		x.avoided[e.Pair.By] |= x.kinds[e.Pair.Slowed]
	}
	return x
}

// kindAndAvoided returns a kind and those that it is kept apart from, both empty for a kind
// that interferes with none.
func (x kindInterference) kindAndAvoided(kind interference.Kind) (own, avoided kindSet) {
	return x.kinds[kind], x.avoided[kind]
}

// kindsOf returns the kinds of the runs on a node that are not being stopped.
func (x kindInterference) kindsOf(index *stateIndex, list []allocation) (kinds kindSet) {
	if len(x.kinds) == 0 {
		return 0
	}
	for _, alloc := range list {
		if !alloc.isStopping {
			kinds |= x.kinds[kindOf(index.workflows[alloc.task.Workflow], alloc.task.StepSpec)]
		}
	}
	return kinds
}

// interferesOn reports whether a node has a kind of task that the task group slows down or that
// slows it down. A suspect is placed where a crash does the least damage.
func (g taskGroup) interferesOn(n *node) bool {
	return n.kinds&g.avoided != 0 && !g.isSuspect
}

// interferingNodes returns the number of assigned nodes with such a kind.
func (g taskGroup) interferingNodes(list []assignment) (count int) {
	for _, a := range list {
		if g.interferesOn(a.node) {
			count++
		}
	}
	return count
}

// interferenceReason returns, for the log, on how many of the assigned nodes kinds interfere;
// empty if the task group's kind interferes with none.
func (g taskGroup) interferenceReason(list []assignment) string {
	if g.avoided == 0 {
		return ""
	}
	return fmt.Sprintf(", %d of %d workers with an interfering kind", g.interferingNodes(list), len(list))
}

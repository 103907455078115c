package dispatch

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/plantainladder/plantainladder/speed"
	"github.com/plantainladder/plantainladder/workflow"
)

// The speeds of workers are learned by comparing the runs of one step with each other. Its
// tasks have nearly equal work, while that of different workflows and their declared run
// times differ widely.
const (
	// minStepSamples is the number of workers with runs of a step from which on these are
	// compared.
	minStepSamples = 3
	// maxStepWait is how long the comparison waits for the rest of a step's tasks, since the
	// first to show progress are on the faster workers. Workers list their runs at least
	// every MaxRenewWait.
	maxStepWait = MaxRenewWait + time.Second
)

// learnSpeeds updates the estimates of the workers that the new samples tell about.
func (s *reconciliation) learnSpeeds() {
	// works holds the work of steps that were compared before, which is determined once a
	// pass: the late tasks of a wide step may all be listed in one.
	works := map[string]stepWork{}
	for _, n := range s.newSamples {
		known, _ := s.dispatcher.samples.byStep.Get(n.step)
		if known.firstAt.IsZero() {
			known.key, known.firstAt, known.variance = n.key, s.now, n.variance
		}
		step, position := known.withTask(n.worker, n.logTime)
		s.dispatcher.samples.byStep = s.dispatcher.samples.byStep.Set(n.step, step)
		switch {
		case step.isCompared:
			work, ok := works[n.step]
			if !ok {
				work = s.stepWork(step.samples)
				works[n.step] = work
			}
			s.learnSpeed(n.worker, work.sample(n.logTime, n.variance), step.samples[position].tasks == 1)
		case step.tasks >= n.stepTasks:
			s.compareAll(n.step, step)
		}
	}
	s.newSamples = nil
	if s.now.Sub(s.dispatcher.mediansUpdatedAt) >= medianInterval {
		s.compareOldSteps()
		s.updateMedianSpeeds()
	}
	s.learnInterference()
	s.dropOldSamples()
}

// compareOldSteps compares the samples of the steps for whose rest it has waited long enough.
func (s *reconciliation) compareOldSteps() {
	for itr := s.dispatcher.samples.byStep.Iterator(); !itr.Done(); {
		name, step, _ := itr.Next()
		if !step.isCompared && s.now.Sub(step.firstAt) >= maxStepWait {
			s.compareAll(name, step)
		}
	}
}

// compareAll compares all samples of a step with each other, if there are enough of them.
func (s *reconciliation) compareAll(name string, step sampledStep) {
	if len(step.samples) < minStepSamples {
		return
	}
	work := s.stepWork(step.samples)
	for _, sample := range step.samples {
		s.learnSpeed(sample.worker, work.sample(sample.logTime, step.variance/float64(sample.tasks)), true)
	}
	step.isCompared = true
	s.dispatcher.samples.byStep = s.dispatcher.samples.byStep.Set(name, step)
}

// medianInterval is the time between two comparisons of old steps and updates of the median
// speeds.
const medianInterval = 500 * time.Millisecond

// updateMedianSpeeds determines the median speed of the workers of each pool.
func (s *reconciliation) updateMedianSpeeds() {
	estimates := map[string][]speed.Estimate{}
	for itr := s.dispatcher.views.Iterator(); !itr.Done(); {
		if _, v, _ := itr.Next(); v.speed.HasSamples() {
			estimates[v.worker.Pool] = append(estimates[v.worker.Pool], v.speed)
		}
	}
	spreads := maps.Clone(s.dispatcher.spreads)
	for name, list := range estimates {
		spreads[name] = spreads[name].WithMedianOf(list)
	}
	s.dispatcher.mediansUpdatedAt, s.dispatcher.spreads = s.now, spreads
}

// sampleRetention is the time between two removals of the samples of steps that have ended,
// and the time for which samples are kept in any case, so that they are compared.
const sampleRetention = 5 * time.Second

func (s *reconciliation) dropOldSamples() {
	if s.now.Sub(s.dispatcher.samplesDroppedAt) < sampleRetention {
		return
	}
	s.dispatcher.samplesDroppedAt = s.now
	for itr := s.dispatcher.samples.byStep.Iterator(); !itr.Done(); {
		name, step, _ := itr.Next()
		if s.now.Sub(step.firstAt) >= sampleRetention && s.hasEnded(step.key) {
			s.dispatcher.samples.byStep = s.dispatcher.samples.byStep.Delete(name)
		}
	}
}

// hasEnded reports whether the step of a task needs no further runs.
func (s *reconciliation) hasEnded(k workflow.TaskKey) bool {
	w, isActive := s.index.workflows[k.Workflow]
	return !isActive || !w.IsOpen() || w.Occurrence(k.Occurrence).Steps[k.Step].HasSucceeded(w.Spec.Steps[k.Step])
}

// minMemberVariance keeps the sample of one well-known worker from deciding alone what the
// work of a step is.
const minMemberVariance = 0.1 * 0.1

// A stepWork is the logarithm of the run time of a step's tasks on the median worker, with its
// variance.
type stepWork struct {
	logTime, variance float64
}

// sample returns the speed that runs suggest, of which the mean of the logarithms of the run
// times has a variance.
func (w stepWork) sample(logTime, variance float64) speed.Sample {
	return speed.Sample{
		Speed:    w.logTime - logTime,
		Variance: variance + w.variance,
	}
}

// stepWork returns the median of the samples, corrected for the speeds of their workers.
func (s *reconciliation) stepWork(list []stepSample) stepWork {
	works := make([]speed.Weighted, len(list))
	total := 0.0
	for i, sample := range list {
		b := s.dispatcher.belief(sample.worker)
		weight := 1 / (minMemberVariance + b.Deviation*b.Deviation)
		total += weight
		works[i] = speed.Weighted{
			Value:  sample.logTime + b.Mean,
			Weight: weight,
		}
	}
	return stepWork{
		logTime:  speed.Median(works),
		variance: speed.MedianVariance(total),
	}
}

// learnSpeed updates the estimate of a worker after runs of a step, if its incarnation is
// still the current one. Only its first sample of a step tells how alike successive samples
// are.
func (s *reconciliation) learnSpeed(worker workerIncarnation, sample speed.Sample, isFirst bool) {
	v, ok := s.dispatcher.workerView(worker.id)
	if !ok || v.worker.Incarnation != worker.incarnation {
		return
	}
	sample.Speed = speed.Bounded(sample.Speed)
	before := s.dispatcher.spreads[v.worker.Pool]
	after := before
	if isFirst {
		after = before.WithPair(v.speed, sample)
		s.dispatcher.spreads = maps.Clone(s.dispatcher.spreads)
		s.dispatcher.spreads[v.worker.Pool] = after
	}
	v.speed = v.speed.WithSample(sample)
	s.dispatcher = s.dispatcher.withView(v)
	if before.IsUneven() == after.IsUneven() {
		return
	}
	text := "Workers of a pool run tasks at different speeds."
	if before.IsUneven() {
		text = "Workers of a pool run tasks at equal speeds again."
	}
	s.record(DecisionRecord{
		Text:   text,
		Reason: fmt.Sprintf("pool %s, spread %.2f", v.worker.Pool, after.Deviation()),
	})
}

// belief returns what is believed about the speed of an incarnation of a worker; the zero
// value if it is not the current one.
func (d Dispatcher) belief(worker workerIncarnation) speed.Belief {
	v, ok := d.views.Get(worker.id)
	if !ok || v.worker.Incarnation != worker.incarnation {
		return speed.Belief{}
	}
	return d.spreads[v.worker.Pool].Belief(v.speed)
}

// logSpeedOf returns the logarithm of the speed of the worker of a run, or for a gang that
// of the slowest member's worker.
func (s *reconciliation) logSpeedOf(t workflow.PlacedTask) float64 {
	w := s.index.workers[t.Worker]
	if !s.dispatcher.spreads[w.Pool].IsUneven() {
		return 0
	}
	logSpeed := s.dispatcher.belief(incarnationOf(t)).Mean
	if t.StepSpec.IsGang {
		logSpeed = min(logSpeed, s.slowestMember(gangRunOf(t)))
	}
	return logSpeed
}

// slowestMember returns the least logarithm of the speeds of the workers of a gang's committed
// members.
func (s *reconciliation) slowestMember(k gangRun) float64 {
	if slowest, isKnown := s.slowestMembers[k]; isKnown {
		return slowest
	}
	slowest := math.Inf(1)
	for _, member := range s.index.gangMembers[k] {
		slowest = min(slowest, s.dispatcher.belief(incarnationOf(member)).Mean)
	}
	if s.slowestMembers != nil {
		s.slowestMembers[k] = slowest
	}
	return slowest
}

func incarnationOf(t workflow.PlacedTask) workerIncarnation {
	return workerIncarnation{
		id:          t.Worker,
		incarnation: t.Incarnation,
	}
}

// UnevenPools returns the number of pools whose workers differ in speed beyond doubt, and how
// many workers of these have a known speed.
func (d Dispatcher) UnevenPools() (pools, workers int) {
	for _, spread := range d.spreads {
		if spread.IsUneven() {
			pools++
		}
	}
	if pools == 0 {
		return 0, 0
	}
	for itr := d.views.Iterator(); !itr.Done(); {
		if _, v, _ := itr.Next(); v.speed.HasSamples() && d.spreads[v.worker.Pool].IsUneven() {
			workers++
		}
	}
	return pools, workers
}

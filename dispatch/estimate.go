package dispatch

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/plantainladder/plantainladder/workflow"
)

// runTimes holds what was learned of run times, by queue. The load that it
// answers: declared run times that are far off, by a different part in each
// queue.
type runTimes struct {
	byQueue *immutable.Map[string, runTimeModel]
}

func newRunTimes() runTimes {
	return runTimes{
		byQueue: immutable.NewMap[string, runTimeModel](nil),
	}
}

// An runTimeModel describes the run times of a queue. All of its moments are of
// logarithms of seconds, since run times and their errors are skewed.
type runTimeModel struct {
	// samples counts the runs seen, up to a bound.
	samples float64
	// runTime is the mean of the true run times, runTimeVariance their variance.
	runTime, runTimeVariance float64
	// bias is the mean of declared over true run times, biasVariance its variance.
	bias, biasVariance float64
}

const (
	// minSamples is the number of runs from which on a queue's past counts.
	minSamples = 5
	// maxSamples bounds the weight of the past: older runs are forgotten.
	maxSamples = 30
	// minVariance keeps few equal samples from claiming certainty: a tenth.
	minVariance = 0.01
	// minRunTime bounds what is learned from below.
	minRunTime = 10 * time.Millisecond
)

// withRun returns e after a run of a queue ended well.
func (e runTimes) withRun(queue string, declared, runTime time.Duration) runTimes {
	known, _ := e.byQueue.Get(queue)
	e.byQueue = e.byQueue.Set(queue, known.withSample(declared, runTime))
	return e
}

func (e runTimeModel) withSample(declared, runTime time.Duration) runTimeModel {
	t := logSeconds(runTime)
	logRatio := logSeconds(declared) - t
	e.samples = min(e.samples+1, maxSamples)
	e.runTime, e.runTimeVariance = updatedMoments(e.runTime, e.runTimeVariance, t, e.samples)
	e.bias, e.biasVariance = updatedMoments(e.bias, e.biasVariance, logRatio, e.samples)
	return e
}

// updatedMoments returns a mean and a variance after a value, whose weight is one
// part in n.
func updatedMoments(mean, variance, value, n float64) (newMean, newVariance float64) {
	d := value - mean
	return mean + d/n, (1 - 1/n) * (variance + d*d/n)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}

// predict returns the run time to expect predict a task: its declared one, corrected, and
// the mean predict its queue, each by how sure it is.
func (e runTimes) predict(queue string, declared time.Duration) time.Duration {
	q, _ := e.byQueue.Get(queue)
	if q.samples < minSamples || declared <= 0 {
		return declared
	}
	declaredWeight := 1 / max(q.biasVariance, minVariance)
	meanWeight := 1 / max(q.runTimeVariance, minVariance)
	corrected := logSeconds(declared) - q.bias
	expected := (corrected*declaredWeight + q.runTime*meanWeight) / (declaredWeight + meanWeight)
	return time.Duration(math.Exp(expected) * float64(time.Second))
}

// learnRunTime takes note of a run that ended well. One that began from a checkpoint, or
// under a leader before, tells nothing, since only a part of it was seen.
func (s *scheduler) learnRunTime(v workerView, f FinishedRun) {
	r, known := v.runs[f.Ref]
	isWhole := known && r.isOwnPlacement && !r.startedAt.IsZero() && !r.isResumed
	if f.Ending != workflow.EndedDone || !isWhole {
		return
	}
	wf := s.index.workflows[f.Workflow]
	declared := wf.Spec.Steps[f.Step].Estimate
	s.dispatcher.runTimes = s.dispatcher.runTimes.withRun(wf.Spec.Queue, declared, s.now.Sub(r.startedAt))
}

// expectedRunTime returns the run time to expect of a task.
func (s *scheduler) expectedRunTime(t workflow.PlacedTask) time.Duration {
	return s.dispatcher.runTimes.predict(s.index.workflows[t.Workflow].Spec.Queue, t.Terms.Estimate)
}

package dispatch

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/plantainladder/plantainladder/workflow"
)

// A runTimes predicts run times on a worker of speed 1, by queue, from those of earlier runs. It
// corrects declared run times, which can be far off by a factor that differs
// from queue to queue.
type runTimes struct {
	byQueue *immutable.Map[string, runTimeModel]
}

func newRunTimes() runTimes {
	return runTimes{
		byQueue: immutable.NewMap[string, runTimeModel](nil),
	}
}

// A runTimeModel describes the run times of one queue. All means and variances
// are of logarithms of seconds, because run times and their errors are skewed.
type runTimeModel struct {
	// samples counts the runs seen, up to maxSamples.
	samples float64
	// runTime and runTimeVariance are the mean and the variance of the actual
	// run times.
	runTime, runTimeVariance float64
	// bias and biasVariance are those of the ratio of declared to actual run
	// times.
	bias, biasVariance float64
}

const (
	// minSamples is the number of runs from which on the model is used.
	minSamples = 5
	// maxSamples bounds the weight of the past, so that older runs count less
	// and less.
	maxSamples = 30
	// minVariance corresponds to a standard deviation of a tenth. It keeps a
	// few equal samples from being taken as certain.
	minVariance = 0.01
	// minRunTime is the shortest run time that the model tells apart.
	minRunTime = 10 * time.Millisecond
)

// withRun returns e updated by a successful run of a queue.
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

// updatedMoments returns a running mean and variance after a new value of
// weight 1/n.
func updatedMoments(mean, variance, value, n float64) (newMean, newVariance float64) {
	d := value - mean
	return mean + d/n, (1 - 1/n) * (variance + d*d/n)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}

// predict returns the expected run time of a task: the mean of the declared
// one, corrected by the bias of its queue, and the queue's mean run time,
// weighted by their inverse variances. Without enough samples it is the
// declared one.
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

// learnRunTime adds a successful run to the model. Runs that resumed from a
// checkpoint, and those placed by an earlier leader, are left out, because the
// leader has seen only a part of them.
func (s *reconciliation) learnRunTime(v workerView, f EndedRun) {
	r, known := v.runs[f.RunKey]
	isWhole := known && r.isOwnPlacement && !r.startedAt.IsZero() && !r.isResumed
	if f.EndReason != workflow.EndedDone || !isWhole {
		return
	}
	wf := s.index.workflows[f.Workflow]
	step := wf.Spec.Steps[f.Step]
	logSpeed := s.logSpeedOf(workflow.PlacedTask{
		RunKey: f.RunKey,
		Placed: workflow.Placed{
			Worker:      v.worker.ID,
			Incarnation: v.worker.Incarnation,
		},
		StepSpec: step,
	})
	work := atSpeed(s.now.Sub(r.startedAt), -logSpeed)
	s.dispatcher.runTimes = s.dispatcher.runTimes.withRun(wf.Spec.Queue, step.DeclaredRunTime, work)
}

// expectedRunTime returns the predicted run time of a placed task on its worker.
func (s *reconciliation) expectedRunTime(t workflow.PlacedTask) time.Duration {
	work := s.dispatcher.runTimes.predict(s.index.workflows[t.Workflow].Spec.Queue, t.StepSpec.DeclaredRunTime)
	return atSpeed(work, s.logSpeedOf(t))
}

package dispatch

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

// A stepSample is the run time of the tasks of a step on one worker: measured, or
// extrapolated from their progress.
type stepSample struct {
	worker workerIncarnation
	// logTime is the mean of the logarithms of the run times in seconds of tasks.
	logTime float64
	tasks   int
}

// A sampledStep holds the samples of a step, one for each worker. Tasks that start together
// on one worker have the same errors, such as the time that they take to start.
type sampledStep struct {
	key     workflow.TaskKey
	samples []stepSample
	tasks   int
	// firstAt is when the first sample was taken.
	firstAt time.Time
	// variance is that of the logarithms of the run times of single tasks on equal workers.
	variance float64
	// isCompared is true once the samples have been compared with each other. From then on
	// those of further workers are.
	isCompared bool
}

// withTask returns t with the run time of a task on a worker, and the position of the
// worker's sample.
func (t sampledStep) withTask(worker workerIncarnation, logTime float64) (next sampledStep, position int) {
	i := slices.IndexFunc(t.samples, func(sample stepSample) bool { return sample.worker == worker })
	t.samples = slices.Clone(t.samples)
	if i < 0 {
		i = len(t.samples)
		t.samples = append(t.samples, stepSample{
			worker: worker,
		})
	}
	sample := &t.samples[i]
	sample.tasks++
	sample.logTime += (logTime - sample.logTime) / float64(sample.tasks)
	t.tasks++
	return t, i
}

// stepSamples holds the sampled steps of active workflows by stepName.
type stepSamples struct {
	byStep *immutable.Map[string, sampledStep]
}

func newStepSamples() stepSamples {
	return stepSamples{
		byStep: immutable.NewMap[string, sampledStep](nil),
	}
}

// stepName identifies the step of a task.
func stepName(k workflow.TaskKey) string {
	return k.Workflow + "/" + strconv.Itoa(k.Occurrence) + "/" + strconv.Itoa(k.Step)
}

const (
	// minSampleProgress is the progress from which on a run's time is extrapolated.
	minSampleProgress = 10
	// halfPercent is the mean of what a progress in whole percents leaves out.
	halfPercent = 0.5
)

// sampleProgress takes the sample of a running task as soon as it has made enough
// progress, and returns its state.
func (s *reconciliation) sampleProgress(v workerView, t workflow.PlacedTask, r runState) runState {
	listed := v.listed[t.RunKey]
	if r.isSampled || listed.Percent < minSampleProgress || listed.Percent >= gangWaitPercent || isOffDataRack(v, t.StepSpec) {
		return r
	}
	at, percent, ok := s.beginningOf(t, r)
	elapsed, steps := v.listingReceivedAt.Sub(at), listed.Percent-percent
	if !ok || elapsed <= 0 || steps < minSampleProgress {
		return r
	}
	r.isSampled = true
	s.addSample(v, t.TaskKey, t.StepSpec, logSeconds(elapsed)+math.Log(100/(float64(steps)+halfPercent)))
	return r
}

// isOffDataRack reports whether the tasks of a step run more slowly on a worker than on
// others for another reason than its speed.
func isOffDataRack(v workerView, step workflow.Step) bool {
	return step.DataRack != "" && step.DataRack != v.worker.Rack()
}

// beginningOf returns a time since which a run has been at work, and its progress then.
// The members of a gang work once all of them have started. A run that an earlier leader
// started, or that resumed from a checkpoint, is followed from its first listing on.
func (s *reconciliation) beginningOf(t workflow.PlacedTask, r runState) (at time.Time, percent int, ok bool) {
	if !r.isOwnPlacement || r.isResumed {
		return r.firstListedAt, r.firstPercent, !r.firstListedAt.IsZero()
	}
	at = r.startedAt
	if t.StepSpec.IsGang {
		for _, member := range s.index.gangMembers[gangRunOf(t)] {
			v, _ := s.dispatcher.workerView(member.Worker)
			startedAt := v.runs[member.RunKey].startedAt
			if startedAt.IsZero() {
				return at, 0, false
			}
			at = util.Later(at, startedAt)
		}
	}
	return at, 0, !at.IsZero()
}

// sampleEnd takes the sample of a single task that has succeeded. The members of a gang
// end together, so their ends tell nothing about the workers of the faster ones.
func (s *reconciliation) sampleEnd(v workerView, f EndedRun) {
	r, known := v.runs[f.RunKey]
	isWhole := known && r.isOwnPlacement && !r.startedAt.IsZero() && !r.isResumed && !r.isSampled
	step := s.index.workflows[f.Workflow].Spec.Steps[f.Step]
	if f.EndReason != workflow.EndedDone || !isWhole || r.endListedAt.IsZero() || step.IsGang || isOffDataRack(v, step) {
		return
	}
	s.addSample(v, f.TaskKey, step, logSeconds(r.endListedAt.Sub(r.startedAt)))
	// The end is listed until its round is committed.
	r.isSampled = true
	latest, _ := s.dispatcher.workerView(v.worker.ID)
	s.dispatcher = s.dispatcher.withView(latest.withRun(f.RunKey, r))
}

// A newSample is the run time of a task that the estimates do not include yet.
type newSample struct {
	// step is the stepName of key, and stepTasks the number of the step's tasks.
	step      string
	key       workflow.TaskKey
	stepTasks int
	worker    workerIncarnation
	logTime   float64
	// variance is that of the logarithms of the run times of the step's tasks on equal
	// workers.
	variance float64
}

const (
	// gangVariance is the variance of the logarithms of the run times of a gang's members on
	// equal workers. Their work is equal, and their progress is in whole percents.
	gangVariance = 0.05 * 0.05
	// taskVariance is the same for single tasks. Source: the workloads, in which the tasks of
	// a step differ by 15 to 30 percent.
	taskVariance = 0.2 * 0.2
)

func (s *reconciliation) addSample(v workerView, k workflow.TaskKey, step workflow.Step, logTime float64) {
	variance := taskVariance
	if step.IsGang {
		variance = gangVariance
	}
	s.newSamples = append(s.newSamples, newSample{
		step:      stepName(k),
		key:       k,
		stepTasks: step.Tasks,
		worker: workerIncarnation{
			id:          v.worker.ID,
			incarnation: v.worker.Incarnation,
		},
		logTime:  s.observeNeighbours(v, k, logTime, variance),
		variance: variance,
	})
}

package dispatch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

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
			at = later(at, startedAt)
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
	if f.EndReason == workflow.EndedDone && isWhole && !step.IsGang && !isOffDataRack(v, step) {
		s.addSample(v, f.TaskKey, step, logSeconds(v.listingReceivedAt.Sub(r.startedAt)))
	}
}

// A newSample is the run time of a task that the estimates do not include yet.
type newSample struct {
	// step is the stepName, and stepTasks the number of the step's tasks.
	step      string
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
		stepTasks: step.Tasks,
		worker: workerIncarnation{
			id:          v.worker.ID,
			incarnation: v.worker.Incarnation,
		},
		logTime:  s.observeNeighbours(v, k, logTime, variance),
		variance: variance,
	})
}

// learnSpeeds updates the estimates of the workers that the new samples tell about.
func (s *reconciliation) learnSpeeds() {
	for _, n := range s.newSamples {
		known, _ := s.dispatcher.samples.byStep.Get(n.step)
		if known.firstAt.IsZero() {
			known.firstAt, known.variance = s.now, n.variance
		}
		step, position := known.withTask(n.worker, n.logTime)
		s.dispatcher.samples.byStep = s.dispatcher.samples.byStep.Set(n.step, step)
		switch {
		case step.isCompared:
			s.compare(step, step.samples[position:position+1])
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
	s.compare(step, step.samples)
	step.isCompared = true
	s.dispatcher.samples.byStep = s.dispatcher.samples.byStep.Set(name, step)
}

// compare updates the estimates of workers after samples of a step.
func (s *reconciliation) compare(step sampledStep, samples []stepSample) {
	work, variance := s.stepWork(step.samples)
	for _, sample := range samples {
		s.learnSpeed(sample.worker, speed.Sample{
			Speed:    work - sample.logTime,
			Variance: step.variance/float64(sample.tasks) + variance,
		}, sample.tasks == 1 || !step.isCompared)
	}
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
	spreads := make(map[string]speed.Spread, len(estimates))
	for name, list := range estimates {
		spreads[name] = s.dispatcher.spreads[name].WithMedianOf(list)
	}
	s.dispatcher.mediansUpdatedAt, s.dispatcher.spreads = s.now, spreads
}

// sampleRetention is the time between two removals of the samples of inactive workflows.
const sampleRetention = 5 * time.Second

func (s *reconciliation) dropOldSamples() {
	if s.now.Sub(s.dispatcher.samplesDroppedAt) < sampleRetention {
		return
	}
	s.dispatcher.samplesDroppedAt = s.now
	for itr := s.dispatcher.samples.byStep.Iterator(); !itr.Done(); {
		name, _, _ := itr.Next()
		id, _, _ := strings.Cut(name, "/")
		if _, isActive := s.index.workflows[id]; !isActive {
			s.dispatcher.samples.byStep = s.dispatcher.samples.byStep.Delete(name)
		}
	}
}

// minMemberVariance keeps the sample of one well-known worker from deciding alone what the
// work of a step is.
const minMemberVariance = 0.1 * 0.1

// stepWork returns the logarithm of the run time of a step's tasks on the median worker, and
// its variance. It is the median of the samples, corrected for the speeds of their workers.
func (s *reconciliation) stepWork(list []stepSample) (work, variance float64) {
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
	return speed.Median(works), medianInefficiency / total
}

// medianInefficiency is the variance of a median divided by that of a mean.
const medianInefficiency = math.Pi / 2

// learnSpeed updates the estimate of a worker after runs of a step, if its incarnation is
// still the current one. Only its first sample of a step tells how alike successive samples
// are.
func (s *reconciliation) learnSpeed(worker workerIncarnation, sample speed.Sample, isFirst bool) {
	v, ok := s.dispatcher.workerView(worker.id)
	if !ok || v.worker.Incarnation != worker.incarnation {
		return
	}
	sample.Speed = min(max(sample.Speed, -speed.MaxDeviation), speed.MaxDeviation)
	before := s.dispatcher.spreads[v.worker.Pool]
	after := before
	if isFirst {
		after = before.WithPair(v.speed, sample)
	}
	s.dispatcher.spreads = maps.Clone(s.dispatcher.spreads)
	s.dispatcher.spreads[v.worker.Pool] = after
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
		for _, member := range s.index.gangMembers[gangRunOf(t)] {
			logSpeed = min(logSpeed, s.dispatcher.belief(incarnationOf(member)).Mean)
		}
	}
	return logSpeed
}

func incarnationOf(t workflow.PlacedTask) workerIncarnation {
	return workerIncarnation{
		id:          t.Worker,
		incarnation: t.Incarnation,
	}
}

const (
	// speedBucket is the logarithm of the speeds that count as equal for the order of nodes.
	speedBucket = 0.25
	// sufficientProbability is the probability of being fast enough from which on a node is
	// taken without hesitation. A gang takes several.
	sufficientProbability = 0.95
	// insufficientRank is the least rank of the nodes with a lower probability.
	insufficientRank = 100
	// slackSpeed is the needed speed up to which nodes of unknown speed are tried before
	// those of a usual one. unknownDeviation is the deviation from which on a speed counts
	// as unknown.
	slackSpeed       = 0.5
	unknownDeviation = 0.25
)

// speedRank returns the rank of a node in the order in which a task group takes nodes:
// those that are fast enough to meet the target completion go first, the slowest of them
// before the others, which other work may need. The rest follows, the most probable first.
func (g taskGroup) speedRank(n *node) int {
	if n.speed == (speed.Belief{}) {
		return 0
	}
	if p := n.speed.ProbabilityAbove(g.neededSpeed); p < sufficientProbability {
		return insufficientRank + int(insufficientRank*(1-p))
	}
	if n.speed.Deviation > unknownDeviation && g.neededSpeed <= slackSpeed {
		return -1
	}
	return int(math.Round(n.speed.Mean / speedBucket))
}

// worstRank returns the highest speed rank of the assigned nodes.
func (g taskGroup) worstRank(list []assignment) int {
	worst := math.MinInt
	for _, a := range list {
		worst = max(worst, g.speedRank(a.node))
	}
	return worst
}

// speedReason returns, for the log, the speed of the slowest assigned node and the speed that
// the task group needs; empty if no speed played a part.
func (g taskGroup) speedReason(list []assignment) string {
	slowest := list[0].node.speed
	for _, a := range list {
		if a.node.speed.Mean < slowest.Mean {
			slowest = a.node.speed
		}
	}
	if slowest == (speed.Belief{}) {
		return ""
	}
	return fmt.Sprintf(", speed %.2f, needed %.2f", math.Exp(slowest.Mean), g.neededSpeed)
}

// speedMargin is the factor by which a worker must be faster than a target completion
// requires. It covers the time until a run has begun, and until its end is known.
const speedMargin = 1.1

// neededSpeed returns the speed at which work must run to be done by a time: 0 if any will
// do, since none of the usual speeds is enough.
func neededSpeed(now time.Time, work time.Duration, by time.Time) float64 {
	left := by.Sub(now)
	if left <= 0 || work > time.Duration(float64(left)*math.Exp(speed.MaxDeviation)) {
		return 0
	}
	return speedMargin * work.Seconds() / left.Seconds()
}

// atSpeed returns the time that work takes at a speed, which is given by its logarithm.
func atSpeed(work time.Duration, logSpeed float64) time.Duration {
	if logSpeed == 0 {
		return work
	}
	return time.Duration(float64(work) * math.Exp(-logSpeed))
}

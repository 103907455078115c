package dispatch

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/plantainladder/plantainladder/workflow"
)

// estimates holds what was learned of run times, by queue. The load that it
// answers: declared run times that are far off, by a different part in each
// queue.
type estimates struct {
	byQueue *immutable.Map[string, estimate]
}

func newEstimates() estimates {
	return estimates{
		byQueue: immutable.NewMap[string, estimate](nil),
	}
}

// An estimate describes the run times of a queue. All of its moments are of
// logarithms of seconds, since run times and their errors are skewed.
type estimate struct {
	// samples counts the runs seen, up to a bound.
	samples float64
	// took is the mean of the true run times, tookSpread their variance.
	took, tookSpread float64
	// bias is the mean of declared over true run times, biasSpread its variance.
	bias, biasSpread float64
}

const (
	// minSamples is the number of runs from which on a queue's past counts.
	minSamples = 5
	// maxSamples bounds the weight of the past: older runs are forgotten.
	maxSamples = 30
	// leastSpread keeps few equal samples from claiming certainty: a tenth.
	leastSpread = 0.01
	// shortestRun bounds what is learned from below.
	shortestRun = 10 * time.Millisecond
)

// withRun returns e after a run of a queue ended well.
func (e estimates) withRun(queue string, declared, took time.Duration) estimates {
	known, _ := e.byQueue.Get(queue)
	e.byQueue = e.byQueue.Set(queue, known.withSample(declared, took))
	return e
}

func (e estimate) withSample(declared, took time.Duration) estimate {
	t := logSeconds(took)
	off := logSeconds(declared) - t
	e.samples = min(e.samples+1, maxSamples)
	e.took, e.tookSpread = withMoment(e.took, e.tookSpread, t, e.samples)
	e.bias, e.biasSpread = withMoment(e.bias, e.biasSpread, off, e.samples)
	return e
}

// withMoment returns a mean and a variance after a value, whose weight is one
// part in n.
func withMoment(mean, variance, value, n float64) (newMean, newVariance float64) {
	d := value - mean
	return mean + d/n, (1 - 1/n) * (variance + d*d/n)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, shortestRun).Seconds())
}

// of returns the run time to expect of a task: its declared one, corrected, and
// the mean of its queue, each by how sure it is.
func (e estimates) of(queue string, declared time.Duration) time.Duration {
	q, _ := e.byQueue.Get(queue)
	if q.samples < minSamples || declared <= 0 {
		return declared
	}
	byDeclared := 1 / max(q.biasSpread, leastSpread)
	byMean := 1 / max(q.tookSpread, leastSpread)
	corrected := logSeconds(declared) - q.bias
	expected := (corrected*byDeclared + q.took*byMean) / (byDeclared + byMean)
	return time.Duration(math.Exp(expected) * float64(time.Second))
}

// learn takes note of a run that ended well. One that began from a checkpoint, or
// under a leader before, tells nothing, since only a part of it was seen.
func (s *sweeper) learn(v view, f FinishedRun) {
	r, known := v.runs[f.Ref]
	isWhole := known && r.isOurs && !r.accepted.IsZero() && !r.isResumed
	if f.Ending != workflow.EndedDone || !isWhole {
		return
	}
	flow := s.index.flows[f.Workflow]
	declared := flow.Spec.Steps[f.Step].Estimate
	s.board.estimates = s.board.estimates.withRun(flow.Spec.Queue, declared, s.now.Sub(r.accepted))
}

// expected returns the run time to expect of a task.
func (s *sweeper) expected(t workflow.PlacedTask) time.Duration {
	return s.board.estimates.of(s.index.flows[t.Workflow].Spec.Queue, t.Terms.Estimate)
}

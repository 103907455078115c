package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// minSlowdown is the least slow-down that counts: a tenth.
	minSlowdown = 1.1
	// significance is the number of standard errors by which a slow-down must exceed the
	// least one to begin to count. Some thousands of pairs are judged again and again.
	significance = 4
	// minRuns and minWorkers are the runs and the workers that are needed, so that one long task
	// or one worker never decides.
	minRuns    = 10
	minWorkers = 4
	// maxRuns bounds the weight of the past, so that a kind that changes is noticed.
	maxRuns = 100
	// maxClusters bounds the workers and the steps whose errors are told apart.
	maxClusters = 64
	// minClusterShare is the share of the largest cluster's error below which one is dropped
	// once there are too many.
	minClusterShare = 0.01
)

// An observation is how much longer a run took beside a kind.
type observation struct {
	excess, variance float64
	// The error of what is assumed about the worker is common to its runs, and that of the
	// step's run times without the kind to the runs of the step.
	worker            string
	workerVariance    float64
	step              string
	referenceVariance float64
}

// A cluster is observations with a common error. deviation is the weighted sum of that.
type cluster struct {
	name      string
	deviation float64
}

// clusters are the clusters of a pair, by workers or by steps.
type clusters []cluster

// add adds the error of an observation, and returns c like append. If there are too many clusters,
// the least two count as one, which overstates their error.
func (c clusters) add(name string, deviation float64) clusters {
	i := slices.IndexFunc(c, func(known cluster) bool { return known.name == name })
	if i >= 0 {
		c[i].deviation += deviation
		return c
	}
	c = append(c, cluster{
		name:      name,
		deviation: deviation,
	})
	if len(c) <= maxClusters {
		return c
	}
	c.sort()
	c[maxClusters-1].deviation += c[maxClusters].deviation
	return c[:maxClusters]
}

// sort sorts c by falling deviation. It is sorted but for few clusters each time, so that
// insertion takes the fewest comparisons.
func (c clusters) sort() {
	for i := range c {
		for j := i; j > 0 && c[j].deviation > c[j-1].deviation; j-- {
			c[j], c[j-1] = c[j-1], c[j]
		}
	}
}

// scale lowers the weight of the observations, and returns c like append.
func (c clusters) scale(factor float64) clusters {
	largest, least := 0.0, math.Inf(1)
	for i := range c {
		c[i].deviation *= factor
		largest, least = max(largest, c[i].deviation), min(least, c[i].deviation)
	}
	if least >= minClusterShare*largest {
		return c
	}
	return slices.DeleteFunc(c, func(known cluster) bool { return known.deviation < minClusterShare*largest })
}

// squares returns the sum of the squares of the errors.
func (c clusters) squares() (sum float64) {
	for _, known := range c {
		sum += known.deviation * known.deviation
	}
	return sum
}

// evidence is what the runs of a kind beside another tell.
type evidence struct {
	// weight is the sum of the weights of the runs, weightSquares that of their squares;
	// excess and excessSquares are the weighted sums of the run times' excess and its square.
	weight, weightSquares, excess, excessSquares float64
	// noise is the variance of the weighted sum that the runs' own errors explain.
	noise float64
	runs  float64
	// workers and steps hold the errors that runs have in common.
	workers, steps clusters
	seen           time.Time
	// isEffect is true while the slow-down counts.
	isEffect bool
}

// clone returns a copy of e that can be added to.
func (e evidence) clone() evidence {
	e.workers, e.steps = slices.Clone(e.workers), slices.Clone(e.steps)
	return e
}

// add adds an observation.
func (e *evidence) add(now time.Time, o observation) {
	if e.runs >= maxRuns {
		e.scale(maxRuns / (e.runs + 1))
	}
	weight := 1 / (o.variance + o.workerVariance)
	e.weight += weight
	e.weightSquares += weight * weight
	e.excess += weight * o.excess
	e.excessSquares += weight * o.excess * o.excess
	e.noise += weight * weight * o.variance
	e.runs++
	e.workers = e.workers.add(o.worker, weight*math.Sqrt(o.workerVariance))
	e.steps = e.steps.add(o.step, weight*math.Sqrt(o.referenceVariance))
	e.seen = now
	e.isEffect = e.judged()
}

// scale lowers the weight of the past.
func (e *evidence) scale(factor float64) {
	e.weight *= factor
	e.weightSquares *= factor * factor
	e.excess *= factor
	e.excessSquares *= factor
	e.noise *= factor * factor
	e.runs *= factor
	e.workers, e.steps = e.workers.scale(factor), e.steps.scale(factor)
}

// slowdown returns the mean excess and its standard error. The greater of the expected and
// the observed variance of single runs counts.
func (e evidence) slowdown() (mean, standardError float64) {
	mean = e.excess / e.weight
	observed := max(e.excessSquares/e.weight-mean*mean, 0) * e.weightSquares
	variance := max(e.noise, observed) + e.workers.squares() + e.steps.squares()
	return mean, math.Sqrt(variance) / e.weight
}

// judged reports whether the slow-down counts. It begins to once it is beyond doubt, and ends
// to once the mean is below the least one, so that chance does not switch it.
func (e evidence) judged() bool {
	isAbove := e.excess/e.weight >= math.Log(minSlowdown)
	isEnough := e.runs >= minRuns && len(e.workers) >= minWorkers
	if e.isEffect || !isAbove || !isEnough {
		return e.isEffect && isAbove
	}
	mean, standardError := e.slowdown()
	return mean-significance*standardError >= math.Log(minSlowdown)
}

func (e evidence) effect(pair Pair) Effect {
	mean, _ := e.slowdown()
	return Effect{
		Pair:     pair,
		Slowdown: math.Exp(mean),
		Runs:     int(math.Round(e.runs)),
		Workers:  len(e.workers),
	}
}

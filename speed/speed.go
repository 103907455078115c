// Package speed estimates how fast the workers of a pool run tasks, from how the run times
// of equal tasks differ between them. All speeds and deviations are natural logarithms of
// ratios to the speed of the pool's median worker: 0 is the median, -0.5 is 0.6 of it.
package speed

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MaxDeviation bounds the speed that one run suggests. A few tasks have many times the
	// work of the others.
	MaxDeviation = 0.8
	// maxPrecision bounds the weight of earlier runs of a worker, so that a worker whose speed
	// changes is noticed after a few runs.
	maxPrecision = 1 / (0.08 * 0.08)
)

// Bounded returns the part of a deviation that one run may suggest.
func Bounded(deviation float64) float64 {
	return min(max(deviation, -MaxDeviation), MaxDeviation)
}

// A Sample is a speed that runs of a worker suggest.
type Sample struct {
	// Speed is what they suggest.
	Speed float64
	// Variance is the square of its standard error.
	Variance float64
}

// An Estimate is what the runs of one worker tell about its speed. The zero value is that
// of a worker without runs.
type Estimate struct {
	// mean is the mean of the samples, weighted with the inverses of their variances, whose
	// sum is precision. last is the last sample.
	mean, precision, last float64
}

// WithSample returns e after runs of the worker.
func (e Estimate) WithSample(sample Sample) Estimate {
	weight := min(1/sample.Variance, maxPrecision)
	e.precision = min(e.precision+weight, maxPrecision)
	e.mean += (sample.Speed - e.mean) * weight / e.precision
	e.last = sample.Speed
	return e
}

// NewEstimate returns the estimate of a worker of which another leader has learned a speed.
// It counts no more than a few runs, since the speed may have changed since.
func NewEstimate(mean, precision float64) Estimate {
	return Estimate{
		mean:      mean,
		precision: min(precision, maxPrecision/2),
		last:      mean,
	}
}

// Precision returns the inverse of the variance of the estimate.
func (e Estimate) Precision() float64 {
	return e.precision
}

// HasSamples reports whether there were any runs.
func (e Estimate) HasSamples() bool {
	return e.precision > 0
}

const (
	// maxPairs bounds the weight of the past in a Spread, to a few seconds of a busy pool.
	maxPairs = 600
	// minPairs is the number of pairs of runs from which on a spread is judged.
	minPairs = 40
	// minSpread is the smallest standard deviation of the speeds of a pool that matters. With
	// less, the slowest workers still meet a target of 1.5 times the run time. A pool stays
	// uneven down to keptSpread, so that its state does not alternate.
	minSpread  = 0.23
	keptSpread = 0.2
	// minSignificance is the number of standard errors by which the spread must differ from
	// what equal workers show by chance.
	minSignificance = 5
)

// A Spread tells how far the speeds of a pool's workers differ. It compares successive samples
// of the same workers, which are alike only as far as the workers differ. The zero value is
// that of a pool without runs.
type Spread struct {
	// pairs counts the pairs of samples, up to maxPairs.
	pairs float64
	// squares and products are the means of the samples' squares, and of the products of
	// two successive samples of a worker.
	squares, products float64
	// median is the median of the means of the estimates.
	median   float64
	isUneven bool
}

// WithPair returns s after a worker with an estimate has had another sample.
func (s Spread) WithPair(before Estimate, sample Sample) Spread {
	if !before.HasSamples() {
		return s
	}
	s.pairs = min(s.pairs+1, maxPairs)
	previous, current := before.last-s.median, sample.Speed-s.median
	s.squares += ((previous*previous+current*current)/2 - s.squares) / s.pairs
	s.products += (previous*current - s.products) / s.pairs
	return s.judged()
}

// judged returns s after it was decided whether the workers differ beyond doubt.
func (s Spread) judged() Spread {
	least := minSpread
	if s.isUneven {
		least = keptSpread
	}
	standardError := s.squares / math.Sqrt(max(s.pairs, 1))
	s.isUneven = s.pairs >= minPairs && s.products >= max(least*least, minSignificance*standardError)
	return s
}

// adoptedPairs is the weight of a spread that another leader has found, so that the first
// pairs of this one do not overrule it.
const adoptedPairs = 4 * minPairs

// NewSpread returns the spread of a pool that is known to be uneven, by the estimates of its
// workers.
func NewSpread(estimates []Estimate) Spread {
	s := Spread{
		pairs:    adoptedPairs,
		isUneven: true,
	}.WithMedianOf(estimates)
	for _, e := range estimates {
		deviation := e.mean - s.median
		s.squares += deviation * deviation / float64(len(estimates))
	}
	s.products = max(s.squares, minSpread*minSpread)
	return s
}

// WithMedianOf returns s with the median of the workers' estimates. Comparisons between runs
// tell nothing about it.
func (s Spread) WithMedianOf(estimates []Estimate) Spread {
	means := make([]Weighted, 0, len(estimates))
	for _, e := range estimates {
		means = append(means, Weighted{
			Value:  e.mean,
			Weight: 1,
		})
	}
	s.median = Median(means)
	return s
}

// IsUneven reports whether the workers differ beyond doubt.
func (s Spread) IsUneven() bool {
	return s.isUneven
}

// IsEqual reports whether the workers were judged, and do not differ beyond doubt.
func (s Spread) IsEqual() bool {
	return s.pairs >= minPairs && !s.isUneven
}

// Deviation returns the standard deviation of the speeds of the pool's workers.
func (s Spread) Deviation() float64 {
	return math.Sqrt(max(s.products, 0))
}

// Belief returns what is believed about the speed of a worker of the pool. In a pool of
// equal workers it is the zero value.
func (s Spread) Belief(e Estimate) Belief {
	if !s.IsUneven() {
		return Belief{}
	}
	precision := e.precision + 1/s.products
	return Belief{
		Mean:      s.Relative(e) * e.precision / precision,
		Deviation: 1 / math.Sqrt(precision),
	}
}

// Relative returns the mean of a worker's samples relative to the median of the pool.
func (s Spread) Relative(e Estimate) float64 {
	return e.mean - s.median
}

// A Belief is a normal distribution of a speed. The zero value is that of the median worker
// of a pool of equal workers.
type Belief struct {
	// Mean and Deviation are its mean and its standard deviation.
	Mean, Deviation float64
}

// ProbabilityAbove returns the probability that the speed is at least a ratio to that of the
// median worker.
func (b Belief) ProbabilityAbove(ratio float64) float64 {
	if ratio <= 0 {
		return 1
	}
	margin := b.Mean - math.Log(ratio)
	switch {
	case b.Deviation > 0:
		return (1 + math.Erf(margin/(b.Deviation*math.Sqrt2))) / 2
	case margin >= 0:
		return 1
	}
	return 0
}

// A Weighted is a value with a weight.
type Weighted struct {
	// Value and Weight are the value and its weight, which is above 0.
	Value, Weight float64
}

// Median returns the weighted median of a list: the value up to which half of the weight
// lies; 0 for an empty list.
func Median(list []Weighted) float64 {
	sorted := slices.SortedFunc(slices.Values(list), func(a, b Weighted) int {
		return cmp.Compare(a.Value, b.Value)
	})
	return MedianOfSorted(sorted)
}

// MedianOfSorted returns the weighted median of a list that is sorted by value.
func MedianOfSorted(sorted []Weighted) float64 {
	total := 0.0
	for _, w := range sorted {
		total += w.Weight
	}
	sum := 0.0
	for i, w := range sorted {
		sum += w.Weight
		switch {
		case 2*sum > total:
			return w.Value
		case 2*sum == total && i+1 < len(sorted):
			return (w.Value + sorted[i+1].Value) / 2
		}
	}
	return 0
}

// medianInefficiency is the variance of a median divided by that of a mean.
const medianInefficiency = math.Pi / 2

// MedianVariance returns the variance of a weighted median of values whose weights are the
// inverses of their variances and have the given sum.
func MedianVariance(precision float64) float64 {
	return medianInefficiency / precision
}

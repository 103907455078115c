package interference

import (
	"cmp"
	"hash/crc64"
	"math"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/speed"
)

// A kindDigest stands for a kind in the past of workers, where names that callers choose would
// take much memory. If two kinds share one, a worker's run is at worst compared as if it had been
// beside the other kind.
type kindDigest uint64

var digestTable = crc64.MakeTable(crc64.ECMA)

func (k Kind) digest() kindDigest {
	sum := crc64.Checksum([]byte(k.Queue), digestTable)
	sum = crc64.Update(sum, digestTable, []byte{0})
	return kindDigest(crc64.Update(sum, digestTable, []byte(k.Image)))
}

// A pastRun is what a run tells about its worker.
type pastRun struct {
	// excess is how much longer it took than the usual task of its step. It is not a number
	// if there are too few tasks to compare it with.
	excess, variance float64
	// exceptions hold the kinds without which the comparison is another one.
	exceptions []exception
}

// An exception is how much longer a run took than the tasks that were not beside a kind. The
// excess is not a number for a kind that the run itself was beside.
type exception struct {
	kind   kindDigest
	excess float64
}

// newPastRun returns what a run tells about its worker. logTime is that without known
// slow-downs.
func newPastRun(run Run, logTime float64, refs references) pastRun {
	past := pastRun{
		excess:     refs.others.excess(logTime),
		variance:   run.Variance,
		exceptions: make([]exception, 0, len(run.Beside)+len(refs.kinds)),
	}
	for _, k := range run.Beside {
		past.exceptions = append(past.exceptions, exception{
			kind:   k.digest(),
			excess: math.NaN(),
		})
	}
	for _, k := range refs.kinds {
		if !run.isBeside(k.kind) {
			past.exceptions = append(past.exceptions, exception{
				kind:   k.digest,
				excess: k.reference.excess(logTime),
			})
		}
	}
	return past
}

// excessWithout returns the excess compared with tasks that were not beside a kind.
func (p pastRun) excessWithout(k kindDigest) float64 {
	for _, e := range p.exceptions {
		if e.kind == k {
			return e.excess
		}
	}
	return p.excess
}

// A workerHistory is the last runs of a worker.
type workerHistory struct {
	runs []pastRun
	seen time.Time
}

// ownSlowness returns how slow a worker is for another reason than a kind, and the variance of
// that, from its runs that were not beside the kind. It reports false if there are too few.
func (h workerHistory) ownSlowness(without kindDigest) (slowness, variance float64, ok bool) {
	precision, runs := 0.0, 0
	for _, r := range h.runs {
		excess := r.excessWithout(without)
		if math.IsNaN(excess) {
			continue
		}
		precision += 1 / r.variance
		slowness += excess / r.variance
		runs++
	}
	if runs < minControls {
		return 0, 0, false
	}
	return slowness / precision, 1 / precision, true
}

// A reference is the run time of a step's tasks that were not beside a kind.
type reference struct {
	// logTime is its logarithm, and variance the variance of that.
	logTime, variance float64
	runs              int
}

// excess returns how much longer a run took, bounded; not a number without enough tasks.
func (r reference) excess(logTime float64) float64 {
	if r.runs < minReference {
		return math.NaN()
	}
	return speed.Bounded(logTime - r.logTime)
}

// A kindReference is the run time of a step's tasks that were not beside a kind.
type kindReference struct {
	kind      Kind
	digest    kindDigest
	reference reference
}

// references are the run times of a step's tasks.
type references struct {
	// kinds are the judged kinds, and others holds for each other one.
	kinds  []kindReference
	others reference
}

// find returns the reference without a kind, and false if the kind is not judged.
func (r references) find(k Kind) (found kindReference, ok bool) {
	i := slices.IndexFunc(r.kinds, func(known kindReference) bool { return known.kind == k })
	if i < 0 {
		return kindReference{}, false
	}
	return r.kinds[i], true
}

// A clearedRun is a run of a step and its run time without the known slow-downs.
type clearedRun struct {
	run     Run
	logTime float64
}

func (b *builder) references(step Step) (refs references) {
	sorted := make([]clearedRun, len(step.Runs))
	for i, run := range step.Runs {
		sorted[i] = clearedRun{
			run:     run,
			logTime: b.known.Cleared(step.Kind, run),
		}
	}
	slices.SortStableFunc(sorted, func(x, y clearedRun) int { return cmp.Compare(x.logTime, y.logTime) })
	judged, mostLeftOut := judgedKinds(step.Runs)
	for _, k := range judged {
		refs.kinds = append(refs.kinds, kindReference{
			kind:      k,
			digest:    k.digest(),
			reference: medianReference(sorted, &k),
		})
	}
	if mostLeftOut*minLeftOutRatio <= len(step.Runs) {
		refs.others = medianReference(sorted, nil)
	}
	return refs
}

// A countedKind is a kind and the number of runs that were beside it.
type countedKind struct {
	kind Kind
	runs int
}

func (k countedKind) compare(other countedKind) int {
	return cmp.Or(other.runs-k.runs, k.kind.compare(other.kind))
}

// judgedKinds returns the kinds that most runs were beside, at most maxStepKinds, and the number
// of runs beside the first one that is left out.
func judgedKinds(runs []Run) (kinds []Kind, mostLeftOut int) {
	counts := map[Kind]int{}
	for _, run := range runs {
		for _, by := range run.Beside {
			counts[by]++
		}
	}
	// There may be a kind for each neighbour of each run, so they are not all sorted.
	most := make([]countedKind, 0, maxStepKinds+2)
	for kind, count := range counts {
		counted := countedKind{
			kind: kind,
			runs: count,
		}
		if len(most) > maxStepKinds && counted.compare(most[maxStepKinds]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(most, counted, countedKind.compare)
		most = slices.Insert(most, i, counted)
		most = most[:min(len(most), maxStepKinds+1)]
	}
	if len(most) > maxStepKinds {
		mostLeftOut = most[maxStepKinds].runs
		most = most[:maxStepKinds]
	}
	for _, counted := range most {
		kinds = append(kinds, counted.kind)
	}
	return kinds, mostLeftOut
}

// medianReference returns the median of the run times of a step's tasks that were not beside a kind.
// If without is nil, all tasks count.
func medianReference(sorted []clearedRun, without *Kind) reference {
	list := make([]speed.Weighted, 0, len(sorted))
	precision := 0.0
	for _, r := range sorted {
		if without != nil && r.run.isBeside(*without) {
			continue
		}
		precision += 1 / r.run.Variance
		list = append(list, speed.Weighted{
			Value:  r.logTime,
			Weight: 1 / r.run.Variance,
		})
	}
	if len(list) == 0 {
		return reference{}
	}
	return reference{
		logTime:  speed.MedianOfSorted(list),
		variance: speed.MedianVariance(precision),
		runs:     len(list),
	}
}

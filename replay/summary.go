package replay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// A Result summarises the workflows of one kind.
type Result struct {
	// Kind is the queue's name.
	Kind string
	// Counted counts the workflows that were neither cancelled nor bound to fail,
	// InTime those that completed within their target turnaround, and Late those that
	// completed within three times their target turnaround.
	Counted, InTime, Late int
	// Score is the share of the possible score that was earned, from 0 to 1.
	Score float64
	// LargestScore is Score for the largest tenth of the workflows by work.
	LargestScore float64
	// WaitP50 and WaitP99 are percentiles of the time from arrival to the first
	// run.
	WaitP50, WaitP99 time.Duration
	// SlowdownP50 and SlowdownP99 are percentiles of the time from arrival to
	// completion, divided by the work on the critical path.
	SlowdownP50, SlowdownP99 float64
}

// lateFactor is how many times its target turnaround a workflow may take and still earn
// its late score.
const lateFactor = 3

// An outcome is the score of one workflow.
type outcome struct {
	work          float64
	possibleScore float64
	earnedScore   float64
	wait          time.Duration
	slowdown      float64
	inTime        bool
	late          bool
}

// Summary returns the result of each kind of workflow, and the share of the
// total possible score that was earned.
func (l Load) Summary(sim *Simulation, ids []string) (results []Result, score float64) {
	possible, earned := 0.0, 0.0
	for _, k := range l.Kinds {
		var list []outcome
		for _, id := range ids {
			r := sim.Record(id)
			isCounted := r.Arrival.CancelAfter == 0 && !r.Arrival.AlwaysFails
			if r.Arrival.Queue == k.Queue.Name && isCounted {
				list = append(list, k.evaluate(r))
			}
		}
		results = append(results, k.summarise(list))
		for _, o := range list {
			possible += o.possibleScore
			earned += o.earnedScore
		}
	}
	return results, earned / max(possible, 1)
}

func (k Kind) evaluate(r Record) outcome {
	criticalPath := time.Duration(0)
	work := 0.0
	for i, s := range r.Arrival.Spec.Steps {
		criticalPath += r.Arrival.Work[i]
		work += float64(s.Tasks) * s.PerTask.WeightedCores() * r.Arrival.Work[i].Seconds()
	}
	o := outcome{
		work: work,
	}
	if r.Start >= 0 {
		o.wait = r.Start - r.Arrival.At
	}
	took := r.End - r.Arrival.At
	targetTurnaround := time.Duration(float64(criticalPath)*k.Queue.Stretch) + k.Queue.Slack
	if r.Status != workflow.StatusCompleted || r.End < 0 {
		return o
	}
	o.slowdown = float64(took) / float64(criticalPath)
	o.inTime = took <= targetTurnaround
	o.late = !o.inTime && took <= lateFactor*targetTurnaround
	return o
}

// maxScoreFactor limits the score of a large workflow, as a multiple of the
// score of one of mean size.
const maxScoreFactor = 4

func (k Kind) summarise(list []outcome) Result {
	r := Result{
		Kind:    k.Queue.Name,
		Counted: len(list),
	}
	if len(list) == 0 {
		return r
	}
	mean := 0.0
	for _, o := range list {
		mean += o.work / float64(len(list))
	}
	slices.SortFunc(list, func(a, b outcome) int {
		return int(b.work - a.work)
	})
	var waits []time.Duration
	var slowdowns []float64
	var possible, earned, largePossible, largeEarned float64
	for i := range list {
		o := &list[i]
		factor := min(0.3+0.7*o.work/mean, maxScoreFactor)
		o.possibleScore = k.Score * factor
		switch {
		case o.inTime:
			r.InTime++
			o.earnedScore = o.possibleScore
		case o.late:
			r.Late++
			o.earnedScore = k.LateScore * factor
		}
		possible, earned = possible+o.possibleScore, earned+o.earnedScore
		if i <= len(list)/10 {
			largePossible, largeEarned = largePossible+o.possibleScore, largeEarned+o.earnedScore
		}
		waits = append(waits, o.wait)
		if o.slowdown > 0 {
			slowdowns = append(slowdowns, o.slowdown)
		}
	}
	r.Score, r.LargestScore = earned/possible, largeEarned/largePossible
	slices.Sort(waits)
	slices.Sort(slowdowns)
	r.WaitP50, r.WaitP99 = percentile(waits, 50), percentile(waits, 99)
	r.SlowdownP50, r.SlowdownP99 = percentile(slowdowns, 50), percentile(slowdowns, 99)
	return r
}

func percentile[T any](sorted []T, percent int) (v T) {
	if len(sorted) == 0 {
		return v
	}
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}

// Table formats results as a text table with a header line.
func Table(results []Result) string {
	var sb strings.Builder
	_, _ = fmt.Fprintf(&sb, "%-10s %6s %8s %6s %6s %8s %10s %10s %8s %8s\n",
		"kind", "asked", "in time", "late", "worth", "largest", "wait p50", "wait p99", "str p50", "str p99")
	for _, r := range results {
		_, _ = fmt.Fprintf(&sb, "%-10s %6d %8d %6d %6.3f %8.3f %10v %10v %8.2f %8.2f\n", r.Kind, r.Counted, r.InTime, r.Late,
			r.Score, r.LargestScore, r.WaitP50.Round(time.Millisecond), r.WaitP99.Round(time.Millisecond), r.SlowdownP50, r.SlowdownP99)
	}
	return sb.String()
}

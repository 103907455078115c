package day

import (
	"slices"

	"github.com/plantainladder/plantainladder/job"
)

// finish computes the means and percentiles over all jobs and returns the report.
func (d *day) finish() Report {
	r := d.report
	r.Fragmentation /= d.fragTime
	r.MeanHours = map[string]float64{}
	counts := map[string]float64{}
	batches, late := 0.0, 0.0
	var all []float64
	for _, a := range d.arrivals {
		end, ended := d.jobs[a.Spec.ID].Phase.(job.Ended)
		if !ended {
			r.Unfinished++
			continue
		}
		if end.Result == job.ResultUnknown {
			r.Unknown++
		}
		took := end.At.Sub(a.At)
		for _, class := range []string{a.Spec.Class, "all"} {
			r.MeanHours[class] += took.Hours()
			counts[class]++
		}
		all = append(all, took.Hours())
		if a.Spec.Class == "batch" {
			batches++
			if took > batchDeadline {
				late++
			}
		}
	}
	for class, n := range counts {
		r.MeanHours[class] /= n
	}
	slices.Sort(all)
	r.P95Hours = all[len(all)*95/100]
	r.LateBatchShare = late / max(1, batches)
	return r
}

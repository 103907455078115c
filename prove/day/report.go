package day

import (
	"slices"

	"github.com/plantainladder/plantainladder/job"
)

// computeReport computes the means and percentiles over all jobs and returns the report.
func (s *simulation) computeReport() Report {
	r := s.report
	r.Fragmentation /= s.fragmentationHours
	r.MeanHours = map[string]float64{}
	counts := map[string]float64{}
	batches, late := 0.0, 0.0
	var turnaroundHours []float64
	for _, a := range s.arrivals {
		end, ended := s.jobs[a.Spec.ID].Phase.(job.Ended)
		if !ended {
			r.Unfinished++
			continue
		}
		if end.Result == job.ResultUnknown {
			r.Unknown++
		}
		turnaround := end.At.Sub(a.At)
		for _, class := range []string{a.Spec.Class, "all"} {
			r.MeanHours[class] += turnaround.Hours()
			counts[class]++
		}
		turnaroundHours = append(turnaroundHours, turnaround.Hours())
		if a.Spec.Class == "batch" {
			batches++
			if turnaround > batchDeadline {
				late++
			}
		}
	}
	for class, n := range counts {
		r.MeanHours[class] /= n
	}
	slices.Sort(turnaroundHours)
	r.P95Hours = turnaroundHours[len(turnaroundHours)*95/100]
	r.LateBatchShare = late / max(1, batches)
	return r
}

package main

import (
	"fmt"
	"math"

	"github.com/plantainladder/plantainladder/prove/day"
	"github.com/plantainladder/plantainladder/schedule"
)

const seeds = 5

// measurePolicy prints the mean and standard deviation of each measure over all
// seeds, by deployment and policy.
func measurePolicy() {
	policies := []struct {
		name   string
		policy schedule.Policy
	}{
		{
			name:   "first-fit",
			policy: schedule.FirstFit{},
		},
		{
			name:   "guaranteed",
			policy: schedule.Guaranteed{},
		},
	}
	fmt.Println("site     policy      urgent-h     normal-h     batch-h      p95-h        fragment     drain-acc-h  lost-acc-h   late-batch   unknown unfinished")
	for _, site := range day.Deployments() {
		for _, p := range policies {
			var columns [8][]float64
			unknown, unfinished := 0, 0
			for seed := range uint64(seeds) {
				r := day.Run(site, p.policy, seed+1)
				for i, v := range []float64{
					r.MeanHours["urgent"], r.MeanHours["normal"], r.MeanHours["batch"], r.P95Hours,
					r.Fragmentation, r.DrainAcceleratorHours, r.LostAcceleratorHours, r.LateBatchShare,
				} {
					columns[i] = append(columns[i], v)
				}
				unknown += r.Unknown
				unfinished += r.Unfinished
			}
			fmt.Printf("%-8s %-11s", site.Name, p.name)
			for _, c := range columns {
				mean, deviation := spread(c)
				fmt.Printf(" %-12s", fmt.Sprintf("%.2f±%.2f", mean, deviation))
			}
			fmt.Printf(" %-7d %d\n", unknown, unfinished)
		}
	}
}

func spread(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(values)-1)
	}
	return mean, math.Sqrt(deviation)
}

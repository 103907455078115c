package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/util"
)

// policyMeans holds the mean results of a load under one policy, over all seeds.
type policyMeans struct {
	name  string
	worth float64
	waste float64
	// kinds holds the means by kind of workflow, in the load's order.
	kinds []kindMeans
}

type kindMeans struct {
	name            string
	inTime          float64
	worth, largest  float64
	stretch50, wait float64
}

func newPolicyMeans(name string) policyMeans {
	return policyMeans{
		name: name,
	}
}

// withRun returns m with the results of one run added; runs is their number.
func (m policyMeans) withRun(runs int, results []replay.Result, worth, waste float64) policyMeans {
	weight := 1 / float64(runs)
	m.worth += worth * weight
	m.waste += waste * weight
	kinds := make([]kindMeans, len(results))
	copy(kinds, m.kinds)
	for i, r := range results {
		k := &kinds[i]
		k.name = r.Kind
		k.inTime += float64(r.InTime) / float64(max(r.Counted, 1)) * weight
		k.worth += r.Score * weight
		k.largest += r.LargestScore * weight
		k.stretch50 += r.SlowdownP50 * weight
		k.wait += r.WaitP99.Seconds() * weight
	}
	m.kinds = kinds
	return m
}

func printMeans(all []policyMeans) {
	fmt.Printf("%-14s %6s %8s  %-8s %7s %6s %8s %8s %9s\n",
		"policy", "worth", "waste", "kind", "in time", "worth", "largest", "str p50", "wait p99")
	for _, m := range all {
		for i, k := range m.kinds {
			head := fmt.Sprintf("%-14s %6.3f %8.0f", m.name, m.worth, m.waste)
			if i > 0 {
				head = fmt.Sprintf("%30s", "")
			}
			fmt.Printf("%s  %-8s %7.3f %6.3f %8.3f %8.2f %8.2fs\n", head, k.name, k.inTime, k.worth, k.largest, k.stretch50, k.wait)
		}
	}
}

// Layout of a plot.
const (
	barWidth   = 18
	plotWidth  = 420
	plotHeight = 260
	// plotTop leaves space for the legend above the bars, plotMargin for the bars
	// of the first and the last kind.
	plotTop    = 1.3
	plotMargin = 0.6
)

// plotMeans draws the worth of each kind of workflow as bars, with one colour for
// each policy.
func plotMeans(path string, all []policyMeans) (err error) {
	defer util.Annotate(&err, "plot "+path)
	p := plot.New()
	p.Title.Text = "Worth by kind of workflow and policy"
	p.Y.Label.Text = "share of the worth earned"
	p.Y.Min, p.Y.Max = 0, plotTop
	p.Legend.Top = true
	colors := []color.Color{
		color.Gray{
			Y: 190,
		},
		color.Gray{
			Y: 120,
		},
		color.RGBA{
			R: 40,
			G: 90,
			B: 160,
			A: 255,
		},
	}
	var names []string
	for i, m := range all {
		values := plotter.Values{m.worth}
		names = []string{"all"}
		for _, k := range m.kinds {
			values = append(values, k.worth)
			names = append(names, k.name)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = colors[i%len(colors)]
		bars.Offset = vg.Points(float64(barWidth) * (float64(i) - float64(len(all)-1)/2))
		p.Add(bars)
		p.Legend.Add(m.name, bars)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -plotMargin, float64(len(names)-1)+plotMargin
	return p.Save(vg.Points(plotWidth), vg.Points(plotHeight), path)
}

package main

import (
	"flag"
	"fmt"
	"time"

	"github.com/plantainladder/plantainladder/replay"
)

// measureReplay plays a load against the dispatcher and prints what became of
// each kind of workflow.
func measureReplay(args []string) error {
	fs := flag.NewFlagSet("replay", flag.ContinueOnError)
	seeds := fs.Int("seeds", 3, "number of seeds")
	racks := fs.Int("racks", 6, "number of racks")
	workers := fs.Int("workers", 8, "workers a rack")
	times := fs.Float64("times", 0.2, "rate of arrivals; 1 is that of a fleet of 350 workers")
	burst := fs.Float64("burst", 2.4, "rate of urgent arrivals during the burst, in times")
	grey := fs.Float64("grey", 0, "part of the workers that fail, hang or are slow for 6 s")
	slow := fs.Float64("slow", 0, "part of the workers that are 6 times slower for 6 s")
	cut := fs.Float64("cut", 0, "part of the workers that are cut off for 6 s, every other one to start anew")
	if err := fs.Parse(args); err != nil {
		return err
	}
	sum := 0.0
	for seed := range uint64(*seeds) {
		d := replay.NewDeployment(seed, *racks, *workers, *times)
		d.Load.Bursts = []replay.Burst{
			{
				Queue: "urgent",
				From:  8 * time.Second,
				Until: 14 * time.Second,
				Times: *burst,
			},
		}
		w := replay.NewWorld(d.Fleet)
		plague(w, *grey, greyTroubles)
		plague(w, *slow, slowTroubles)
		plague(w, *cut, cutTroubles)
		ids := d.Load.HandIn(w, seed)
		w.Run(d.Load.Until + 15*time.Second)
		results, worth := d.Load.Summary(w, ids)
		fmt.Printf("seed %d: worth %.3f, %.0f core-seconds thrown away, %d sweeps of %v\n%s", seed, worth,
			w.Waste(), w.Sweeps(), (w.SweepTime() / time.Duration(w.Sweeps())).Round(time.Microsecond), replay.Table(results))
		for _, f := range w.Faults() {
			fmt.Println("broken:", f)
		}
		sum += worth / float64(*seeds)
	}
	fmt.Printf("mean worth %.3f\n", sum)
	return nil
}

// Troubles that workers are given in turn.
var (
	greyTroubles = []replay.Trouble{
		{
			Fails: true,
		},
		{
			Hangs: true,
		},
		{
			Slow: 6,
		},
	}
	slowTroubles = []replay.Trouble{
		{
			Slow: 6,
		},
	}
	cutTroubles = []replay.Trouble{
		{
			Cut: true,
		},
		{
			Cut:      true,
			Restarts: true,
		},
	}
)

// plague gives a part of the workers one of the troubles each, for 6 s.
func plague(w *replay.World, part float64, troubles []replay.Trouble) {
	ids := w.Workers()
	for i := range int(float64(len(ids)) * part) {
		t := troubles[i%len(troubles)]
		t.From, t.Until = 10*time.Second, 16*time.Second
		w.Plague(ids[(i*7)%len(ids)], t)
	}
}

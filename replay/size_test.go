package replay_test

import (
	"testing"
	"time"

	"github.com/plantainladder/plantainladder/replay"
)

// BenchmarkGrownFleet plays the users' grown fleet for half a minute.
func BenchmarkGrownFleet(b *testing.B) {
	for range b.N {
		d := replay.NewDeployment(1, 29, 12, 1)
		w := replay.NewWorld(d.Fleet)
		d.Load.HandIn(w, 1)
		w.Run(30 * time.Second)
		b.ReportMetric(float64(len(w.Faults())), "faults")
		b.ReportMetric(float64(w.Sweeps()), "sweeps")
		b.ReportMetric(w.SweepTime().Seconds(), "sweep-s")
	}
}

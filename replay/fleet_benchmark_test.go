package replay_test

import (
	"testing"
	"time"

	"github.com/plantainladder/plantainladder/replay"
)

// BenchmarkGrownFleet simulates half a minute of the users' fleet after its
// growth: 348 workers, at rate factor 1.
func BenchmarkGrownFleet(b *testing.B) {
	for range b.N {
		d := replay.NewScenario(1, 29, 12, 1)
		w := replay.NewSimulation(d.Fleet)
		d.Load.Submit(w, 1)
		w.Run(30 * time.Second)
		b.ReportMetric(float64(len(w.Violations())), "faults")
		b.ReportMetric(float64(w.ReconcilePasses()), "sweeps")
		b.ReportMetric(w.ReconcileTime().Seconds(), "sweep-s")
	}
}

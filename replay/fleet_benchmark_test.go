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
		sim := replay.NewSimulation(d.Fleet)
		d.Load.Submit(sim, 1)
		sim.Run(30 * time.Second)
		b.ReportMetric(float64(len(sim.Violations())), "violations")
		b.ReportMetric(float64(sim.ReconcilePasses()), "reconcile-passes")
		b.ReportMetric(sim.ReconcileTime().Seconds(), "reconcile-s")
	}
}

package node

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/pool"
)

var acceptedCommand = control.IncrementCounter{
	Name:  control.CounterCommands,
	Label: "accepted",
}

// A restarted leader increments a counter for each entry of its log, in its event loop. One
// that formats a name and looks for it in the registry each time holds up the loop.
var _ = Describe("The counters of an event loop", func() {
	var m *meters

	BeforeEach(func() {
		m = newMeters()
		DeferCleanup(metrics.UnregisterAllMetrics)
	})

	exported := func() string {
		var b bytes.Buffer
		metrics.WritePrometheus(&b, false)
		return b.String()
	}

	It("are found again without allocating", func() {
		m.increment(acceptedCommand)
		Expect(testing.AllocsPerRun(100, func() { m.increment(acceptedCommand) })).To(BeZero())
	})

	It("are exported under their name and label", func() {
		m.increment(acceptedCommand)
		m.increment(acceptedCommand)
		m.increment(control.IncrementCounter{
			Name:  control.CounterRefusals,
			Label: "new-reason",
		})
		Expect(exported()).To(ContainSubstring(`controller_commands_total{reason="accepted"} 2`))
		Expect(exported()).To(ContainSubstring(`controller_command_refusals_total{reason="new-reason"} 1`))
	})
})

// An operator learns from these that a disk fills up before writes wait.
var _ = Describe("The gauges of a data folder", func() {
	export := func(isSpaceKnown bool) string {
		DeferCleanup(metrics.UnregisterAllMetrics)
		exportDisk(func() disk.Usage {
			return disk.Usage{
				LogBytes:      120,
				SnapshotBytes: 34,
				IsFull:        true,
			}
		}, func() (s disk.Space, ok bool) {
			s.Free = 56
			return s, isSpaceKnown
		})
		var b bytes.Buffer
		metrics.WritePrometheus(&b, false)
		return b.String()
	}

	It("hold the bytes of the files, the free space and whether writes wait", func() {
		Expect(export(true)).To(And(ContainSubstring("controller_disk_log_bytes 120\n"),
			ContainSubstring("controller_disk_snapshot_bytes 34\n"), ContainSubstring("controller_disk_free_bytes 56\n"),
			ContainSubstring("controller_disk_full 1\n")))
	})

	It("leave out the free space where it is not known", func() {
		Expect(export(false)).To(And(ContainSubstring("controller_disk_full 1\n"),
			Not(ContainSubstring("controller_disk_free_bytes"))))
	})
})

// An operator sees from these how near an organisation is to its limit. A name that the
// library does not take ends the process, and one that is left over is taken for a limit.
var _ = Describe("The gauges of organisations with a limit", func() {
	It("hold the limit and the use of the resources that are limited, while there is a limit", func() {
		DeferCleanup(metrics.UnregisterAllMetrics)
		exported := func() string {
			var b bytes.Buffer
			metrics.WritePrometheus(&b, false)
			return b.String()
		}
		use := plantainladder.LimitUse{
			Organisation: "a \"b\"\n{c}",
			Limit: pool.ResourceVector{
				Accelerators: 8,
			},
			Used: pool.ResourceVector{
				MilliCores:   1000,
				Accelerators: 5,
			},
		}
		updateLimitGauges([]plantainladder.LimitUse{use})
		Expect(exported()).To(ContainSubstring(`controller_organisation_limit{organisation="a \"b\"\n{c}",resource="accelerators"} 8`))
		Expect(exported()).To(ContainSubstring(`controller_organisation_use{organisation="a \"b\"\n{c}",resource="accelerators"} 5`))
		Expect(exported()).NotTo(ContainSubstring("milli-cores"))
		updateLimitGauges(nil)
		Expect(exported()).NotTo(ContainSubstring("controller_organisation"))
	})
})

func BenchmarkIncrement(b *testing.B) {
	m := newMeters()
	defer metrics.UnregisterAllMetrics()
	b.ReportAllocs()
	for range b.N {
		m.increment(acceptedCommand)
	}
}

package node

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/member"
)

// bytesUntilSnapshot returns the size of the log when the core of a controller requests its
// first snapshot, if each command has the given size.
func bytesUntilSnapshot(cfg Config, commandBytes int) uint64 {
	core, err := newCore(cfg, "c1", disk.Recovered{})
	Expect(err).NotTo(HaveOccurred())
	now := time.Now()
	events := []control.Event{
		control.FormGroup{
			Group: "g",
			Self: member.Member{
				ID:      "c1",
				Address: "c1",
			},
		},
	}
	for range 1000 {
		for len(events) > 0 {
			var effects []control.Effect
			core, effects = core.Step(now, events[0])
			events = events[1:]
			for _, f := range effects {
				switch f := f.(type) {
				case control.SaveSnapshot:
					return core.LogBytesSinceSnapshot()
				case control.WriteLog:
					if n := len(f.Persist.Entries); n > 0 {
						events = append(events, entriesSynced(f.Persist.Entries[n-1]))
					}
				case control.ContinueApplying:
					events = append(events, control.ApplyDue{})
				}
			}
		}
		events = append(events, control.Submit{
			Command: plantainladder.SetDataCentre{
				Name: strings.Repeat("a", commandBytes),
			},
		})
	}
	return 0
}

// With a bound on the number of entries alone, large ones fill the disks of all controllers
// at the same byte.
var _ = DescribeTable("A controller compacts its log by bytes", func(diskBytes int64, want int) {
	const commandBytes = 200_000
	cfg := Config{
		SnapshotEvery: 1_000_000,
		DiskBytes:     diskBytes,
	}
	Expect(bytesUntilSnapshot(cfg, commandBytes)).To(BeNumerically("~", want+commandBytes/2, commandBytes))
},
	Entry("on a disk of unknown size", int64(0), snapshotBytes),
	Entry("on a large disk", int64(100<<30), snapshotBytes),
	Entry("on a small disk", int64(32<<20), 2<<20),
)

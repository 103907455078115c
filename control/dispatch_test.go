package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"

	plantainladder "github.com/plantainladder/plantainladder"
)

// newDispatcher returns a core that leads a group of one and dispatches.
func newDispatcher(now time.Time) control.Core {
	c := control.NewCore(control.Config{
		Codec: control.Codec{
			Encode: wire.MarshalEnvelope,
			Decode: wire.UnmarshalEnvelope,
		},
		SnapshotEvery: 1000,
		Dispatch: dispatch.Config{
			Lease: time.Second,
		},
	}, consensus.NewReplica(now, consensus.Config{
		ID:              "a",
		ElectionTimeout: time.Second,
		Heartbeat:       time.Second,
		MaxBatch:        10,
		MaxBatchBytes:   1 << 20,
		MaxUncommitted:  100,
	}, consensus.Saved{}), plantainladder.NewState())
	c, out := c.Step(now, control.Form{
		Group: "g",
		Self: member.Member{
			ID:      "a",
			Address: "1",
		},
	})
	for _, f := range out {
		w, ok := f.(control.Write)
		if !ok || len(w.Persist.Entries) == 0 {
			continue
		}
		last := w.Persist.Entries[len(w.Persist.Entries)-1]
		c, _ = c.Step(now, control.Synced{
			Index: last.Index,
			Term:  last.Term,
		})
	}
	return c
}

func announce(sequence uint64) control.Event {
	return control.Observe{
		Observation: dispatch.Reported{
			Worker: pool.Worker{
				ID:   "w",
				Born: int64(sequence),
			},
			Sequence: sequence,
		},
	}
}

func asksForWake(out []control.Effect) bool {
	for _, f := range out {
		if _, ok := f.(control.WakeAfter); ok {
			return true
		}
	}
	return false
}

var _ = Describe("A busy leader", func() {
	It("asks to be woken for what happens right after a sweep, each time anew", func() {
		now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
		c := newDispatcher(now)
		Expect(c.HasLease(now)).To(BeTrue())
		for n := range uint64(3) {
			now = now.Add(100 * time.Millisecond)
			c, _ = c.Step(now, control.Tick{})
			now = now.Add(time.Millisecond)
			var out []control.Effect
			c, out = c.Step(now, announce(n+1))
			Expect(asksForWake(out)).To(BeTrue(), "sweep %d", n)
			// A tick comes first and leaves nothing to do for the wake.
			now = now.Add(50 * time.Millisecond)
			c, _ = c.Step(now, control.Tick{})
			c, _ = c.Step(now, control.Woken{})
		}
	})
})

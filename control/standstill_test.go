package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
)

// Without a line on the time for which a controller did not run, its log does not tell
// an answer from older state from a lost entry.
var _ = Describe("A standstill", func() {
	DescribeTable("is logged with what both clocks show", func(steady, timeOfDay time.Duration, label string) {
		l := newLeader()
		at := l.now
		tick := func(steady, timeOfDay time.Duration) (logged []control.Effect) {
			l.now, at = l.now.Add(steady), at.Add(timeOfDay)
			for _, f := range l.step(control.Tick{
				TimeOfDay: at,
			}) {
				switch f := f.(type) {
				case control.LogStandstill:
					logged = append(logged, f)
				case control.IncrementCounter:
					if f.Name == control.CounterStandstills {
						logged = append(logged, f)
					}
				}
			}
			return logged
		}
		Expect(tick(time.Minute, time.Hour)).To(BeEmpty(), "the first tick follows on nothing")
		Expect(tick(50*time.Millisecond, 60*time.Millisecond)).To(BeEmpty())
		if label == "" {
			Expect(tick(steady, timeOfDay)).To(BeEmpty())
			return
		}
		Expect(tick(steady, timeOfDay)).To(ConsistOf(control.LogStandstill{
			Standstill: control.Standstill{
				Steady:    steady,
				TimeOfDay: timeOfDay,
			},
			IsLeader: true,
		}, control.IncrementCounter{
			Name:  control.CounterStandstills,
			Label: label,
		}))
		Expect(tick(50*time.Millisecond, 50*time.Millisecond)).To(BeEmpty())
	},
		Entry("of a process", 3*time.Second, 3*time.Second, control.LabelStopped),
		Entry("of a machine", 50*time.Millisecond, 3*time.Second, control.LabelSuspended),
		Entry("of nothing, with the clock set back", 50*time.Millisecond, -2*time.Second, control.LabelSetBack),
		Entry("too short to tell from load", 900*time.Millisecond, 900*time.Millisecond, ""),
	)
})

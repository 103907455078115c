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
				QueuedAt:  l.now,
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

// A tick that waited in the queue of the event loop was taken for a clock that was set back.
var _ = Describe("A late event loop", func() {
	It("is not logged as a standstill", func() {
		l := newLeader()
		queuedAt := l.now
		for _, lateBy := range []time.Duration{0, 0, 1400 * time.Millisecond, 1350 * time.Millisecond, 0} {
			queuedAt = queuedAt.Add(50 * time.Millisecond)
			l.now = queuedAt.Add(lateBy)
			Expect(l.step(control.Tick{
				TimeOfDay: queuedAt.Round(0),
				QueuedAt:  queuedAt,
			})).NotTo(ContainElement(BeAssignableToTypeOf(control.LogStandstill{})))
			Expect(l.core.MayReadLateRequests(queuedAt, queuedAt.Round(0))).To(BeFalse())
		}
	})
})

// A process that stood still reads requests that waited in its sockets. Their senders may
// have turned to another process and changed their minds.
var _ = Describe("Requests to a controller that stood still", func() {
	DescribeTable("may be late", func(steady, timeOfDay time.Duration, isLate bool) {
		l := newLeader()
		at := l.now
		tick := func(steady, timeOfDay time.Duration) {
			l.now, at = l.now.Add(steady), at.Add(timeOfDay)
			l.step(control.Tick{
				TimeOfDay: at,
				QueuedAt:  l.now,
			})
		}
		tick(0, 0)
		tick(50*time.Millisecond, 50*time.Millisecond)
		Expect(l.core.MayReadLateRequests(l.now.Add(steady), at.Add(timeOfDay))).To(Equal(isLate), "before the next tick")
		tick(steady, timeOfDay)
		Expect(l.core.MayReadLateRequests(l.now, at)).To(Equal(isLate), "after the next tick")
		for range 20 {
			tick(50*time.Millisecond, 50*time.Millisecond)
		}
		Expect(l.core.MayReadLateRequests(l.now, at)).To(BeFalse(), "a second later")
	},
		Entry("after a stop of the process", 4*time.Second, 4*time.Second, true),
		Entry("after a suspension of the machine", time.Duration(0), 4*time.Second, true),
		Entry("but not after a tick that was late by less than senders wait", 900*time.Millisecond, 900*time.Millisecond, false),
		Entry("but not after the time of day was set back", 50*time.Millisecond, -2*time.Second, false),
	)
})

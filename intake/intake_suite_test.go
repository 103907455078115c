package intake

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns a time some milliseconds after the start.
func after(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

var _ = Describe("The deadline of a body", func() {
	limits := Limits{
		BodyGrace:    3 * time.Second,
		BodyRate:     64 << 10,
		BodyTimeout:  5 * time.Second,
		StallTimeout: 2 * time.Second,
	}

	// A consumer has 3 s for a call over a link of 1.5 Mbit/s.
	It("lets the largest body of the slowest legal link arrive", func() {
		p := NewProgress(start)
		const bytesPerMs = 1_500_000 / 8 / 1000
		for ms := 1; p.Received() < 256<<10; ms++ {
			Expect(after(ms)).To(BeTemporally("<", limits.Deadline(p)))
			p = p.WithBytes(bytesPerMs, after(ms))
		}
	})

	DescribeTable("is the earliest of all limits", func(received, lastMs, wantMs int) {
		p := NewProgress(start).WithBytes(received, after(lastMs))
		Expect(limits.Deadline(p)).To(Equal(after(wantMs)))
	},
		Entry("without progress", 0, 0, 2000),
		Entry("at too low a rate", 0, 2900, 3000),
		Entry("at the lowest rate", 64<<10, 3000, 4000),
		Entry("at any rate", 10<<20, 4500, 5000),
	)

	It("is none without limits", func() {
		Expect(Limits{}.Deadline(NewProgress(start))).To(BeZero())
	})
})

// Bodies of one byte every 200 ms once kept all other clients out at the limit of connections.
var _ = Describe("A body that trickles", func() {
	limits := Limits{
		BodyRate: 64 << 10,
	}

	DescribeTable("is slow", func(received, nowMs int, want bool) {
		p := NewProgress(start).WithBytes(received, after(nowMs))
		Expect(limits.IsSlow(p, after(nowMs))).To(Equal(want))
	},
		Entry("not as long as a lost packet may be the reason", 1, 900, false),
		Entry("then, although it has just made progress", 6, 1200, true),
		Entry("not at the lowest rate", 128<<10, 2000, false),
	)

	It("is not slow without a lowest rate", func() {
		Expect(Limits{}.IsSlow(NewProgress(start), after(5000))).To(BeFalse())
	})
})

var _ = Describe("Room for a body", func() {
	holders := []holder{
		{
			bytes:  10,
			lastAt: after(300),
		},
		{
			bytes:  10,
			lastAt: after(100),
		},
		{
			bytes:  10,
			lastAt: after(900),
		},
	}

	DescribeTable("is made by giving up the bodies that have stalled longest, and no others",
		func(free, wanted int, want decision) {
			Expect(makeRoom(int64(free), int64(wanted), holders, after(1000))).To(Equal(want))
		},
		Entry("nobody if it fits", 5, 5, accept{}),
		Entry("the one longest without progress", 5, 10, evict{
			victims: []int{1},
		}),
		Entry("as many as it takes", 0, 20, evict{
			victims: []int{1, 0},
		}),
		Entry("nobody if those that have stalled are not enough", 0, 21, refuse{}),
	)
})

var _ = Describe("The victim at the limit of connections", func() {
	connection := func(p Phase, lastMs int) Connection {
		return Connection{
			Phase:  p,
			LastAt: after(lastMs),
		}
	}

	DescribeTable("is", func(want int, list ...Connection) {
		Expect(Victim(list, after(10_000))).To(Equal(want))
	},
		Entry("the one that has waited longest", 1, connection(Waiting, 200), connection(Waiting, 100), connection(Waiting, 9990)),
		Entry("an idle one before a busy one", 1, connection(ReadingBody, 100), connection(Waiting, 5000)),
		Entry("a stalled body rather than the one just accepted", 0, connection(ReadingBody, 100), connection(Waiting, 10_000)),
		Entry("an answer that is not read rather than the one just accepted", 0, connection(Writing, 100), connection(Waiting, 10_000)),
		Entry("the one just accepted if the others make progress", 2, connection(ReadingBody, 9900), connection(Writing, 9900), connection(Waiting, 10_000)),
		Entry("never one that is running", 1, connection(Running, 0), connection(Waiting, 10_000)),
		Entry("a body below the lowest rate rather than the one just accepted", 0, Connection{
			Phase:  ReadingBody,
			LastAt: after(9900),
			IsSlow: true,
		}, connection(Waiting, 10_000)),
		Entry("none if all are running", -1, connection(Running, 0), connection(Running, 0)),
	)
})

var _ = Describe("A budget", func() {
	// open returns a body of which a number of bytes beyond the free part has arrived.
	open := func(b *Budget, bytes, ms int, giveUp func()) (c *Charge, fits bool) {
		p := NewProgress(after(ms)).WithBytes(FreeBytes+bytes, after(ms))
		c = b.Open(p, giveUp)
		return c, c.Grow(p, after(ms))
	}
	ignore := func() {}

	It("gets back what bodies were charged for, once", func() {
		b := NewBudget(4 * quantum)
		c, fits := open(b, quantum+1, 0, ignore)
		Expect(fits).To(BeTrue())
		Expect(b.Used()).To(BeEquivalentTo(2 * quantum))
		c.Release()
		c.Release()
		Expect(b.Used()).To(BeZero())
	})

	It("refuses a body that does not fit beside others that make progress, and charges it for nothing", func() {
		b := NewBudget(4 * quantum)
		open(b, 3*quantum, 0, ignore)
		_, fits := open(b, 2*quantum, 100, ignore)
		Expect(fits).To(BeFalse())
		Expect(b.Used()).To(BeEquivalentTo(3 * quantum))
	})

	It("gives a stalled body up for another one, once", func() {
		b := NewBudget(4 * quantum)
		givenUp := 0
		stalled, _ := open(b, 3*quantum, 0, func() { givenUp++ })
		_, fits := open(b, 2*quantum, 1000, ignore)
		Expect(fits).To(BeTrue())
		Expect(givenUp).To(Equal(1))
		Expect(stalled.Grow(NewProgress(start).WithBytes(1, start), after(1000))).To(BeFalse())
		Expect(stalled.Complete()).To(BeFalse())
		stalled.Release()
		Expect(b.Used()).To(BeEquivalentTo(2 * quantum))
	})

	// Its call may have had effects.
	It("does not give a complete body up", func() {
		b := NewBudget(4 * quantum)
		whole, _ := open(b, 3*quantum, 0, ignore)
		Expect(whole.Complete()).To(BeTrue())
		_, fits := open(b, 2*quantum, 1000, ignore)
		Expect(fits).To(BeFalse())
	})

	// Pings and most jobs are smaller: strangers must not keep them out.
	It("always has room for a small body", func() {
		b := NewBudget(quantum)
		open(b, quantum, 0, ignore)
		_, fits := open(b, 0, 0, ignore)
		Expect(fits).To(BeTrue())
	})
})

package controller

import (
	"context"
	"math"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/rpc"
)

const (
	ms       = time.Millisecond
	patience = 2900 * ms
)

var (
	epoch     = time.Unix(1_000_000, 0)
	addresses = []string{"a", "b", "c"}
)

func notSent(cause error) error {
	return &rpc.NoReplyError{
		Cause: cause,
	}
}

// A history is what the calls of a front have shown since a time.
type history struct {
	contact contact
	record  callRecord
	latest  Cause
}

// withCalls returns h after a call to each controller that ended after d.
func (h history) withCalls(d time.Duration, answer reply, err error) history {
	for _, a := range addresses {
		call := finishedCall{
			address:   a,
			answer:    answer,
			err:       err,
			startedAt: epoch.Add(d - 200*ms),
			took:      200 * ms,
		}
		h.contact = h.contact.withCall(call, epoch.Add(d))
		if h.latest = call.cause(); h.latest != nil {
			h.record = h.record.withCall(call)
		}
	}
	return h
}

func (h history) isHopeless(p purpose, at, held, left time.Duration) bool {
	return outlook{
		purpose:   p,
		now:       epoch.Add(at),
		held:      held,
		left:      left,
		addresses: addresses,
		contact:   h.contact,
		record:    h.record,
		latest:    h.latest,
	}.isHopeless()
}

var _ = Describe("A call", func() {
	var led history

	BeforeEach(func() {
		led = history{}.withCalls(0, reply{
			isLeaders: true,
		}, nil)
		led.record.cause = &NotCalledError{}
	})

	// The load: all controllers are down for 2.5 s under a burst.
	It("ends soon if no controller is there, unless one may have accepted it", func() {
		down := led.withCalls(2000*ms, reply{}, notSent(syscall.ECONNREFUSED))
		down.contact = down.contact.withCall(finishedCall{
			address:   "a",
			err:       notSent(syscall.ECONNREFUSED),
			startedAt: epoch.Add(3100 * ms),
			took:      ms,
		}, epoch.Add(3100*ms))
		Expect(down.isHopeless(change{}, 2100*ms, 100*ms, patience)).To(BeFalse(), "a restart may be short")
		Expect(down.isHopeless(change{}, 2100*ms, 100*ms, 400*ms)).To(BeTrue(), "too short for an election")
		Expect(down.isHopeless(change{}, 2600*ms, 600*ms, patience)).To(BeTrue(), "it was held")
		Expect(down.isHopeless(change{}, 3100*ms, ms, patience)).To(BeTrue(), "they are away for longer than an election takes")
		Expect(down.isHopeless(read{}, 3100*ms, ms, patience)).To(BeTrue())
		Expect(down.isHopeless(upkeep{}, 3100*ms, ms, patience)).To(BeFalse())
		down.record.isSent = true
		Expect(down.isHopeless(change{}, 3100*ms, ms, patience)).To(BeFalse(), "it may have been accepted")
		Expect(down.isHopeless(read{}, 3100*ms, ms, patience)).To(BeTrue(), "it changes nothing")
	})

	It("waits for the election of controllers that have come back", func() {
		back := led.withCalls(2000*ms, reply{}, notSent(syscall.ECONNREFUSED)).withCalls(2500*ms, reply{}, nil)
		Expect(back.isHopeless(change{}, 3600*ms, 1100*ms, patience)).To(BeFalse())
		Expect(back.isHopeless(change{}, 3800*ms, 1300*ms, patience)).To(BeTrue(), "the election is overdue")
		Expect(back.isHopeless(change{}, 3800*ms, 10*ms, patience)).To(BeFalse(), "it may end any moment")
	})

	// The load: one controller is frozen, and it was the leader.
	It("waits for the election of the others, and does not follow them to the frozen one", func() {
		h := led
		frozen := finishedCall{
			address: "a",
			err: &rpc.NoReplyError{
				Sent:  true,
				Cause: context.Canceled,
			},
			startedAt: epoch.Add(100 * ms),
			took:      750 * ms,
		}
		h.contact = h.contact.withCall(frozen, epoch.Add(850*ms))
		h.latest = frozen.cause()
		Expect(h.isHopeless(read{}, 900*ms, 800*ms, patience)).To(BeFalse())
		isAvoided := func(address string) bool { return h.contact.isAvoided(address, epoch.Add(900*ms)) }
		s := newSearch("a", addresses, isAvoided)
		Expect(s.address).To(Equal("b"))
		Expect(s.withRedirect("a", addresses, isAvoided).address).To(Equal("c"))
		Expect(s.withRedirect("c", addresses, isAvoided).address).To(Equal("c"))
		isLater := func(address string) bool { return h.contact.isAvoided(address, epoch.Add(1200*ms)) }
		Expect(newSearch("a", addresses, isLater).address).To(Equal("a"))
	})

	It("goes on to a controller whose reply is late, since it may be a leader with a slow disk", func() {
		c := led.contact.withCall(finishedCall{
			address: "a",
			err: &rpc.NoReplyError{
				Sent:  true,
				Cause: context.DeadlineExceeded,
			},
			startedAt: epoch.Add(100 * ms),
			took:      900 * ms,
		}, epoch.Add(1000*ms))
		Expect(c.isAvoided("a", epoch.Add(1010*ms))).To(BeFalse())
	})

	// The load: a leader that commits nothing.
	It("ends after a short time if the leader accepts nothing", func() {
		stalled := led.withCalls(2000*ms, reply{
			refusal: &CommitStalledError{},
		}, nil)
		Expect(stalled.isHopeless(change{}, 2100*ms, 100*ms, patience)).To(BeFalse())
		Expect(stalled.isHopeless(change{}, 2400*ms, 400*ms, patience)).To(BeTrue())
		Expect(stalled.isHopeless(upkeep{}, 2400*ms, 400*ms, patience)).To(BeFalse())
		stalled.record.isSent = true
		Expect(stalled.isHopeless(change{}, 2400*ms, 400*ms, patience)).To(BeFalse(), "another may have accepted it")
	})

	It("that changes something is not sent once more just before it ends", func() {
		h := led.withCalls(500*ms, reply{}, nil)
		Expect(h.isHopeless(change{}, 600*ms, 100*ms, 200*ms)).To(BeTrue())
		Expect(h.isHopeless(read{}, 600*ms, 100*ms, 200*ms)).To(BeFalse())
		h = led.withCalls(500*ms, reply{
			redirect: "b",
		}, nil)
		Expect(h.isHopeless(change{}, 600*ms, 100*ms, 200*ms)).To(BeFalse(), "the leader is known")
		Expect(h.isHopeless(change{}, 600*ms, 100*ms, math.MaxInt64)).To(BeFalse())
	})

	It("has a short first attempt only if it changes nothing", func() {
		Expect(timeoutOf(read{}, 0)).To(Equal(350 * ms))
		Expect(timeoutOf(read{}, 1)).To(Equal(700 * ms))
		Expect(timeoutOf(read{}, 64)).To(Equal(callTimeout))
		Expect(timeoutOf(change{}, 0)).To(Equal(callTimeout))
	})
})

// If all fronts report that they are not ready, the balancer answers with 502, after which
// callers have to take their jobs for accepted.
var _ = Describe("A group of controllers", func() {
	DescribeTable("has no leader for any front", func(answer reply, err error, isLeaderless bool) {
		h := history{}.withCalls(0, answer, err)
		Expect(h.contact.isLeaderless(addresses, epoch.Add(time.Second))).To(Equal(isLeaderless))
		Expect(h.contact.isLeaderless(addresses, epoch.Add(5*time.Second))).To(BeFalse(), "too long ago")
		withOthers := append([]string{"d", "e", "f"}, addresses...)
		Expect(h.contact.isLeaderless(withOthers, epoch.Add(time.Second))).To(BeFalse(), "half of them are no majority")
	},
		Entry("if they follow nobody", reply{}, nil, true),
		Entry("if their machines refuse connections", reply{}, notSent(syscall.ECONNREFUSED), true),
		Entry("not if this process is cut off", reply{}, notSent(context.DeadlineExceeded), false),
		Entry("not if they name a leader, which only this process may not reach", reply{
			redirect: "d",
		}, nil, false),
		Entry("not if one leads", reply{
			isLeaders: true,
		}, nil, false),
	)
})

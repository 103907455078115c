package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/datacentre"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var epoch = time.Unix(1_700_000_000, 0)

func contractOf(organisation string, guaranteed int) plantainladder.Versioned[contract.Contract] {
	return plantainladder.Versioned[contract.Contract]{
		Index: 1,
		Value: contract.Contract{
			Organisation:    organisation,
			GuaranteedSlots: guaranteed,
			CeilingSlots:    100,
			Classes:         contract.Classes(),
		},
	}
}

// pollReply returns a leader's reply that grants all slots of the given
// minions.
func pollReply(index uint64, slots map[string]int, contracts ...plantainladder.Versioned[contract.Contract]) admission.PollReplyReceived {
	e := admission.PollReplyReceived{
		SentAt: epoch,
		Reply: control.PollReply{
			Leader:    true,
			Index:     index,
			Contracts: contracts,
			Grant: lease.Grant{
				Sequence: index,
				Units:    map[lease.Resource]int{},
			},
		},
	}
	for name, n := range slots {
		e.Reply.Grant.Units[lease.MinionSlots(name)] = n
		e.Reply.Minions = append(e.Reply.Minions, control.RelayedAnnouncement{
			Announcement: minion.Announcement{
				Name:       name,
				DataCentre: "dc-" + name,
				Slots:      n,
			},
		})
	}
	for _, c := range contracts {
		e.Reply.Grant.Units[lease.OrganisationRequests(c.Value.Organisation)] = 100
	}
	return e
}

func newRequest(token uint64, organisation string, c admission.Class, idempotent bool) admission.RequestReceived {
	return admission.RequestReceived{
		Request: admission.Request{
			Token:        token,
			Organisation: organisation,
			Class:        c,
			Deadline:     epoch.Add(2 * time.Second),
			Idempotent:   idempotent,
		},
	}
}

// A gateway steps a state and collects the effects.
type gateway struct {
	state   admission.State
	effects []admission.Effect
}

func newGateway(events ...admission.Event) *gateway {
	g := &gateway{
		state: admission.NewState(admission.Config{
			Gateway:   "g1",
			MaxQueued: 100,
		}),
	}
	for _, e := range events {
		g.step(0, e)
	}
	return g
}

// step applies an event at a time after the epoch and returns its effects.
func (g *gateway) step(at time.Duration, e admission.Event) []admission.Effect {
	var out []admission.Effect
	g.state, out = g.state.Step(epoch.Add(at), e)
	g.effects = append(g.effects, out...)
	return out
}

func startedTokens(effects []admission.Effect) []uint64 {
	var tokens []uint64
	for _, f := range effects {
		if s, ok := f.(admission.Start); ok {
			tokens = append(tokens, s.Token)
		}
	}
	return tokens
}

func firstRefusal(effects []admission.Effect) admission.Reason {
	for _, f := range effects {
		if r, ok := f.(admission.Refuse); ok {
			return r.Reason
		}
	}
	return ""
}

var _ = Describe("State", func() {
	oneSlot := map[string]int{
		"m1": 1,
	}

	It("starts no request without a valid lease and refuses the queued ones", func() {
		g := newGateway(pollReply(5, oneSlot, contractOf("o", 0)))
		g.step(0, newRequest(1, "o", admission.Normal{}, true))
		g.step(0, newRequest(2, "o", admission.Normal{}, true))
		Expect(startedTokens(g.effects)).To(Equal([]uint64{1}))
		Expect(firstRefusal(g.step(lease.ViewDuration, admission.Tick{}))).To(Equal(admission.RefusedViewExpired))
		Expect(firstRefusal(g.step(lease.ViewDuration, newRequest(3, "o", admission.Normal{}, true)))).To(Equal(admission.RefusedViewExpired))
	})

	It("applies neither the view nor the lease of an older reply", func() {
		g := newGateway(pollReply(5, oneSlot, contractOf("o", 0)))
		older := pollReply(4, oneSlot)
		older.SentAt = epoch.Add(time.Hour)
		g.step(0, older)
		Expect(g.state.View().Index()).To(Equal(uint64(5)))
		Expect(g.state.Lease().IsValid(epoch.Add(time.Hour))).To(BeFalse())
	})

	It("starts urgent requests first, whatever arrived before", func() {
		g := newGateway(pollReply(1, oneSlot, contractOf("o", 0)))
		for i, c := range []admission.Class{admission.Normal{}, admission.Batch{}, admission.Normal{}, admission.Urgent{}} {
			r := newRequest(uint64(i+1), "o", c, true)
			if _, batch := c.(admission.Batch); batch {
				r.Request.Deadline = epoch.Add(time.Minute)
			}
			g.step(0, r)
		}
		for _, token := range []uint64{1, 4, 3} {
			g.step(0, admission.RequestFinished{
				Token:  token,
				Result: admission.Answered{},
			})
		}
		Expect(startedTokens(g.effects)).To(Equal([]uint64{1, 4, 3, 2}))
	})

	It("shares slots by guarantee rather than by order of arrival", func() {
		g := newGateway(pollReply(1, map[string]int{
			"m1": 4,
		}, contractOf("large", 3), contractOf("small", 1)))
		for i := range 8 {
			g.step(0, newRequest(uint64(10+i), "small", admission.Normal{}, false))
		}
		Expect(startedTokens(g.effects)).To(Equal([]uint64{10}), "requests that cannot be revoked leave the guarantees of others free")
		for i := range 3 {
			g.step(0, newRequest(uint64(20+i), "large", admission.Normal{}, false))
		}
		Expect(startedTokens(g.effects)).To(Equal([]uint64{10, 20, 21, 22}))
	})

	It("revokes the batch request that borrowed a slot last for a request within its guarantee", func() {
		g := newGateway(pollReply(1, map[string]int{
			"m1": 2,
		}, contractOf("owner", 1), contractOf("guest", 0)))
		g.step(0, newRequest(1, "guest", admission.Batch{}, true))
		g.step(time.Millisecond, newRequest(2, "guest", admission.Batch{}, true))
		out := g.step(2*time.Millisecond, newRequest(3, "owner", admission.Urgent{}, false))
		Expect(out).To(Equal([]admission.Effect{
			admission.Revoke{
				Token: 2,
			},
		}))
		// The minion has to notice the closed connection before its slot is
		// given to another request.
		out = g.step(3*time.Millisecond, admission.RequestFinished{
			Token:  2,
			Result: admission.Abandoned{},
		})
		Expect(out).To(BeEmpty())
		Expect(g.step(102*time.Millisecond, admission.Tick{})).To(BeEmpty())
		Expect(startedTokens(g.step(103*time.Millisecond, admission.Tick{}))).To(Equal([]uint64{3}))
	})

	It("starts no request in a data centre that is out of service or on a minion that is leaving", func() {
		out := pollReply(2, oneSlot, contractOf("o", 0))
		out.Reply.DataCentres = []plantainladder.Versioned[datacentre.DataCentre]{
			{
				Index: 2,
				Value: datacentre.DataCentre{
					Name:         "dc-m1",
					OutOfService: true,
				},
			},
		}
		g := newGateway(out)
		Expect(startedTokens(g.step(0, newRequest(1, "o", admission.Urgent{}, true)))).To(BeEmpty())
		leaving := pollReply(1, oneSlot, contractOf("o", 0))
		leaving.Reply.Minions[0].Announcement.Leaving = true
		g = newGateway(leaving)
		Expect(startedTokens(g.step(0, newRequest(1, "o", admission.Urgent{}, true)))).To(BeEmpty())
	})

	It("backs off from a failing minion for longer each time", func() {
		g := newGateway(pollReply(1, oneSlot, contractOf("o", 0)))
		var gaps []time.Duration
		last, at := time.Duration(0), time.Duration(0)
		for token := uint64(1); len(gaps) < 4; at += 10 * time.Millisecond {
			renewed := pollReply(1, oneSlot, contractOf("o", 0))
			renewed.SentAt = epoch.Add(at)
			renewed.Reply.Minions[0].Announcement.Sequence = token + uint64(at)
			g.step(at, renewed)
			r := newRequest(token, "o", admission.Normal{}, true)
			r.Request.Deadline = epoch.Add(at + time.Minute)
			if len(startedTokens(g.step(at, r))) > 0 {
				gaps = append(gaps, at-last)
				last = at
				g.step(at, admission.RequestFinished{
					Token:  token,
					Result: admission.Failed{},
				})
			} else {
				g.step(at, admission.CancelRequest{
					Token: token,
				})
			}
			token++
		}
		Expect(gaps[2]).To(BeNumerically(">", gaps[1]))
		Expect(gaps[3]).To(BeNumerically(">", gaps[2]))
	})

	It("gives a hedge to a minion that has a silent copy only if no other minion may be given it", func() {
		reply := pollReply(1, map[string]int{
			"m1": 2,
			"m2": 1,
		}, contractOf("o", 0))
		hedge := newRequest(1, "o", admission.Normal{}, true)
		hedge.Request.IsHedge = true
		hedge.Request.AvoidedMinions = []string{"m1"}
		g := newGateway(reply)
		Expect(g.step(0, hedge)).To(ConsistOf(HaveField("Minion", "m2")))
		hedge.Request.Token = 2
		Expect(g.step(0, hedge)).To(BeEmpty(), "waits for the slot of the other minion")
		g = newGateway(reply)
		hedge.Request.AvoidedMinions = []string{"m1", "m2"}
		Expect(g.step(0, hedge)).To(ConsistOf(HaveField("Minion", Not(BeEmpty()))))
		g = newGateway(reply)
		hedge.Request.AvoidedMinions, hedge.Request.ExcludedMinions = []string{"m1"}, []string{"m2"}
		Expect(g.step(0, hedge)).To(ConsistOf(HaveField("Minion", "m1")))
		hedge.Request.Token = 3
		hedge.Request.ExcludedMinions = []string{"m1", "m2"}
		Expect(g.step(0, hedge)).To(BeEmpty(), "never where a copy failed")
	})

	It("does not let a request that only certain minions may be given hold up its queue", func() {
		g := newGateway(pollReply(1, map[string]int{
			"m1": 2,
		}, contractOf("o", 0)))
		retry := newRequest(1, "o", admission.Normal{}, true)
		retry.Request.IsRetry = true
		retry.Request.ExcludedMinions = []string{"m1"}
		retry.Request.Deadline = epoch.Add(time.Second)
		g.step(0, retry)
		g.step(0, newRequest(2, "o", admission.Normal{}, true))
		g.step(0, newRequest(3, "o", admission.Normal{}, true))
		g.step(0, newRequest(4, "o", admission.Normal{}, true))
		Expect(startedTokens(g.effects)).To(Equal([]uint64{2, 3}))
		Expect(g.state.QueuedCount()).To(Equal(2))
	})

	It("refuses retries beyond the retry budget", func() {
		g := newGateway(pollReply(1, map[string]int{
			"m1": 100,
		}, contractOf("o", 0)))
		refused := 0
		for i := range 30 {
			r := newRequest(uint64(i+1), "o", admission.Normal{}, true)
			r.Request.IsRetry = true
			if firstRefusal(g.step(0, r)) == admission.RefusedRetryBudgetSpent {
				refused++
			}
		}
		Expect(refused).To(Equal(20))
	})

	It("refuses a request at once if it cannot be answered in time", func() {
		g := newGateway(pollReply(1, oneSlot, contractOf("o", 0)))
		g.step(0, newRequest(1, "o", admission.Normal{}, true))
		g.step(time.Second, admission.RequestFinished{
			Token:  1,
			Result: admission.Answered{},
		})
		g.step(time.Second, newRequest(2, "o", admission.Normal{}, true))
		Expect(firstRefusal(g.step(1500*time.Millisecond, newRequest(3, "o", admission.Normal{}, true)))).
			To(Equal(admission.RefusedWouldMissDeadline))
	})
})

func BenchmarkRequest(b *testing.B) {
	slots := map[string]int{}
	for i := range 50 {
		slots[fmt.Sprint("m", i)] = 8
	}
	g := newGateway(pollReply(1, slots, contractOf("o", 0)))
	token := uint64(0)
	for b.Loop() {
		token++
		g.effects = nil
		g.step(0, newRequest(token, "o", admission.Normal{}, true))
		g.step(0, admission.RequestFinished{
			Token:  token,
			Result: admission.Answered{},
		})
	}
}

package formation_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/formation"
	"github.com/plantainladder/plantainladder/member"
)

func TestFormation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "formation")
}

// controller drives the Formation of one controller of five, three of them founders.
type controller struct {
	formation formation.Formation
	now       time.Time
}

func newController(address string, stored formation.Stored) *controller {
	now := time.Unix(1_700_000_000, 0)
	return &controller{
		now: now,
		formation: formation.New(now, formation.Config{
			Self:   newMember(address),
			Voters: 5,
			Group:  "group of " + address,
		}, stored),
	}
}

func newMember(address string) member.Member {
	return member.Member{
		ID:      "id of " + address,
		Address: address,
	}
}

func storedAt(founder int) formation.Stored {
	return formation.Stored{
		Founders: []string{"a", "b", "c"},
		Founder:  founder,
	}
}

func (c *controller) step(e formation.Event) (effects []formation.Effect) {
	c.formation, effects = c.formation.Step(c.now, e)
	return effects
}

func (c *controller) receive(from int, body formation.Body) []formation.Effect {
	return c.step(formation.MessageReceived{
		Message: formation.Message{
			From: from,
			Body: body,
		},
	})
}

// introduce lets another controller introduce itself.
func (c *controller) introduce(from int, address string) []formation.Effect {
	return c.receive(from, formation.Introduce{
		Member: newMember(address),
	})
}

// only returns the effects of one type.
func only[T formation.Effect](effects []formation.Effect) (list []T) {
	for _, f := range effects {
		if t, ok := f.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

var _ = Describe("A founder", func() {
	It("starts no attempt with fewer controllers than a first group needs", func() {
		c := newController("a", storedAt(0))
		for range 60 {
			c.now = c.now.Add(time.Second)
			c.introduce(1, "b")
			Expect(only[formation.Save](c.step(formation.Tick{}))).To(BeEmpty())
		}
		c.introduce(1, "b")
		c.introduce(2, "c")
		Expect(only[formation.Save](c.step(formation.Tick{}))).To(HaveLen(1))
	})

	It("sends its ballot only once it is stored, and uses another one after a restart", func() {
		c := newController("a", storedAt(0))
		for i, address := range []string{"b", "c", "d", "e"} {
			c.introduce(i+1, address)
		}
		saves := only[formation.Save](c.step(formation.Tick{}))
		Expect(saves).To(HaveLen(1))
		Expect(saves[0].Then).To(HaveLen(3))
		first := saves[0].Stored.Promised
		c = newController("a", saves[0].Stored)
		for i, address := range []string{"b", "c", "d", "e"} {
			c.introduce(i+1, address)
		}
		saves = only[formation.Save](c.step(formation.Tick{}))
		Expect(saves).To(HaveLen(1))
		Expect(first.IsBefore(saves[0].Stored.Promised)).To(BeTrue())
	})

	It("refuses a lower ballot than it has promised, also after a restart", func() {
		c := newController("b", storedAt(1))
		high := formation.Ballot{
			Round:   2,
			Founder: 2,
		}
		saves := only[formation.Save](c.receive(2, formation.Prepare{
			Ballot: high,
		}))
		Expect(saves).To(HaveLen(1))
		c = newController("b", saves[0].Stored)
		low := formation.Ballot{
			Round:   2,
			Founder: 0,
		}
		sent := only[formation.Send](c.receive(0, formation.Accept{
			Ballot: low,
		}))
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Message.Body).To(Equal(formation.Refused{
			Ballot:   low,
			Promised: high,
		}))
	})

	// An attempt takes longer than the first backoff if the disks are slow.
	It("leaves the others more time with each attempt of theirs", func() {
		c := newController("a", storedAt(0))
		var waits []time.Duration
		for round := range uint64(6) {
			c.receive(1, formation.Prepare{
				Ballot: formation.Ballot{
					Round:   10 * (round + 1),
					Founder: 1,
				},
			})
			yieldedAt := c.now
			for attempts := 0; attempts == 0; {
				c.now = c.now.Add(50 * time.Millisecond)
				for i, address := range []string{"b", "c", "d", "e"} {
					c.introduce(i+1, address)
				}
				attempts = len(only[formation.Save](c.step(formation.Tick{})))
			}
			waits = append(waits, c.now.Sub(yieldedAt))
		}
		Expect(waits).To(HaveExactElements(500*time.Millisecond, time.Second, 2*time.Second, 4*time.Second, 8*time.Second, 8*time.Second))
	})

	It("proposes the group that another founder has accepted already", func() {
		c := newController("a", storedAt(0))
		for i, address := range []string{"b", "c", "d", "e"} {
			c.introduce(i+1, address)
		}
		ballot := only[formation.Save](c.step(formation.Tick{}))[0].Stored.Promised
		accepted := member.Set{
			Group: "other",
		}.WithMember(newMember("b").WithVoter())
		c.receive(1, formation.Promise{
			Ballot: ballot,
			Accepted: formation.Ballot{
				Round:   1,
				Founder: 1,
			},
			Group: accepted,
		})
		sent := only[formation.Send](c.receive(2, formation.Promise{
			Ballot: ballot,
		}))
		Expect(sent).To(HaveLen(3))
		Expect(sent).To(HaveEach(HaveField("Message.Body", formation.Accept{
			Ballot: ballot,
			Group:  accepted,
		})))
	})
})

var _ = Describe("A controller that has lost its disk", func() {
	It("takes no part and says so, unless it belongs to a group", func() {
		c := newController("a", formation.Stored{})
		for _, body := range []formation.Body{formation.Prepare{}, formation.Accept{}} {
			Expect(c.receive(1, body)).To(BeEmpty())
		}
		sent := only[formation.Send](c.introduce(1, "b"))
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Message.Body).To(Equal(formation.NoPart{}))
		c.step(formation.Tick{
			HasGroup: true,
		})
		Expect(c.introduce(1, "b")).To(BeEmpty())
	})

	It("is not taken for the voter that it was before", func() {
		c := newController("a", formation.Stored{})
		Expect(c.receive(1, formation.Chosen{
			Group: member.Set{
				Group: "g",
			}.WithMember(member.Member{
				ID:      "earlier id",
				Address: "a",
				Voter:   true,
			}),
		})).To(BeEmpty())
	})
})

var _ = Describe("The log", func() {
	It("says that an operator is needed once most founders have lost their disks, a line every few seconds", func() {
		c := newController("d", storedAt(formation.NoFounder))
		var records []formation.Record
		for range 20 * 10 {
			c.now = c.now.Add(100 * time.Millisecond)
			for founder := range 2 {
				c.receive(formation.NoFounder, formation.NoPart{
					Founder: founder,
				})
			}
			for _, l := range only[formation.Log](c.step(formation.Tick{})) {
				records = append(records, l.Record)
			}
		}
		Expect(len(records)).To(BeNumerically("~", 4, 1))
		Expect(records).To(HaveEach(HaveField("NeedsOperator", true)))
		Expect(records[0].LostFounders).To(Equal([]string{"a", "b"}))
	})
})

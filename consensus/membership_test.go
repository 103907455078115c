package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

const (
	// groupVoters is the configured number of voters, of which maxLost may be lost
	// at once.
	groupVoters = 5
	maxLost     = 2
	// joinInterval is the time between two requests of a controller to join, and
	// joinSilence and deadTimeout are as in the controllers.
	joinInterval = 300 * time.Millisecond
	joinSilence  = 2 * time.Second
	deadTimeout  = 6 * time.Second
	// wholeWithin is how long after the last fault the group may take to be whole:
	// twice the time after which a member may be replaced, and three seconds.
	wholeWithin = 15 * time.Second
)

// A group is a cluster whose hosts join and replace each other without an operator.
type group struct {
	*cluster
	rng *rand.Rand
	// addresses holds the addresses of the hosts by identity; a host that has lost its
	// disk comes back at its address with another identity.
	addresses map[string]string
	created   int
	commands  int
}

func newGroup(seed uint64) *group {
	g := &group{
		cluster:   newCluster(groupVoters, config("")),
		rng:       rand.New(rand.NewPCG(seed, 17)),
		addresses: map[string]string{},
		created:   groupVoters,
	}
	for _, id := range g.ids() {
		g.addresses[id] = id
	}
	g.step(g.hosts["c1"], consensus.FormGroup{
		Group: "g",
		Self: member.Member{
			ID:      "c1",
			Address: "c1",
		},
	})
	g.runUntilWhole()
	return g
}

// addNew adds a host with an empty disk at an address, or at one of its own if that is
// empty.
func (g *group) addNew(address string) string {
	g.created++
	id := fmt.Sprintf("c%02d", g.created)
	if address == "" {
		address = id
	}
	g.addresses[id] = address
	g.addHost(id)
	return id
}

// removeForGood removes a host with its disk.
func (g *group) removeForGood(id string) {
	delete(g.hosts, id)
	delete(g.addresses, id)
	g.heal(id)
}

// cutOff blocks the messages of a host to and from all others, or in one direction.
func (g *group) cutOff(id string, isOutbound, isInbound bool) {
	for _, other := range g.ids() {
		if other != id {
			g.blockedPaths[[2]string{id, other}] = isOutbound
			g.blockedPaths[[2]string{other, id}] = isInbound
		}
	}
}

func (g *group) heal(id string) {
	for pair := range g.blockedPaths {
		if pair[0] == id || pair[1] == id {
			delete(g.blockedPaths, pair)
		}
	}
}

// run lets time pass. Hosts that are no members ask the leader to join.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.runWithoutFaults(joinInterval)
		for _, id := range g.ids() {
			g.requestJoin(id)
		}
	}
}

func (g *group) requestJoin(id string) {
	h, l := g.hosts[id], g.leader()
	isCut := l == nil || g.blockedPaths[[2]string{id, l.id}] || g.blockedPaths[[2]string{l.id, id}]
	if !h.alive || isCut || h.replica.IsMember(g.now, joinSilence) {
		return
	}
	joiner := member.Member{
		ID:      id,
		Address: g.addresses[id],
	}
	change, ok := l.replica.Members().JoinChange(joiner, groupVoters, func(id string) bool {
		return l.replica.IsSilent(g.now, id, deadTimeout)
	})
	if ok {
		g.step(l, consensus.ChangeMembers{
			Change: change,
		})
	}
}

// isWhole reports whether all voters are alive and hear from the leader, and nothing is
// left to be changed.
func (g *group) isWhole() bool {
	l := g.leader()
	if l == nil || len(l.replica.Members().Members) != groupVoters {
		return false
	}
	for _, m := range l.replica.Members().Members {
		h := g.hosts[m.ID]
		if !m.Voter || m.Replaces != "" || h == nil || !h.alive || !h.replica.IsMember(g.now, time.Second) {
			return false
		}
	}
	return true
}

// runUntilWhole runs until the group is whole, and returns the time that it took.
func (g *group) runUntilWhole() time.Duration {
	GinkgoHelper()
	from := g.now
	for !g.isWhole() && g.now.Sub(from) <= wholeWithin {
		g.run(joinInterval)
	}
	Expect(g.isWhole()).To(BeTrue(), "after %v:\n%s", g.now.Sub(from), g)
	return g.now.Sub(from)
}

// acknowledgeCommand lets the leader acknowledge a command.
func (g *group) acknowledgeCommand() {
	if l := g.leader(); l != nil {
		g.commands++
		g.propose(l, fmt.Sprint("command ", g.commands))
		g.run(joinInterval)
	}
}

func (g *group) pause() {
	g.run(time.Duration(g.rng.IntN(9000)) * time.Millisecond)
}

// disturb lets a host suffer one kind of trouble, and returns what ends it.
func (g *group) disturb(id string) (text string, end func()) {
	heal := func() { g.heal(id) }
	switch g.rng.IntN(7) {
	case 0:
		g.cutOff(id, true, true)
		return "cut off", heal
	case 1:
		g.cutOff(id, true, false)
		return "cannot send", heal
	case 2:
		g.cutOff(id, false, true)
		return "cannot receive", heal
	case 3:
		g.crash(g.hosts[id])
		return "down", func() { g.start(g.hosts[id]) }
	case 4:
		address := g.addresses[id]
		g.removeForGood(id)
		return "lost its disk", func() { g.addNew(address) }
	case 5:
		g.addNew("")
		return "exchanged, the new one first", func() { g.removeForGood(id) }
	}
	g.removeForGood(id)
	return "exchanged, the old one first", func() { g.addNew("") }
}

var _ = Describe("A group without an operator", func() {
	// Guards against a group that stays one voter short for good: a member that is
	// replaced while it is cut off came back as a learner and was removed again.
	It("gets whole if a member is exchanged while another is cut off", func() {
		g := newGroup(1)
		ids := slices.DeleteFunc(g.ids(), func(id string) bool {
			return id == g.leader().id
		})
		cut, old := ids[0], ids[1]
		added := g.addNew("")
		g.cutOff(cut, true, true)
		g.run(time.Second)
		g.removeForGood(old)
		g.run(deadTimeout)
		g.heal(cut)
		g.runUntilWhole()
		Expect(g.leader().replica.Members().IsVoter(added)).To(BeTrue())
		Expect(g.leader().replica.Members().IsVoter(cut)).To(BeTrue())
		Expect(g.violations).To(BeEmpty())
	})

	// Guards against a learner that never asks again: it starts no elections, so that
	// it keeps the leader that it knew.
	It("lets a learner that was removed join again, although its log does not tell of it", func() {
		g := newGroup(3)
		others := slices.DeleteFunc(g.ids(), func(id string) bool {
			return id == g.leader().id
		})
		g.removeForGood(others[0])
		learner := g.addNew("")
		g.step(g.leader(), consensus.ChangeMembers{
			Change: member.Add{
				Member: member.Member{
					ID:       learner,
					Address:  learner,
					Replaces: others[0],
				},
			},
		})
		g.deliverAll()
		g.cutOff(learner, true, true)
		r := g.hosts[learner].replica
		Expect(r.Leader()).NotTo(BeEmpty())
		self, isListed := r.Members().Get(learner)
		Expect(isListed).To(BeTrue())
		Expect(self.Voter).To(BeFalse())
		g.addNew("")
		g.run(2 * deadTimeout)
		Expect(g.leader().replica.Members().Members).NotTo(ContainElement(HaveField("ID", learner)))
		g.heal(learner)
		g.removeForGood(others[1])
		g.runUntilWhole()
		Expect(g.leader().replica.Members().IsVoter(learner)).To(BeTrue())
	})

	It("lets a member that was removed join again, although its log does not tell of it", func() {
		g := newGroup(2)
		l := g.leader()
		removed := "c2"
		if l.id == removed {
			removed = "c3"
		}
		g.cutOff(removed, true, true)
		g.step(l, consensus.ChangeMembers{
			Change: member.Remove{
				ID: removed,
			},
		})
		g.runWithoutFaults(time.Second)
		g.heal(removed)
		Expect(g.hosts[removed].replica.Members().IsVoter(removed)).To(BeTrue(), "by its own log")
		g.runUntilWhole()
	})

	for seed := range uint64(25) {
		It(fmt.Sprintf("gets whole after any losses that it bears, and keeps what it acknowledged, seed %d", seed), func() {
			g := newGroup(seed)
			longest := time.Duration(0)
			for round := range 4 {
				g.acknowledgeCommand()
				ids := g.ids()
				g.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
				var history []string
				var ends []func()
				for _, id := range ids[:1+g.rng.IntN(maxLost)] {
					text, end := g.disturb(id)
					history, ends = append(history, id+" "+text), append(ends, end)
					g.pause()
					g.acknowledgeCommand()
				}
				g.rng.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
				for i, end := range ends {
					end()
					if i+1 < len(ends) {
						g.pause()
					}
				}
				By(fmt.Sprintf("round %d: %v", round, history))
				longest = max(longest, g.runUntilWhole())
				Expect(g.violations).To(BeEmpty())
				for command, index := range g.acknowledged {
					Expect(g.leader().applied[index-1]).To(ContainSubstring(fmt.Sprintf("%v", []byte(command))), command)
				}
			}
			AddReportEntry("longest time until whole", longest.String())
			lost := slices.DeleteFunc(g.ids(), func(id string) bool {
				return !g.leader().replica.Members().IsVoter(id)
			})
			g.removeForGood(lost[0])
			g.removeForGood(lost[1])
			g.run(3 * time.Second)
			Expect(g.leader()).NotTo(BeNil(), "the losses that a whole group bears")
			for command, index := range g.acknowledged {
				Expect(g.leader().applied[index-1]).To(ContainSubstring(fmt.Sprintf("%v", []byte(command))), command)
			}
		})
	}
})

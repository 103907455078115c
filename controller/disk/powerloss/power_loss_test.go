package powerloss_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

const (
	// toleratedLosses is the number of disks that a group of five may lose.
	toleratedLosses = 2
	// powerLossSeeds is the number of seeds of the random test.
	powerLossSeeds = 12
	roundsOfFaults = 3
	ticksOfFaults  = 150
	// maxHang is the longest time for which a disk does nothing.
	maxHang = 600 * time.Millisecond
	// acknowledgeLimit bounds the time with faults before the last one of a round.
	acknowledgeLimit = 2 * time.Second
	// settleLimit bounds the time without faults until the group is whole.
	settleLimit = 30 * time.Second
)

// happens returns true in one of n cases.
func (g *group) happens(n int) bool {
	return g.random.IntN(n) == 0
}

// tick lets an interval pass. A share of the messages is lost or late if isLossy is true,
// and not every writer runs.
func (g *group) tick(isLossy bool) {
	g.now = g.now.Add(tickInterval)
	for _, m := range g.machines {
		g.step(m, consensus.Tick{
			Jitter: time.Duration(g.random.Int64N(int64(electionTimeout))),
		})
	}
	for round := 0; round < 4; round++ {
		inFlight := g.inFlight
		g.inFlight = nil
		for _, msg := range inFlight {
			switch {
			case isLossy && g.happens(20):
			case isLossy && g.happens(5):
				g.inFlight = append(g.inFlight, msg)
			default:
				g.deliver(msg)
			}
		}
		for _, m := range g.machines {
			g.step(m, consensus.ApplyDue{})
			if !isLossy || !g.happens(3) && g.now.After(m.hangsUntil) {
				g.runWriter(m)
			}
		}
	}
	g.admit()
}

// runOnly lets an interval pass for some machines, while the others stand still and get no
// messages.
func (g *group) runOnly(machines ...*machine) {
	g.now = g.now.Add(tickInterval)
	for _, m := range machines {
		g.step(m, consensus.Tick{})
		g.step(m, consensus.ApplyDue{})
		g.runWriter(m)
	}
	inFlight := g.inFlight
	g.inFlight = nil
	for _, msg := range inFlight {
		if slices.Contains(machines, g.machineOf(msg.To)) {
			g.deliver(msg)
		}
	}
}

func (g *group) deliver(msg consensus.Message) {
	if m := g.machineOf(msg.To); m != nil {
		g.step(m, consensus.MessageReceived{
			Message: msg,
		})
	}
}

// admit lets the leader add machines that are no members.
func (g *group) admit() {
	leader := g.leader()
	if leader == nil {
		return
	}
	for _, m := range g.machines {
		if !m.isUp {
			continue
		}
		change, ok := leader.replica.Members().JoinChange(member.Member{
			ID:      m.folder.ID(),
			Address: m.address,
		}, groupSize, func(string) bool { return false })
		if ok {
			g.step(leader, consensus.ChangeMembers{
				Change: change,
			})
		}
	}
}

func (g *group) propose() {
	leader := g.leader()
	if leader == nil {
		return
	}
	g.proposed++
	g.step(leader, consensus.Propose{
		Proposals: []consensus.Proposal{
			{
				Token: uint64(g.proposed),
				Bytes: fmt.Append(nil, "command ", g.proposed),
			},
		},
	})
}

// disturb kills processes, also in the middle of what they write, lets syncs fail and disks
// hang or be full, takes the power from machines and starts processes again.
func (g *group) disturb() {
	for _, m := range g.machines {
		switch {
		case !m.isUp:
			if g.happens(8) {
				g.startDisturbed(m)
			}
		case g.happens(60):
			m.disk.operationsLeft = 1 + g.random.IntN(8)
		case g.happens(100):
			m.stop()
		case g.happens(200):
			m.losePower(g.happens(3))
		case g.happens(200):
			m.disk.syncFails = true
		case g.happens(20):
			m.hangsUntil = g.now.Add(time.Duration(g.random.Int64N(int64(maxHang))))
		case g.happens(80):
			m.disk.isFull = true
		case g.happens(40):
			g.saveSnapshot(m)
		}
	}
	if g.happens(100) {
		for _, m := range g.machines {
			m.disk.operationsLeft = 1 + g.random.IntN(4)
		}
	}
	if g.happens(200) {
		for _, m := range g.machines {
			m.losePower(g.happens(3))
		}
	}
}

// startDisturbed starts a process, which may be killed or find that syncs fail while it
// reads its folder.
func (g *group) startDisturbed(m *machine) {
	if g.happens(5) {
		m.disk.operationsLeft = 1 + g.random.IntN(12)
	}
	m.disk.syncFails = g.happens(20)
	m.disk.isFull = m.disk.isFull && g.happens(2)
	g.start(m)
}

// isWhole reports whether all machines are voters that hold everything, and nobody else
// is a member.
func (g *group) isWhole() bool {
	leader := g.leader()
	if leader == nil || leader.replica.CommitIndex() != leader.replica.Log().LastIndex() {
		return false
	}
	set := leader.replica.Members()
	return len(set.Members) == groupSize && !slices.ContainsFunc(g.machines, func(m *machine) bool {
		return !m.isUp || !set.IsVoter(m.folder.ID()) || len(m.applied) != len(leader.applied)
	})
}

// settle runs without faults until the group is whole, and checks that it has everything
// that was acknowledged.
func (g *group) settle() {
	for end := g.now.Add(settleLimit); !g.isWhole() && g.now.Before(end); {
		for _, m := range g.machines {
			m.disk.isFull = false
			if !m.isUp {
				g.start(m)
			}
		}
		g.tick(false)
	}
	if !g.isWhole() {
		g.report("the group is not whole after %s\n%s", settleLimit, g)
		return
	}
	applied := g.leader().applied
	for index, text := range g.acknowledged {
		if int(index) > len(applied) || applied[index-1] != text {
			g.report("%q at %d was acknowledged and is gone", text, index)
		}
	}
}

// String describes the state of every machine, for the message of a failed test.
func (g *group) String() (text string) {
	for _, m := range g.machines {
		if !m.isUp {
			text += m.address + " is down\n"
			continue
		}
		l := m.replica.Log()
		text += fmt.Sprintf("%s %s %s term=%d log=%d..%d/%d commit=%d members=%v\n", m.address, m.folder.ID(),
			consensus.RoleName(m.replica.Role()), m.replica.Hard().Term, l.BaseIndex(), l.LastIndex(), l.LastTerm(),
			m.replica.CommitIndex(), m.replica.Members())
	}
	return text
}

// loseEverything takes the power from all machines at the same moment, and the disks from
// the given number of them, in half of the cases those that have the least to write.
func (g *group) loseEverything(disks int) {
	machines := slices.Clone(g.machines)
	g.random.Shuffle(groupSize, func(i, j int) {
		machines[i], machines[j] = machines[j], machines[i]
	})
	if g.happens(2) {
		slices.SortStableFunc(machines, func(a, b *machine) int { return len(a.queue) - len(b.queue) })
	}
	for i, m := range machines {
		if i < disks {
			m.loseDisk()
			continue
		}
		m.losePower(g.happens(3))
	}
}

// runUntilAcknowledged runs with faults until a command was just acknowledged, as the last
// fault of a day may follow at once.
func (g *group) runUntilAcknowledged() {
	before := len(g.acknowledged)
	for end := g.now.Add(acknowledgeLimit); len(g.acknowledged) == before && g.now.Before(end); {
		g.disturb()
		g.propose()
		g.tick(true)
	}
}

// runWithPowerLosses returns what went wrong with a group under random faults.
func runWithPowerLosses(seed uint64) (violations []string, acknowledged, fulls int) {
	g := newGroup(seed)
	g.settle()
	for range roundsOfFaults {
		lost := 0
		if g.happens(2) {
			g.machines[g.random.IntN(groupSize)].loseDisk()
			lost++
		}
		for range ticksOfFaults {
			g.propose()
			g.tick(true)
			g.disturb()
		}
		g.runUntilAcknowledged()
		g.loseEverything(g.random.IntN(toleratedLosses - lost + 1))
		g.settle()
	}
	for _, m := range g.machines {
		m.stop()
	}
	return g.violations, len(g.acknowledged), g.fulls
}

var _ = Describe("A group of five", func() {
	It("keeps what two killed followers confirmed after their start if only they keep it", func() {
		g := newGroup(1)
		g.settle()
		leader := g.leader()
		others := slices.DeleteFunc(slices.Clone(g.machines), func(m *machine) bool { return m == leader })
		a, b, c, d := others[0], others[1], others[2], others[3]
		before := len(g.acknowledged)
		g.propose()
		a.disk.operationsLeft, b.disk.operationsLeft = 2, 2
		g.runOnly(leader, a, b)
		g.runOnly(leader, a, b)
		Expect(a.isUp || b.isUp).To(BeFalse())
		g.start(a)
		g.start(b)
		for end := g.now.Add(settleLimit); len(g.acknowledged) == before && g.now.Before(end); {
			g.runOnly(leader, a, b)
		}
		Expect(g.acknowledged).To(HaveLen(before + 1))
		leader.loseDisk()
		c.loseDisk()
		for _, m := range []*machine{a, b, d} {
			m.losePower(true)
		}
		g.settle()
		Expect(g.violations).To(BeEmpty())
	})

	It("keeps what it has acknowledged if two disks are lost while all other machines lose power", func() {
		total, fulls := 0, 0
		for seed := range uint64(powerLossSeeds) {
			violations, acknowledged, full := runWithPowerLosses(seed)
			Expect(violations).To(BeEmpty(), "seed %d", seed)
			total += acknowledged
			fulls += full
		}
		Expect(total).To(BeNumerically(">", 0))
		Expect(fulls).To(BeNumerically(">", 0))
	})
})

package control_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
)

const (
	replacementSeeds = 40
	// replacementDelay is the time between the loss of a machine and the start of the one
	// that takes its place.
	replacementDelay = time.Second
	// shortestCatchUp is the shortest time to catch up of the users' deployments.
	shortestCatchUp = 4 * time.Second
)

func (s *firstStart) advanceFor(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance()
	}
}

// addMachine starts an empty machine at another address.
func (s *firstStart) addMachine() *machine {
	m := &machine{
		address: fmt.Sprintf("a%d", len(s.machines)+1),
	}
	m.id = "id-" + m.address
	s.machines = append(s.machines, m)
	s.boot(m)
	return m
}

// hasOnlyLiveVoters reports whether a leader has a complete group without the machines
// that are gone, and without the former selves of those that have lost their disks.
func (s *firstStart) hasOnlyLiveVoters() bool {
	leader, ok := s.completeLeader()
	if !ok {
		return false
	}
	for _, m := range leader.core.Replica().Members().Members {
		if known := s.machineAt(m.Address); !m.Voter || !known.isUp || known.id != m.ID {
			return false
		}
	}
	return true
}

var _ = Describe("A machine that is replaced by one at another address", func() {
	It("stops counting once its successor has had the time to catch up, so that as many others may be lost", func() {
		for seed := range uint64(replacementSeeds) {
			s := newFirstStart(5, 2, shortestCatchUp, seed)
			s.advanceFor(8 * time.Second)
			leader, ok := s.completeLeader()
			Expect(ok).To(BeTrue(), "seed %d", seed)
			gone := []*machine{
				s.machines[seed%5],
			}
			if seed%4 == 0 {
				gone = append(gone, s.machines[(seed+1)%5])
			}
			if seed%4 == 1 {
				gone[0] = leader
			}
			for _, m := range gone {
				s.crash(m)
			}
			s.advanceFor(replacementDelay)
			for range gone {
				s.addMachine()
			}
			s.advanceFor(shortestCatchUp)
			Expect(s.hasOnlyLiveVoters()).To(BeTrue(), "seed %d, %d machines lost", seed, len(gone))
		}
	})
})

var _ = Describe("A machine that asks to join shortly before the one that is gone counts as dead", func() {
	// Guards against a successor that is not a voter when it has had the time to catch
	// up: it was admitted at its next request only, and a second one only after that.
	It("is admitted without another request, and a second one right after it", func() {
		for seed := range uint64(replacementSeeds) {
			s := newFirstStart(5, 2, shortestCatchUp, seed)
			s.advanceFor(8 * time.Second)
			leader, ok := s.completeLeader()
			Expect(ok).To(BeTrue(), "seed %d", seed)
			others := slices.DeleteFunc(slices.Clone(s.machines), func(m *machine) bool { return m == leader })
			s.crash(others[0])
			s.crash(others[1])
			s.advanceFor(1200 * time.Millisecond)
			for range 2 {
				m := s.addMachine()
				s.requestJoinAt(m, leader.address)
				m.joinAt = s.now.Add(time.Hour)
			}
			s.advanceFor(2 * time.Second)
			Expect(s.hasOnlyLiveVoters()).To(BeTrue(), "seed %d", seed)
		}
	})
})

var _ = Describe("A machine whose seeds name only machines that are gone or empty", func() {
	// Guards against a machine that is back without its disk and does not join: nobody
	// that it asked knew the group, although the group still sent messages to its address.
	It("joins the group that sends messages to its address, and refers others to it", func() {
		for seed := range uint64(replacementSeeds) {
			s := newFirstStart(5, 2, shortestCatchUp, seed)
			s.advanceFor(8 * time.Second)
			wiped := s.machines[seed%5]
			empty := s.machines[(seed+1)%5]
			s.seeds = func(*machine) []string {
				return []string{
					wiped.address,
					empty.address,
				}
			}
			s.wipe(wiped)
			s.wipe(empty)
			s.boot(wiped)
			s.boot(empty)
			s.advanceFor(shortestCatchUp)
			Expect(s.hasOnlyLiveVoters()).To(BeTrue(), "seed %d", seed)
		}
	})
})

var _ = Describe("A machine that comes back without its disk after another one's successor took its place", func() {
	// Guards against a voter with two successors: one of them removed it, and the group
	// kept a dead voter beside five live ones for good.
	It("takes the place of the machine that is gone", func() {
		for seed := range uint64(replacementSeeds) {
			s := newFirstStart(5, 2, shortestCatchUp, seed)
			s.advanceFor(8 * time.Second)
			wiped, gone := s.machines[seed%5], s.machines[(seed+1)%5]
			s.wipe(wiped)
			s.advanceFor(time.Duration(seed) * 15 * time.Millisecond)
			s.crash(gone)
			s.addMachine()
			s.advanceFor(1500*time.Millisecond + time.Duration(seed)*20*time.Millisecond)
			s.boot(wiped)
			s.advanceFor(shortestCatchUp)
			Expect(s.hasOnlyLiveVoters()).To(BeTrue(), "seed %d", seed)
		}
	})
})

var _ = Describe("A machine that loses its disk again as soon as it is a voter", func() {
	It("does not stop a group that bears the loss of one machine", func() {
		for seed := range uint64(replacementSeeds) {
			s := newFirstStart(3, 1, shortestCatchUp, seed)
			s.advanceFor(8 * time.Second)
			lost := s.machines[seed%3]
			for range 3 {
				s.wipe(lost)
				s.boot(lost)
				for end := s.now.Add(formationTimeout); s.now.Before(end) && !s.isVoter(lost); {
					s.advance()
				}
			}
			_, ok := s.awaitGroup()
			Expect(ok).To(BeTrue(), "seed %d", seed)
		}
	})
})

// isVoter reports whether some machine's log has the machine as a voter.
func (s *firstStart) isVoter(m *machine) bool {
	for _, other := range s.machines {
		if known, ok := other.core.Replica().Members().Get(m.id); ok && known.Voter {
			return true
		}
	}
	return false
}

var _ = Describe("A machine that comes back without its disk during a long election", func() {
	// Guards against a successor of another machine that takes its place because it asks the
	// new leader first. The group then has a voter more until that successor is one, and
	// stops if the successor is lost meanwhile.
	It("takes its own place, although it counts as dead and another one asks first", func() {
		for seed := range uint64(replacementSeeds) {
			s := newFirstStart(5, 2, shortestCatchUp, seed)
			s.advanceFor(8 * time.Second)
			leader, ok := s.completeLeader()
			Expect(ok).To(BeTrue(), "seed %d", seed)
			others := slices.DeleteFunc(slices.Clone(s.machines), func(m *machine) bool { return m == leader })
			back, cut := others[0], others[1]
			lostID := back.id
			s.wipe(back)
			s.crash(leader)
			s.cut[cut.address] = true
			s.advanceFor(3 * time.Second)
			delete(s.cut, cut.address)
			s.boot(back)
			successor := s.addMachine()
			for end := s.now.Add(shortestCatchUp); s.now.Before(end); {
				s.advance()
				for _, m := range s.machines {
					added, _ := m.core.Replica().Members().Get(successor.id)
					Expect(added.Replaces).NotTo(Equal(lostID), "seed %d", seed)
				}
			}
			Expect(s.hasOnlyLiveVoters()).To(BeTrue(), "seed %d", seed)
		}
	})
})

var _ = Describe("A request to join that waits while the event loop of the leader is held up", func() {
	// Guards against a living voter that is replaced: the request was handled before the
	// answers of the voters, all of which counted as dead.
	It("replaces no voter that is alive, but one that is gone", func() {
		s := newFirstStart(5, 2, shortestCatchUp, 1)
		s.advanceFor(8 * time.Second)
		leader, ok := s.completeLeader()
		Expect(ok).To(BeTrue())
		voters := leader.core.Replica().Members()
		s.now = s.now.Add(shortestCatchUp / 2)
		joiner := s.addMachine()
		join := control.Join{
			Member: joiner.self(),
		}
		s.step(leader, join)
		Expect(leader.core.Replica().Members()).To(Equal(voters), "before the tick")
		s.step(leader, control.Tick{})
		s.step(leader, join)
		Expect(leader.core.Replica().Members()).To(Equal(voters), "after the tick")
		s.advanceFor(shortestCatchUp)
		leader, ok = s.completeLeader()
		Expect(ok).To(BeTrue())
		Expect(leader.core.Replica().Members()).To(Equal(voters), "later")
		gone := slices.IndexFunc(s.machines, func(m *machine) bool { return m != leader })
		s.crash(s.machines[gone])
		s.advanceFor(shortestCatchUp)
		Expect(s.hasOnlyLiveVoters()).To(BeTrue())
	})
})

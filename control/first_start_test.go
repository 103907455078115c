package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// firstStartSeeds is the number of random histories for each size of the system.
	firstStartSeeds = 60
	faultDuration   = 20 * time.Second
	// catchUpTime is how long a machine that is back still counts as lost.
	catchUpTime = 6 * time.Second
	// formationTimeout is how long the first group may take to be complete once the
	// faults have stopped.
	formationTimeout = 15 * time.Second
	submitInterval   = 500 * time.Millisecond
)

// faultDay plays random faults: machines are cut off, killed, or lose their disks. It
// keeps within the tolerated number of lost machines unless isUnlimited is set; then
// only the number of disks is kept.
type faultDay struct {
	s           *firstStart
	isUnlimited bool
	// endAt tells when the fault of a machine ends, and lostUntil until when the machine
	// counts as lost.
	endAt, lostUntil map[string]time.Time
	wipes            int
}

func (d *faultDay) lost() (n int) {
	for _, until := range d.lostUntil {
		if d.s.now.Before(until) {
			n++
		}
	}
	return n
}

// begin makes a random machine faulty if the limits allow it.
func (d *faultDay) begin() {
	s := d.s
	m := s.machines[s.random.IntN(len(s.machines))]
	if _, isFaulty := d.endAt[m.address]; isFaulty || !d.isUnlimited && d.lost() >= s.tolerated && !s.now.Before(d.lostUntil[m.address]) {
		return
	}
	duration := time.Duration(s.random.IntN(7000)) * time.Millisecond
	switch kind := s.random.IntN(4); {
	case kind < 2:
		s.cut[m.address] = true
	case kind == 2:
		s.crash(m)
	case d.isUnlimited && d.wipes == s.tolerated:
		return
	default:
		s.wipe(m)
		d.wipes++
	}
	d.endAt[m.address] = s.now.Add(duration)
	d.lostUntil[m.address] = s.now.Add(duration + catchUpTime)
}

// end ends the faults that are due, or all of them.
func (d *faultDay) end(isAll bool) {
	for _, m := range d.s.machines {
		if at, ok := d.endAt[m.address]; !ok || !isAll && d.s.now.Before(at) {
			continue
		}
		delete(d.endAt, m.address)
		delete(d.s.cut, m.address)
		if !m.isUp {
			d.s.boot(m)
		}
	}
}

func (d *faultDay) play() {
	s := d.s
	submitAt := s.now
	for end := s.now.Add(faultDuration); s.now.Before(end); s.advance() {
		d.end(false)
		if s.random.IntN(40) == 0 || s.now.Add(faultDuration).Equal(end) {
			d.begin()
		}
		if !s.now.Before(submitAt) {
			submitAt = s.now.Add(submitInterval)
			s.submit()
		}
	}
	d.end(true)
}

func playFaults(machines, tolerated int, seed uint64, isUnlimited bool) *firstStart {
	s := newFirstStart(machines, tolerated, catchUpTime, seed)
	d := &faultDay{
		s:           s,
		isUnlimited: isUnlimited,
		endAt:       map[string]time.Time{},
		lostUntil:   map[string]time.Time{},
	}
	d.play()
	return s
}

// awaitGroup lets time pass until a leader has a complete group.
func (s *firstStart) awaitGroup() (m *machine, ok bool) {
	for end := s.now.Add(formationTimeout); s.now.Before(end); s.advance() {
		if m, ok = s.completeLeader(); ok {
			return m, true
		}
	}
	return nil, false
}

var _ = Describe("The first start", func() {
	DescribeTable("forms one group and loses nothing that was acknowledged, whatever is lost meanwhile within the limits",
		func(machines, tolerated int) {
			formed, acknowledged, stuck := 0, 0, 0
			for seed := range uint64(firstStartSeeds) {
				s := playFaults(machines, tolerated, seed, false)
				history := fmt.Sprintf("%d machines, %d tolerated, seed %d", machines, tolerated, seed)
				Expect(s.violations).To(BeEmpty(), history)
				Expect(len(s.groups)).To(BeNumerically("<=", 1), history)
				if len(s.groups) == 0 && s.lostFounders() > 1 {
					// A majority of the founders has lost the disks before there was a group.
					for range 10 * time.Second / simulatedStep {
						s.advance()
					}
					Expect(s.groups).To(BeEmpty(), history)
					Expect(s.needsOperator).To(BeTrue(), history)
					stuck++
					continue
				}
				m, ok := s.awaitGroup()
				Expect(ok).To(BeTrue(), history)
				Expect(s.groups).To(HaveLen(1), history)
				formed++
				for name := range s.acknowledged {
					Expect(m.core.State().IsOutOfService(name)).To(BeTrue(), "%s, %s", history, name)
				}
				acknowledged += len(s.acknowledged)
			}
			AddReportEntry(fmt.Sprintf("%d machines: %d formed, %d need an operator, %d commands acknowledged",
				machines, formed, stuck, acknowledged))
			Expect(formed).To(BeNumerically(">", firstStartSeeds*3/4))
			Expect(acknowledged).To(BeNumerically(">", firstStartSeeds))
		},
		Entry("three machines, one of them lost", 3, 1),
		Entry("five machines, two of them lost", 5, 2),
		Entry("seven machines, two of them lost", 7, 2),
		Entry("nine machines, one of them lost", 9, 1),
	)

	It("never forms two groups, even if any number of machines is cut off and killed", func() {
		for seed := range uint64(firstStartSeeds) {
			s := playFaults(7, 2, 1000+seed, true)
			Expect(len(s.groups)).To(BeNumerically("<=", 1), "seed %d", seed)
			s.awaitGroup()
			Expect(len(s.groups)).To(BeNumerically("<=", 1), "seed %d", seed)
		}
	})

	It("does not wait for completion if no machine is missing", func() {
		s := newFirstStart(5, 2, catchUpTime, 1)
		startedAt := s.now
		_, ok := s.awaitGroup()
		Expect(ok).To(BeTrue())
		Expect(s.now.Sub(startedAt)).To(BeNumerically("<", 2*time.Second))
	})

	It("acknowledges nothing on a machine that is cut off from all others", func() {
		s := newFirstStart(5, 2, catchUpTime, 1)
		s.cut["a1"] = true
		for range 10 * time.Second / simulatedStep {
			s.submit()
			s.advance()
			Expect(s.machines[0].core.Replica().IsLeader()).To(BeFalse())
		}
		Expect(s.violations).To(BeEmpty())
		Expect(s.acknowledged).NotTo(BeEmpty())
	})
})

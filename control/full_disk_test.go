package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
)

// requestedSnapshots returns the snapshots that an event makes due.
func (l *leader) requestedSnapshots(e control.Event) (saves []control.SaveSnapshot) {
	for _, f := range l.step(e) {
		if s, ok := f.(control.SaveSnapshot); ok {
			saves = append(saves, s)
		}
	}
	return saves
}

// A snapshot that waits until it is due by its size never frees a disk that is full before.
var _ = Describe("A controller whose disk is full", func() {
	It("saves a snapshot at once, which leaves nothing of the log, and again once more is applied", func() {
		l := newLeader()
		Expect(l.submitLarge(1000)).To(BeEmpty())
		full := control.DiskFullChanged{
			IsFull: true,
		}
		saves := l.requestedSnapshots(full)
		Expect(saves).To(HaveLen(1))
		Expect(saves[0].Meta.Index).To(Equal(l.core.State().Index()))
		Expect(saves[0].KeepAfter).To(Equal(saves[0].Meta.Index))
		Expect(l.requestedSnapshots(full)).To(BeEmpty())
		Expect(l.submitLarge(1000)).To(BeEmpty())
		l.save(saves[0], 1000)
		Expect(l.requestedSnapshots(control.Tick{})).To(BeEmpty())
		l.now = l.now.Add(time.Second)
		again := l.requestedSnapshots(control.Tick{})
		Expect(again).To(HaveLen(1))
		Expect(again[0].Meta.Index).To(Equal(l.core.State().Index()))
		l.save(again[0], 1000)
		Expect(l.core.Replica().Log().Bytes()).To(BeZero())
		l.now = l.now.Add(time.Second)
		Expect(l.requestedSnapshots(control.Tick{})).To(BeEmpty())
		l.step(control.DiskFullChanged{})
		Expect(l.submitLarge(1000)).To(BeEmpty())
	})
})

// setFull makes the disk of a machine full, or gives it room.
func (s *firstStart) setFull(m *machine, isFull bool) {
	m.isFull = isFull
	s.step(m, control.DiskFullChanged{
		IsFull: isFull,
	})
}

// submitFor submits commands for some time, and returns the machines that led meanwhile.
func (s *firstStart) submitFor(d time.Duration) map[*machine]bool {
	leaders := map[*machine]bool{}
	for end := s.now.Add(d); s.now.Before(end); s.advance() {
		if s.random.IntN(5) == 0 {
			s.submit()
		}
		for _, m := range s.machines {
			if m.core.Replica().IsLeader() {
				leaders[m] = true
			}
		}
	}
	return leaders
}

var _ = Describe("A leader whose disk is full", func() {
	// It would refuse commands and fail without a hand-over, although the others have room.
	It("hands the leadership over to a voter that has room", func() {
		for seed := range uint64(10) {
			s := newFirstStart(5, 2, catchUpTime, seed)
			old, ok := s.awaitGroup()
			Expect(ok).To(BeTrue(), "seed %d", seed)
			s.setFull(old, true)
			s.submitFor(4 * time.Second)
			next, ok := s.completeLeader()
			Expect(ok).To(BeTrue(), "seed %d", seed)
			Expect(next).NotTo(Equal(old), "seed %d", seed)
			s.acknowledged = map[string]bool{}
			leaders := s.submitFor(20 * time.Second)
			Expect(s.acknowledged).NotTo(BeEmpty(), "seed %d", seed)
			Expect(leaders).NotTo(HaveKey(old), "seed %d", seed)
		}
	})

	// It refuses all proposals while its own disk hangs, although the others commit them.
	It("hands the leadership over if its disk hangs and is too far behind", func() {
		s := newFirstStart(5, 2, catchUpTime, 1)
		old, ok := s.awaitGroup()
		Expect(ok).To(BeTrue())
		old.isFull = true
		for range 400 {
			s.submit()
		}
		Expect(old.core.Replica().IsDiskBehind()).To(BeTrue())
		s.submitFor(4 * time.Second)
		next, ok := s.completeLeader()
		Expect(ok).To(BeTrue())
		Expect(next).NotTo(Equal(old))
		s.acknowledged = map[string]bool{}
		s.submitFor(4 * time.Second)
		Expect(s.acknowledged).NotTo(BeEmpty())
	})

	// A transfer that no voter can take costs an election.
	It("keeps the leadership while no voter has room", func() {
		s := newFirstStart(5, 2, catchUpTime, 1)
		leader, ok := s.awaitGroup()
		Expect(ok).To(BeTrue())
		for _, m := range s.machines {
			s.setFull(m, true)
		}
		Expect(s.submitFor(20 * time.Second)).To(Equal(map[*machine]bool{
			leader: true,
		}))
		for _, m := range s.machines {
			s.setFull(m, false)
		}
		s.acknowledged = map[string]bool{}
		s.submitFor(2 * time.Second)
		Expect(s.acknowledged).NotTo(BeEmpty())
	})
})

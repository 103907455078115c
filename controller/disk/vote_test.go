package disk_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
)

var _ = Describe("A vote on a full disk", func() {
	vote := consensus.HardState{
		Term: 7,
		Vote: "candidate",
	}

	// If most disks are full, no leader can be elected otherwise that has room.
	It("is durable and answered while entries wait", func() {
		path := newFilledFolder(20)
		l := startLimited(path, nil)
		l.settle()
		l.quota.leave(0)
		l.enqueue(appendOf(consensus.HardState{
			Term: 1,
		}, entries(21, 3)))
		entriesDurable, voteDurable := make(chan struct{}), make(chan struct{})
		l.enqueue(disk.After{
			Run: func() { close(entriesDurable) },
		})
		Eventually(l.full).Should(Receive())
		l.enqueue(appendOf(vote, nil))
		l.enqueue(disk.After{
			Run:                func() { close(voteDurable) },
			NeedsOnlyHardState: true,
		})
		Eventually(voteDurable).Should(BeClosed())
		Expect(l.hard.Load()).To(HaveValue(Equal(vote)))
		Consistently(entriesDurable, 300*time.Millisecond).ShouldNot(BeClosed())
		Expect(l.synced.Load()).To(BeZero())
		r := l.reopened()
		Expect(r.StoredState.Hard).To(Equal(vote))
		Expect(r.StoredState.Entries).To(Equal(entries(1, 20)))
	})

	It("does not replace a later one in the log", func() {
		path := newFilledFolder(20)
		l := startLimited(path, nil)
		l.settle()
		l.quota.leave(0)
		l.enqueue(appendOf(vote, nil))
		Eventually(func() *consensus.HardState { return l.hard.Load() }).Should(HaveValue(Equal(vote)))
		l.quota.leave(1 << 20)
		later := consensus.HardState{
			Term: 8,
		}
		l.enqueue(appendOf(later, entries(21, 1)))
		l.settle()
		Expect(l.reopened().StoredState.Hard).To(Equal(later))
	})

	// A version that does not know the file would vote again in the term.
	It("is in the log as well once a process starts with room", func() {
		path := newFilledFolder(20)
		l := startLimited(path, nil)
		l.settle()
		l.quota.leave(0)
		l.enqueue(appendOf(vote, nil))
		Eventually(func() *consensus.HardState { return l.hard.Load() }).Should(HaveValue(Equal(vote)))
		Expect(l.reopened().StoredState.Hard).To(Equal(vote))
		log, content, err := disk.OpenLog(disk.FolderConfig{
			Path: path,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Close()).To(Succeed())
		Expect(content.Hard).To(Equal(vote))
		Expect(content.Entries).To(Equal(entries(1, 20)))
	})
})

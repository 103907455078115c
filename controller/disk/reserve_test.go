package disk_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
)

var _ = Describe("The room that is kept for snapshots", func() {
	const reserveBytes = 64 << 10
	hard := consensus.HardState{
		Term: 1,
	}
	withReserve := func(_ quotaFileSystem, cfg *disk.WriterConfig) { cfg.ReserveBytes = reserveBytes }
	reserveSize := func(l *limitedFolder) int64 {
		info, err := os.Stat(filepath.Join(l.path, "reserve"))
		if err != nil {
			return 0
		}
		return info.Size()
	}

	// A log that fills the disk leaves no room for the snapshot that would shorten it.
	It("lets a log be compacted that fills the disk to the last byte", func() {
		l := startLimited(GinkgoT().TempDir(), withReserve)
		l.enqueue(appendOf(hard, longEntries(1, 300, 1<<10)))
		l.settle()
		Eventually(func() int64 { return reserveSize(l) }).Should(Equal(int64(reserveBytes)))
		l.quota.leave(0)
		l.enqueue(appendOf(hard, longEntries(301, 10, 1<<10)))
		Eventually(l.full).Should(Receive())
		l.enqueue(snapshotOf(300, 0, func() {}))
		l.settle()
		Expect(l.synced.Load()).To(Equal(uint64(310)))
		Eventually(func() int64 { return reserveSize(l) }).Should(BeNumerically(">", 0))
		Expect(l.reopened().StoredState.Entries).To(Equal(longEntries(301, 10, 1<<10)))
	})

	It("grows with the snapshot", func() {
		l := startLimited(GinkgoT().TempDir(), withReserve)
		l.enqueue(appendOf(hard, longEntries(1, 2, 1)))
		snapshot := snapshotOf(2, 0, func() {})
		snapshot.Snapshot.State = make([]byte, 10*reserveBytes)
		l.enqueue(snapshot)
		l.settle()
		Eventually(func() int64 { return reserveSize(l) }).Should(BeNumerically(">=", 20*reserveBytes))
	})

	It("is a small part of a small disk", func() {
		l := startLimited(GinkgoT().TempDir(), func(q quotaFileSystem, cfg *disk.WriterConfig) {
			withReserve(q, cfg)
			q.limit.Store(4 * reserveBytes)
		})
		Eventually(func() int64 { return reserveSize(l) }).Should(Equal(int64(4 * reserveBytes / 16)))
		Consistently(func() int64 { return reserveSize(l) }, 500*time.Millisecond).Should(Equal(int64(4 * reserveBytes / 16)))
	})

	It("is not kept while there is little of it", func() {
		l := startLimited(newFilledFolder(1000), func(q quotaFileSystem, cfg *disk.WriterConfig) {
			withReserve(q, cfg)
			q.leave(1 << 10)
		})
		l.settle()
		Consistently(func() int64 { return reserveSize(l) }, 500*time.Millisecond).Should(BeZero())
	})

	It("grows on from what a process that was killed has left", func() {
		path := newFilledFolder(10)
		Expect(os.WriteFile(filepath.Join(path, "reserve"), make([]byte, 1000), 0o600)).To(Succeed())
		l := startLimited(path, withReserve)
		Eventually(func() int64 { return reserveSize(l) }).Should(Equal(int64(reserveBytes)))
	})

	// A start has a term and a vote to write, and disks may be slow.
	It("delays nothing by more than a chunk", func() {
		l := startLimited(GinkgoT().TempDir(), func(_ quotaFileSystem, cfg *disk.WriterConfig) { cfg.ReserveBytes = 8 << 20 })
		l.enqueue(appendOf(hard, entries(1, 1)))
		l.settle()
		Expect(reserveSize(l)).To(BeZero())
		Eventually(func() int64 { return reserveSize(l) }).Should(BeNumerically(">", 0))
		l.enqueue(appendOf(hard, entries(2, 1)))
		l.settle()
		Expect(reserveSize(l)).To(BeNumerically("<", 4<<20))
	})
})

package powerloss_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
)

// lossyFolder is a data folder on a lossyDisk.
type lossyFolder struct {
	disk *lossyDisk
	path string
}

func newLossyFolder(seed uint64) lossyFolder {
	root := GinkgoT().TempDir()
	return lossyFolder{
		disk: newLossyDisk(root, seed),
		path: root,
	}
}

// open starts a process in the folder.
func (l lossyFolder) open() (f *disk.Folder, log *disk.Log, r disk.Recovered, err error) {
	l.disk.operationsLeft = -1
	if f, err = disk.OpenFolder(l.config()); err != nil {
		return nil, nil, r, err
	}
	if log, r, err = disk.Recover(f); err != nil {
		_ = f.Close()
	}
	return f, log, r, err
}

// run starts a process in the folder, calls use and kills the process.
func (l lossyFolder) run(use func(f *disk.Folder, log *disk.Log)) disk.Recovered {
	f, log, r, err := l.open()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	use(f, log)
	ExpectWithOffset(1, log.Close()).To(Succeed())
	ExpectWithOffset(1, f.Close()).To(Succeed())
	return r
}

// killAfter starts a process in the folder and kills it once it has done the given number
// of operations. With zero, it starts none.
func (l lossyFolder) killAfter(operations int) {
	l.disk.operationsLeft = operations
	f, err := disk.OpenFolder(l.config())
	if err != nil {
		Expect(err).To(MatchError(errKilled))
		return
	}
	if _, _, err = disk.Recover(f); err != nil {
		Expect(err).To(MatchError(errKilled))
	}
	Expect(f.Close()).To(Succeed())
}

func (l lossyFolder) config() disk.FolderConfig {
	return disk.FolderConfig{
		Path:  l.path,
		Files: l.disk,
	}
}

func nothing(*disk.Folder, *disk.Log) {}

// seedsPerTest is the number of seeds of each test.
const seedsPerTest = 20

var _ = Describe("After a loss of power", func() {
	hard := consensus.HardState{
		Term: 1,
		Vote: "c1",
	}

	It("a log holds what was synced", func() {
		for seed := range uint64(seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
				Expect(log.Append(hard, entries(4, 3))).To(Succeed())
			})
			l.disk.losePower(seed%2 == 0)
			r := l.run(nothing)
			Expect(len(r.StoredState.Entries)).To(BeNumerically(">=", 3), "seed %d", seed)
		}
	})

	It("entries and a vote are there that a process read at its start", func() {
		var failed []uint64
		for seed := range uint64(seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
			})
			before := l.run(nothing).StoredState
			Expect(before.Entries).To(HaveLen(3))
			l.disk.losePower(seed%2 == 0)
			if after := l.run(nothing).StoredState; !reflect.DeepEqual(after, before) {
				failed = append(failed, seed)
			}
		}
		Expect(failed).To(BeEmpty())
	})

	It("a log is not damaged to which two processes wrote without a sync", func() {
		var failed []uint64
		for seed := range uint64(5 * seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
				if seed%2 == 0 {
					l.disk.operationsLeft = 1
				}
				_ = log.Append(hard, entries(4, 3))
			})
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(4, 1))).To(Succeed())
			})
			l.disk.losePower(false)
			_, _, _, err := l.open()
			if damage := (*disk.DamageError)(nil); errors.As(err, &damage) {
				failed = append(failed, seed)
				continue
			}
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
		}
		Expect(failed).To(BeEmpty())
	})

	It("a new data folder is there with its identity", func() {
		var failed []int
		for operations := range 12 {
			l := newLossyFolder(uint64(operations))
			l.path = filepath.Join(l.path, "cores", "data")
			l.killAfter(operations)
			id := ""
			l.run(func(f *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
				id = f.ID()
			})
			l.disk.losePower(true)
			r := l.run(func(f *disk.Folder, _ *disk.Log) {
				if f.ID() != id {
					failed = append(failed, operations)
				}
			})
			if len(r.StoredState.Entries) != 3 {
				failed = append(failed, operations)
			}
		}
		Expect(failed).To(BeEmpty())
	})

	It("entries are there although an earlier sync of them failed", func() {
		var failed []uint64
		for seed := range uint64(seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
				l.disk.syncFails = true
				Expect(log.Sync()).NotTo(Succeed())
			})
			_, _, _, err := l.open()
			Expect(err).To(HaveOccurred())
			l.disk.syncFails = false
			before := l.run(nothing).StoredState
			l.disk.losePower(seed%2 == 0)
			if after := l.run(nothing).StoredState; !reflect.DeepEqual(after, before) {
				failed = append(failed, seed)
			}
		}
		Expect(failed).To(BeEmpty())
	})

	It("entries are there that a process read at its start on a full disk", func() {
		for seed := range uint64(seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
			})
			l.disk.isFull = true
			r := l.run(func(_ *disk.Folder, log *disk.Log) {
				full := (*disk.FullError)(nil)
				Expect(errors.As(log.Append(hard, entries(4, 1)), &full)).To(BeTrue())
				Expect(errors.As(log.CompactLog(0), &full)).To(BeTrue())
				l.disk.isFull = false
				Expect(log.Append(hard, entries(4, 1))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
			})
			Expect(r.IsRewritten).To(BeFalse())
			l.disk.losePower(seed%2 == 0)
			r = l.run(nothing)
			Expect(r.IsRewritten).To(BeTrue())
			Expect(r.StoredState.Entries).To(HaveLen(4), "seed %d", seed)
		}
	})

	// A replica that forgets a vote may give two in a term.
	It("a vote is there that was stored on a full disk, also if the next one was torn", func() {
		votes := []consensus.HardState{
			{
				Term: 2,
				Vote: "c2",
			},
			{
				Term: 3,
			},
			{
				Term: 3,
				Vote: "c1",
			},
		}
		for seed := range uint64(3 * seedsPerTest) {
			l := newLossyFolder(seed)
			stored := 0
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
				l.disk.isFull = true
				for i, v := range votes {
					if seed%4 == uint64(i) {
						l.disk.operationsLeft = 1 + int(seed/4%2)
					}
					if log.StoreHardState(v) != nil {
						break
					}
					stored = i + 1
				}
			})
			if seed%3 == 0 {
				l.disk.losePower(seed%2 == 0)
			}
			before := l.run(nothing).StoredState
			Expect(before.Entries).To(HaveLen(3))
			wanted := []consensus.HardState{
				hard,
			}
			wanted = append(wanted, votes...)[stored:min(stored+2, len(votes)+1)]
			Expect(wanted).To(ContainElement(before.Hard), "seed %d", seed)
			l.disk.losePower(seed%2 == 0)
			Expect(l.run(nothing).StoredState).To(Equal(before), "seed %d", seed)
		}
	})

	It("a vote is there that was stored on a full disk, also if the next process was killed at its start", func() {
		answered := consensus.HardState{
			Term: 2,
			Vote: "c2",
		}
		var failed []uint64
		for seed := range uint64(20 * seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
				l.disk.isFull = true
				Expect(log.StoreHardState(answered)).To(Succeed())
				l.disk.operationsLeft = 2
				Expect(log.StoreHardState(consensus.HardState{
					Term: 3,
				})).NotTo(Succeed())
			})
			l.killAfter(1 + int(seed%10))
			l.disk.losePower(false)
			if l.run(nothing).StoredState.Hard.Term < answered.Term {
				failed = append(failed, seed)
			}
		}
		Expect(failed).To(BeEmpty())
	})

	It("a log is not damaged that was not compacted after a received snapshot", func() {
		for seed := range uint64(seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(f *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
				Expect(f.SaveSnapshot(disk.Snapshot{
					Meta: consensus.SnapshotMeta{
						Index: 10,
						Term:  1,
					},
				})).To(Succeed())
			})
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(11, 2))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
			})
			l.disk.losePower(seed%2 == 0)
			Expect(l.run(nothing).StoredState.Entries).To(Equal(entries(11, 2)))
		}
	})

	// A log that ends with them is behind the snapshot by its last term, and such a replica
	// would vote for one that lacks what the snapshot covers.
	It("entries that a received snapshot has replaced do not come back", func() {
		for seed := range uint64(seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(f *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 12))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
				Expect(f.SaveSnapshot(disk.Snapshot{
					Meta: consensus.SnapshotMeta{
						Index: 10,
						Term:  5,
					},
				})).To(Succeed())
			})
			l.disk.losePower(seed%2 == 0)
			next := entries(11, 1)
			next[0].Term = 5
			r := l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, next)).To(Succeed())
				Expect(log.Sync()).To(Succeed())
			})
			Expect(r.StoredState.Entries).To(BeEmpty())
			l.disk.losePower(seed%2 == 0)
			Expect(l.run(nothing).StoredState.Entries).To(Equal(next))
		}
	})

	It("a log is not damaged whose compaction was cut short after an append found no room", func() {
		var failed []uint64
		for seed := range uint64(10 * seedsPerTest) {
			l := newLossyFolder(seed)
			l.run(func(_ *disk.Folder, log *disk.Log) {
				Expect(log.Append(hard, entries(1, 3))).To(Succeed())
				Expect(log.Sync()).To(Succeed())
				l.disk.isFull = true
				Expect(log.Append(hard, entries(4, 3))).NotTo(Succeed())
				l.disk.isFull = false
				l.disk.operationsLeft = 1 + int(seed%10)
				_ = log.CompactLog(0)
			})
			l.disk.losePower(false)
			_, _, r, err := l.open()
			if damage := (*disk.DamageError)(nil); errors.As(err, &damage) {
				failed = append(failed, seed)
				continue
			}
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
			Expect(r.StoredState.Entries).To(Equal(entries(1, 3)), "seed %d", seed)
		}
		Expect(failed).To(BeEmpty())
	})

	It("a log of several segments is damaged if the newest one does not replace the others", func() {
		l := newLossyFolder(1)
		l.run(func(_ *disk.Folder, log *disk.Log) {
			Expect(log.Append(hard, entries(1, 3))).To(Succeed())
		})
		first := filepath.Join(l.path, "log-00000001.wal")
		content, err := os.ReadFile(first)
		Expect(err).NotTo(HaveOccurred())
		for _, second := range [][]byte{
			nil,
			content,
		} {
			Expect(os.WriteFile(filepath.Join(l.path, "log-00000002.wal"), second, 0o600)).To(Succeed())
			_, _, _, err = l.open()
			damage := (*disk.DamageError)(nil)
			Expect(errors.As(err, &damage)).To(BeTrue())
			Expect(first).To(BeAnExistingFile())
		}
	})

	It("a snapshot is there that a process read at its start", func() {
		for seed := range uint64(seedsPerTest / 10) {
			for operations := 1; operations < 15; operations++ {
				l := newLossyFolder(seed)
				l.run(func(f *disk.Folder, log *disk.Log) {
					Expect(log.Append(hard, entries(1, 10))).To(Succeed())
					Expect(log.Sync()).To(Succeed())
					l.disk.operationsLeft = operations
					if f.SaveSnapshot(disk.Snapshot{
						Meta: consensus.SnapshotMeta{
							Index: 5,
							Term:  1,
						},
					}) == nil {
						_ = log.CompactLog(3)
					}
				})
				before := l.run(nothing)
				l.disk.losePower(seed%2 == 0)
				Expect(l.run(nothing).StoredState).To(Equal(before.StoredState), "seed %d", seed)
			}
		}
	})
})

package disk_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
)

// A quotaFileSystem limits the length of all files in a folder together. When it is
// exhausted, no file can be created.
type quotaFileSystem struct {
	disk.OperatingSystem
	path  string
	limit *atomic.Int64
	// refused is the operation that finds the disk full whatever is free; "" for none.
	refused *atomic.Value
	// syncDelay is how long the sync of a file takes.
	syncDelay *atomic.Int64
	// mu keeps writes from using the same room.
	mu *sync.Mutex
}

func newQuota(path string) quotaFileSystem {
	q := quotaFileSystem{
		path:    path,
		limit:   &atomic.Int64{},
		refused: &atomic.Value{},
		mu:      &sync.Mutex{},

		syncDelay: &atomic.Int64{},
	}
	q.limit.Store(1 << 40)
	q.refused.Store("")
	return q
}

func (q quotaFileSystem) used() (n int64) {
	files, err := os.ReadDir(q.path)
	Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			n += info.Size()
		}
	}
	return n
}

// leave limits the quota to what is used and n bytes more.
func (q quotaFileSystem) leave(n int64) {
	q.limit.Store(q.used() + n)
}

func (q quotaFileSystem) room() int64 {
	return max(0, q.limit.Load()-q.used())
}

// refuses returns an error if an operation finds the disk full.
func (q quotaFileSystem) refuses(operation string) error {
	if q.refused.Load() == operation {
		return syscall.ENOSPC
	}
	return nil
}

func (q quotaFileSystem) Rename(oldPath, newPath string) error {
	if err := q.refuses("rename"); err != nil {
		return err
	}
	return q.OperatingSystem.Rename(oldPath, newPath)
}

func (q quotaFileSystem) SyncFolder(path string) error {
	if err := q.refuses("folder sync"); err != nil {
		return err
	}
	return q.OperatingSystem.SyncFolder(path)
}

func (q quotaFileSystem) OpenFile(path string, flags int) (disk.File, error) {
	if err := q.refuses("open"); err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil && q.room() == 0 {
		return nil, syscall.ENOSPC
	}
	f, err := q.OperatingSystem.OpenFile(path, flags)
	return quotaFile{
		File:  f,
		quota: q,
	}, err
}

func (q quotaFileSystem) ReplaceFile(folder, path string, content []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := errors.Join(q.refuses("open"), q.refuses("rename")); err != nil {
		return err
	}
	if q.room() < int64(len(content)) {
		return syscall.ENOSPC
	}
	return q.OperatingSystem.ReplaceFile(folder, path, content)
}

func (q quotaFileSystem) Space(string) (s disk.Space, err error) {
	s.Total, s.Free = q.limit.Load(), q.room()
	return s, nil
}

type quotaFile struct {
	disk.File
	quota quotaFileSystem
}

func (f quotaFile) Write(b []byte) (int, error) {
	f.quota.mu.Lock()
	defer f.quota.mu.Unlock()
	if room := f.quota.room(); room < int64(len(b)) {
		n, err := f.File.Write(b[:room])
		return n, errors.Join(err, syscall.ENOSPC)
	}
	return f.File.Write(b)
}

func (f quotaFile) Sync() error {
	time.Sleep(time.Duration(f.quota.syncDelay.Load()))
	if err := f.quota.refuses("file sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f quotaFile) WriteAt(b []byte, offset int64) (int, error) {
	f.quota.mu.Lock()
	defer f.quota.mu.Unlock()
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	if offset+int64(len(b))-info.Size() > f.quota.room() {
		return 0, syscall.ENOSPC
	}
	return f.File.WriteAt(b, offset)
}

// A limitedFolder is a data folder under a quota with a Writer.
type limitedFolder struct {
	path   string
	quota  quotaFileSystem
	writer *disk.Writer
	ctx    context.Context
	// full has a value each time that the disk becomes full.
	full   chan struct{}
	ended  chan error
	synced atomic.Uint64
	hard   atomic.Pointer[consensus.HardState]
	stop   func()
}

// startLimited starts a Writer in a folder, whose configuration edit may change.
func startLimited(path string, edit func(q quotaFileSystem, cfg *disk.WriterConfig)) *limitedFolder {
	l := &limitedFolder{
		path:  path,
		quota: newQuota(path),
		full:  make(chan struct{}, 100),
		ended: make(chan error, 1),
	}
	f, err := disk.OpenFolder(disk.FolderConfig{
		Path:  path,
		Files: l.quota,
	})
	Expect(err).NotTo(HaveOccurred())
	log, _, err := disk.Recover(f)
	Expect(err).NotTo(HaveOccurred())
	cfg := disk.WriterConfig{
		Folder:          f,
		Log:             log,
		EntriesSynced:   func(e consensus.Entry) { l.synced.Store(e.Index) },
		HardStateSynced: func(hard consensus.HardState) { l.hard.Store(&hard) },
		FullChanged: func(r disk.FullReport) {
			if r.Err != nil {
				l.full <- struct{}{}
			}
		},
		QueueLength: 16,
	}
	if edit != nil {
		edit(l.quota, &cfg)
	}
	l.writer = disk.NewWriter(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	l.ctx = ctx
	go func() { l.ended <- l.writer.Run(ctx) }()
	l.stop = sync.OnceFunc(func() {
		cancel()
		Eventually(l.ended).WithTimeout(10 * time.Second).Should(Receive())
		Expect(log.Close()).To(Succeed())
		Expect(f.Close()).To(Succeed())
	})
	DeferCleanup(l.stop)
	return l
}

// enqueue queues an operation and fails if the queue stays full.
func (l *limitedFolder) enqueue(op disk.Operation) {
	ctx, cancel := context.WithTimeout(l.ctx, 5*time.Second)
	defer cancel()
	ExpectWithOffset(1, l.writer.Enqueue(ctx, op)).To(BeTrue(), "the queue is full")
}

// settle waits until all that is queued is durable.
func (l *limitedFolder) settle() {
	done := make(chan struct{})
	l.enqueue(disk.After{
		Run: func() { close(done) },
	})
	EventuallyWithOffset(1, done).WithTimeout(10 * time.Second).Should(BeClosed())
}

// reopened stops the Writer and returns what a new process reads.
func (l *limitedFolder) reopened() disk.Recovered {
	l.stop()
	f, log, r, err := open(l.path)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	Expect(log.Close()).To(Succeed())
	Expect(f.Close()).To(Succeed())
	return r
}

// longEntries returns entries with data of the given length.
func longEntries(from, n, bytes int) []consensus.Entry {
	list := entries(from, n)
	for i := range list {
		list[i].Payload = consensus.Data{
			Bytes: make([]byte, bytes),
		}
	}
	return list
}

func appendOf(hard consensus.HardState, list []consensus.Entry) disk.Append {
	return disk.Append{
		Persist: consensus.Persist{
			Hard:    hard,
			Entries: list,
		},
	}
}

func snapshotOf(index uint64, keepAfter uint64, done func()) disk.SaveSnapshot {
	return disk.SaveSnapshot{
		Snapshot: disk.Snapshot{
			Meta: consensus.SnapshotMeta{
				Index: index,
				Term:  1,
			},
			State: fmt.Append(nil, "state at ", index),
		},
		KeepAfter: keepAfter,
		Done:      done,
	}
}

var _ = Describe("A snapshot on a full disk", func() {
	hard := consensus.HardState{
		Term: 1,
	}
	const entryBytes = 4 << 10

	// Five disks that were full at once stayed so: the snapshot that would have freed them
	// was behind the entries that found no room.
	It("frees the room for entries that were queued before it", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, longEntries(1, 20, entryBytes)))
		l.settle()
		l.quota.leave(entryBytes / 2)
		l.enqueue(appendOf(hard, longEntries(21, 1, entryBytes)))
		Eventually(l.full).WithTimeout(10 * time.Second).Should(Receive())
		l.enqueue(appendOf(hard, longEntries(22, 1, entryBytes)))
		saved := make(chan struct{})
		l.enqueue(snapshotOf(20, 10, func() { close(saved) }))
		Eventually(saved).WithTimeout(10 * time.Second).Should(BeClosed())
		l.settle()
		Expect(l.synced.Load()).To(Equal(uint64(22)))
		r := l.reopened()
		Expect(r.StoredState.Snapshot.Index).To(Equal(uint64(20)))
		Expect(r.StoredState.Entries).To(Equal(longEntries(21, 2, entryBytes)))
	})

	// The core requests one snapshot at a time, of what it has applied, which may not be all
	// that has to be removed from the log.
	It("is reported as saved while entries still wait, so that the next one can follow", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, longEntries(1, 20, entryBytes)))
		l.settle()
		l.quota.leave(entryBytes / 2)
		l.enqueue(appendOf(hard, longEntries(21, 28, entryBytes)))
		Eventually(l.full).WithTimeout(10 * time.Second).Should(Receive())
		// Half of the log has to fit beside the whole of it.
		l.quota.leave(11 * entryBytes)
		first := make(chan struct{})
		l.enqueue(snapshotOf(10, 0, func() { close(first) }))
		Eventually(first).WithTimeout(10 * time.Second).Should(BeClosed())
		Expect(l.synced.Load()).To(Equal(uint64(20)))
		l.enqueue(snapshotOf(20, 0, func() {}))
		l.settle()
		Expect(l.synced.Load()).To(Equal(uint64(48)))
		Expect(l.reopened().StoredState.Entries).To(Equal(longEntries(21, 28, entryBytes)))
	})

	// With room, a log is not written anew while much of it would stay. If nothing can be
	// committed, no later snapshot follows.
	It("frees the room later if the log was not worth compacting at first", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, longEntries(1, 20, entryBytes)))
		saved := make(chan struct{})
		l.enqueue(snapshotOf(10, 0, func() { close(saved) }))
		Eventually(saved).Should(BeClosed())
		l.settle()
		l.quota.leave(11 * entryBytes)
		l.enqueue(appendOf(hard, longEntries(21, 15, entryBytes)))
		l.settle()
		Expect(l.synced.Load()).To(Equal(uint64(35)))
		Expect(l.reopened().StoredState.Entries).To(Equal(longEntries(11, 25, entryBytes)))
	})

	It("that a process has saved that was killed before it compacted the log frees it too", func() {
		path := newFilledFolder(1000)
		f, log, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.SaveSnapshot(snapshotOf(990, 0, nil).Snapshot)).To(Succeed())
		Expect(log.Close()).To(Succeed())
		Expect(f.Close()).To(Succeed())
		l := startLimited(path, nil)
		l.settle()
		l.quota.leave(entryBytes / 2)
		l.enqueue(appendOf(hard, longEntries(1001, 5, entryBytes)))
		l.settle()
		Expect(l.synced.Load()).To(Equal(uint64(1005)))
	})

	It("that covers entries that wait makes it needless to write them", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, longEntries(1, 20, entryBytes)))
		l.settle()
		l.quota.leave(entryBytes / 2)
		l.enqueue(appendOf(consensus.HardState{
			Term: 2,
		}, longEntries(21, 200, entryBytes)))
		Eventually(l.full).WithTimeout(10 * time.Second).Should(Receive())
		l.enqueue(snapshotOf(220, 0, func() {}))
		l.settle()
		Expect(l.synced.Load()).To(Equal(uint64(220)))
		r := l.reopened()
		Expect(r.StoredState.Entries).To(BeEmpty())
		Expect(r.StoredState.Hard.Term).To(Equal(uint64(2)))
	})

	It("that was received replaces the entries that wait before it, and none after it", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, longEntries(1, 20, entryBytes)))
		l.settle()
		l.quota.leave(entryBytes / 2)
		l.enqueue(appendOf(hard, longEntries(21, 40, entryBytes)))
		Eventually(l.full).WithTimeout(10 * time.Second).Should(Receive())
		l.enqueue(snapshotOf(30, disk.KeepNone, func() {}))
		l.enqueue(appendOf(hard, longEntries(31, 2, entryBytes)))
		l.settle()
		Expect(l.synced.Load()).To(Equal(uint64(32)))
		Expect(l.reopened().StoredState.Entries).To(Equal(longEntries(31, 2, entryBytes)))
	})

	// A log that fills most of the disk leaves no room for what a snapshot does not cover, and
	// a later snapshot, which covers more, is requested only once the first one is saved.
	DescribeTable("is saved although the rest of the log finds no room beside it", func(covered uint64, left int) {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, longEntries(1, 40, entryBytes)))
		l.settle()
		l.quota.leave(int64(left * entryBytes))
		saved := make(chan struct{})
		l.enqueue(snapshotOf(covered, 0, func() { close(saved) }))
		Eventually(saved).WithTimeout(10 * time.Second).Should(BeClosed())
		l.enqueue(appendOf(hard, longEntries(41, 2, entryBytes)))
		l.settle()
		Expect(l.full).NotTo(Receive())
		l.enqueue(snapshotOf(41, 0, func() {}))
		l.settle()
		Expect(logBytes(l.path)).To(BeNumerically("<", 2*entryBytes))
		r := l.reopened()
		Expect(r.StoredState.Snapshot.Index).To(Equal(uint64(41)))
		Expect(r.StoredState.Entries).To(Equal(longEntries(42, 1, entryBytes)))
	},
		Entry("since it is most of the log", uint64(10), 30),
		Entry("since little is free", uint64(32), 5),
	)

	It("frees the room later if the rest of the log found none at first", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, longEntries(1, 40, entryBytes)))
		l.settle()
		l.quota.leave(5 * entryBytes)
		l.enqueue(snapshotOf(32, 0, func() {}))
		l.settle()
		l.enqueue(appendOf(hard, longEntries(41, 6, entryBytes)))
		Eventually(l.full).WithTimeout(10 * time.Second).Should(Receive())
		l.quota.leave(9 * entryBytes)
		l.settle()
		Expect(logBytes(l.path)).To(BeNumerically("<", 15*entryBytes))
		Expect(l.reopened().StoredState.Entries).To(Equal(longEntries(33, 14, entryBytes)))
	})

	// The event loop waits while the queue is full, and hands out no snapshot then.
	It("is taken from the queue however much was queued before it", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, longEntries(1, 20, entryBytes)))
		l.settle()
		l.quota.leave(0)
		called := 0
		for i := range 200 {
			l.enqueue(appendOf(hard, longEntries(21+i, 1, 10)))
			l.enqueue(disk.After{
				Run: func() { called++ },
				Key: "reply",
			})
		}
		l.quota.leave(200)
		l.enqueue(snapshotOf(20, 0, func() {}))
		l.settle()
		Expect(l.synced.Load()).To(Equal(uint64(220)))
		Expect(called).To(BeNumerically("<", 200))
	})
})

var _ = Describe("Operations that waited for room", func() {
	// calls are the callbacks that were called, in their order, and those of snapshots of the
	// replica's own, which wait for nothing but the snapshot.
	type calls struct {
		ordered, saved []int
	}

	// randomOperations returns operations as a replica queues them, which record their
	// callbacks.
	randomOperations := func(random *rand.Rand, called *calls) (ops []disk.Operation) {
		last, snapshot, term := 0, 0, uint64(1)
		for i := range 2 + random.IntN(20) {
			done := func() { called.ordered = append(called.ordered, i) }
			switch random.IntN(6) {
			case 0, 1, 2:
				if random.IntN(4) == 0 {
					term++
					last = max(snapshot, last-random.IntN(3))
				}
				n := random.IntN(4)
				ops = append(ops, appendOf(consensus.HardState{
					Term: term,
				}, entries(last+1, n)))
				last += n
			case 3:
				ops = append(ops, disk.After{
					Run: done,
				})
			case 4:
				snapshot = max(snapshot, last-random.IntN(4))
				ops = append(ops, snapshotOf(uint64(snapshot), uint64(max(0, snapshot-2)), func() {
					called.saved = append(called.saved, i)
				}))
			case 5:
				snapshot = last + 1 + random.IntN(3)
				last = snapshot
				ops = append(ops, snapshotOf(uint64(snapshot), disk.KeepNone, done))
			}
		}
		return ops
	}

	// run performs the operations that a seed stands for and returns what is durable then,
	// with their callbacks.
	run := func(seed uint64, isFull bool) (r disk.Recovered, called calls) {
		l := startLimited(GinkgoT().TempDir(), func(_ quotaFileSystem, cfg *disk.WriterConfig) {
			cfg.QueueLength = 64
		})
		if isFull {
			l.quota.leave(0)
			l.enqueue(appendOf(consensus.HardState{
				Term: 1,
			}, nil))
			Eventually(l.full).WithTimeout(10 * time.Second).Should(Receive())
		}
		for _, op := range randomOperations(rand.New(rand.NewPCG(seed, 2)), &called) {
			l.enqueue(op)
		}
		l.quota.leave(1 << 30)
		l.settle()
		r = l.reopened()
		r.TornBytes, r.IsRewritten = 0, false
		return r, called
	}

	It("leave the same on the disk, in the same order, as if there had been room", func() {
		for seed := range uint64(40) {
			wanted, wantedCalls := run(seed, false)
			r, called := run(seed, true)
			Expect(called).To(Equal(wantedCalls), "seed %d", seed)
			Expect(r).To(Equal(wanted), "seed %d", seed)
		}
	})
})

// logBytes returns the length of the log file of a folder.
func logBytes(path string) int64 {
	info, err := os.Stat(filepath.Clean(logFile(path)))
	Expect(err).NotTo(HaveOccurred())
	return info.Size()
}

var _ = Describe("A log that was compacted", func() {
	// The entries before a snapshot are never read again; those of large changes filled
	// the disk.
	It("holds none of the entries that the snapshot covers", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(consensus.HardState{
			Term: 1,
		}, longEntries(1, 100, 1<<10)))
		l.enqueue(snapshotOf(98, 10, func() {}))
		l.settle()
		Expect(logBytes(l.path)).To(BeNumerically("<", 4<<10))
		Expect(l.reopened().StoredState.Entries).To(Equal(longEntries(99, 2, 1<<10)))
	})
})

var _ = Describe("A full disk that refuses more than writes", func() {
	hard := consensus.HardState{
		Term: 1,
	}

	DescribeTable("does not end the process", func(operation string) {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, entries(1, 20)))
		l.settle()
		l.quota.refused.Store(operation)
		l.enqueue(appendOf(hard, entries(21, 10)))
		l.enqueue(snapshotOf(18, 0, func() {}))
		Eventually(l.full).WithTimeout(10 * time.Second).Should(Receive())
		l.enqueue(appendOf(consensus.HardState{
			Term: 2,
		}, entries(31, 5)))
		done := make(chan struct{})
		l.enqueue(disk.After{
			Run: func() { close(done) },
		})
		Consistently(done, 400*time.Millisecond).ShouldNot(BeClosed())
		Expect(l.ended).NotTo(Receive())
		l.quota.refused.Store("")
		Eventually(done).WithTimeout(10 * time.Second).Should(BeClosed())
		Expect(l.synced.Load()).To(Equal(uint64(35)))
		r := l.reopened()
		Expect(r.StoredState.Snapshot.Index).To(Equal(uint64(18)))
		Expect(r.StoredState.Entries).To(Equal(entries(19, 17)))
		Expect(r.StoredState.Hard.Term).To(Equal(uint64(2)))
		Expect(fileNames(l.path)).To(ConsistOf("identity", "lock", "snapshot", "vote", filepath.Base(logFile(l.path))))
	},
		Entry("but the creation of files", "open"),
		Entry("but the renaming of files", "rename"),
		Entry("but the syncs of files", "file sync"),
		Entry("but the syncs of folders", "folder sync"),
	)

	// An attempt takes long on a slow disk, and the next one must not wait for a multiple of it.
	It("is used soon after it has room and is fast again", func() {
		l := startLimited(GinkgoT().TempDir(), nil)
		l.enqueue(appendOf(hard, entries(1, 20)))
		l.settle()
		l.quota.syncDelay.Store(int64(400 * time.Millisecond))
		l.quota.refused.Store("file sync")
		l.enqueue(appendOf(hard, entries(21, 10)))
		Eventually(l.full).WithTimeout(10 * time.Second).Should(Receive())
		time.Sleep(time.Second)
		l.quota.syncDelay.Store(0)
		l.quota.refused.Store("")
		Eventually(l.synced.Load).WithTimeout(2 * time.Second).Should(Equal(uint64(30)))
	})

	It("makes the transfer of a snapshot fail, and is reported as full", func() {
		q := newQuota(GinkgoT().TempDir())
		f, err := disk.OpenFolder(disk.FolderConfig{
			Path:  q.path,
			Files: q,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		for _, leave := range []int64{0, 10} {
			q.leave(leave)
			var full *disk.FullError
			Expect(errors.As(f.WriteSnapshotChunk(0, make([]byte, 20)), &full)).To(BeTrue())
			Expect(fileNames(q.path)).To(ConsistOf("identity", "lock"))
		}
	})
})

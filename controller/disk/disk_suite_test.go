package disk_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/member"
)

func TestDisk(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "disk")
}

func entries(from, n int) []consensus.Entry {
	list := make([]consensus.Entry, n)
	for i := range list {
		list[i] = consensus.Entry{
			Index: uint64(from + i),
			Term:  1,
			Payload: consensus.Data{
				Bytes: []byte(fmt.Sprintf("entry %d", from+i)),
			},
		}
	}
	return list
}

func open(path string) (*disk.Folder, *disk.Log, disk.Recovered, error) {
	f, err := disk.OpenFolder(disk.FolderConfig{
		Path: path,
	})
	if err != nil {
		return nil, nil, disk.Recovered{}, err
	}
	l, r, err := disk.Recover(f)
	if err != nil {
		_ = f.Close()
	}
	return f, l, r, err
}

// newFilledFolder returns the path of a data folder whose log holds n entries, each
// in its own frame.
func newFilledFolder(n int) string {
	path := GinkgoT().TempDir()
	f, l, _, err := open(path)
	Expect(err).NotTo(HaveOccurred())
	for _, e := range entries(1, n) {
		Expect(l.Append(consensus.HardState{
			Term: 1,
		}, []consensus.Entry{
			e,
		})).To(Succeed())
	}
	Expect(l.Sync()).To(Succeed())
	Expect(l.Close()).To(Succeed())
	Expect(f.Close()).To(Succeed())
	return path
}

func logFile(path string) string {
	files, err := filepath.Glob(filepath.Join(path, "*.wal"))
	Expect(err).NotTo(HaveOccurred())
	Expect(files).To(HaveLen(1))
	return files[0]
}

// editLogFile replaces the bytes of the log file with the result of edit.
func editLogFile(path string, edit func(b []byte) []byte) {
	b, err := os.ReadFile(logFile(path))
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(logFile(path), edit(b), 0o600)).To(Succeed())
}

var _ = Describe("A data folder", func() {
	It("returns its identity, entries and term after a restart", func() {
		path := newFilledFolder(10)
		f, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.ID()).NotTo(BeEmpty())
		Expect(r.StoredState.Entries).To(Equal(entries(1, 10)))
		Expect(r.StoredState.Hard.Term).To(Equal(uint64(1)))
	})

	It("cannot be opened twice at the same time", func() {
		path := GinkgoT().TempDir()
		_, _, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		_, err = disk.OpenFolder(disk.FolderConfig{
			Path: path,
		})
		Expect(err).To(MatchError(ContainSubstring("another process")))
	})

	It("is refused if it has a log but no identity", func() {
		path := newFilledFolder(1)
		Expect(os.Remove(filepath.Join(path, "identity"))).To(Succeed())
		_, err := disk.OpenFolder(disk.FolderConfig{
			Path: path,
		})
		Expect(err).To(MatchError(ContainSubstring("no identity")))
	})

	DescribeTable("truncates a torn write at the end of the log",
		func(cut int) {
			path := newFilledFolder(10)
			editLogFile(path, func(b []byte) []byte { return b[:len(b)-cut] })
			_, l, r, err := open(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StoredState.Entries).To(Equal(entries(1, 9)))
			Expect(l.Append(r.StoredState.Hard, entries(10, 1))).To(Succeed())
		},
		Entry("one byte", 1),
		Entry("ten bytes", 10),
		Entry("half a frame", 40),
	)

	It("truncates trailing zeros in the log", func() {
		path := newFilledFolder(10)
		editLogFile(path, func(b []byte) []byte { return append(b, make([]byte, 4096)...) })
		_, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StoredState.Entries).To(HaveLen(10))
		Expect(r.TornBytes).To(Equal(int64(4096)))
	})

	It("is refused if a bit is flipped in any byte of the log", func() {
		path := newFilledFolder(5)
		size := 0
		editLogFile(path, func(b []byte) []byte {
			size = len(b)
			return b
		})
		flip := func(i int) {
			editLogFile(path, func(b []byte) []byte {
				b[i] ^= 0x40
				return b
			})
		}
		for i := range size {
			flip(i)
			_, _, _, err := open(path)
			Expect(err).To(MatchError(ContainSubstring("is damaged at byte")), "byte %d", i)
			flip(i)
		}
	})

	It("returns the last snapshot and only the entries after it", func() {
		path := GinkgoT().TempDir()
		f, l, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := disk.NewWriter(disk.WriterConfig{
			Folder:        f,
			Log:           l,
			EntriesSynced: func(consensus.Entry) {},
			QueueLength:   16,
		})
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		done := make(chan struct{})
		w.Enqueue(ctx, disk.Append{
			Persist: consensus.Persist{
				Entries: entries(1, 20),
			},
		})
		w.Enqueue(ctx, disk.SaveSnapshot{
			Snapshot: disk.Snapshot{
				Meta: consensus.SnapshotMeta{
					Index:   10,
					Term:    1,
					Members: member.Set{},
				},
				State: []byte("state"),
			},
			KeepAfter: 8,
			Done:      func() { close(done) },
		})
		Eventually(done).Should(BeClosed())
		cancel()
		Eventually(ended).Should(Receive(BeNil()))
		Expect(l.Close()).To(Succeed())
		Expect(f.Close()).To(Succeed())
		_, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.State).To(Equal([]byte("state")))
		Expect(r.StoredState.Entries).To(Equal(entries(11, 10)))
	})
})

// limitFileSize simulates a full disk by limiting the size of the files that this
// process can write, until the returned function is called.
func limitFileSize(bytes int64) (restore func()) {
	var before syscall.Rlimit
	Expect(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
	limited := before
	limited.Cur = uint64(bytes)
	Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limited)).To(Succeed())
	return sync.OnceFunc(func() {
		Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
	})
}

var _ = Describe("A full disk", func() {
	const (
		term = 3
		// filled entries take more space than the log that go test itself writes,
		// which the limit applies to as well.
		filled = 6000
	)

	startWriter := func(path string) (failed chan error, synced chan uint64, full chan error, stop func()) {
		f, l, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		failed, synced, full = make(chan error, 1), make(chan uint64, 1), make(chan error, 8)
		w := disk.NewWriter(disk.WriterConfig{
			Folder:        f,
			Log:           l,
			EntriesSynced: func(e consensus.Entry) { synced <- e.Index },
			FullChanged: func(r disk.FullReport) {
				if r.Err != nil {
					full <- r.Err
					return
				}
				full <- nil
			},
			QueueLength: 16,
		})
		go func() { failed <- w.Run(ctx) }()
		DeferCleanup(func() {
			cancel()
			Expect(l.Close()).To(Succeed())
			Expect(f.Close()).To(Succeed())
		})
		w.Enqueue(ctx, disk.Append{
			Persist: consensus.Persist{
				Hard: consensus.HardState{
					Term: term,
				},
				Entries: entries(filled+1, 20),
			},
		})
		return failed, synced, full, cancel
	}

	It("delays writes until space is free, and loses none of them", func() {
		path := newFilledFolder(filled)
		info, err := os.Stat(logFile(path))
		Expect(err).NotTo(HaveOccurred())
		restore := limitFileSize(info.Size() + 30)
		DeferCleanup(restore)
		failed, synced, full, _ := startWriter(path)
		Eventually(full).Should(Receive(MatchError(ContainSubstring("disk is full"))))
		Consistently(synced, 300*time.Millisecond).ShouldNot(Receive())
		restore()
		Eventually(synced).Should(Receive(Equal(uint64(filled + 20))))
		Expect(full).To(Receive(BeNil()))
		Expect(failed).NotTo(Receive())
		_, content, err := disk.OpenLog(disk.FolderConfig{
			Path: path,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(content.Entries).To(Equal(entries(1, filled+20)))
		Expect(content.Hard.Term).To(Equal(uint64(term)))
	})

	// A process that ended would have to write to the same full disk after its start.
	It("lets the writer wait until its process stops, which is no failure, and leaves the log intact", func() {
		path := newFilledFolder(filled)
		info, err := os.Stat(logFile(path))
		Expect(err).NotTo(HaveOccurred())
		restore := limitFileSize(info.Size() + 30)
		DeferCleanup(restore)
		failed, synced, full, stop := startWriter(path)
		Eventually(full).Should(Receive(MatchError(ContainSubstring("disk is full"))))
		Consistently(failed, time.Second).ShouldNot(Receive())
		stop()
		Eventually(failed).Should(Receive(BeNil()))
		Expect(synced).NotTo(Receive())
		_, content, err := disk.OpenLog(disk.FolderConfig{
			Path: path,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(content.Entries).To(Equal(entries(1, filled)))
		Expect(content.TornBytes).To(BeZero())
	})

	It("preserves the last snapshot and the log if there is no space for a new one", func() {
		path := newFilledFolder(filled)
		f, l, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		meta := consensus.SnapshotMeta{
			Index: 5,
			Term:  1,
		}
		Expect(f.SaveSnapshot(disk.Snapshot{
			Meta:  meta,
			State: []byte("first"),
		})).To(Succeed())
		restore := limitFileSize(64 << 10)
		DeferCleanup(restore)
		var full *disk.FullError
		err = f.SaveSnapshot(disk.Snapshot{
			Meta:  meta,
			State: make([]byte, 128<<10),
		})
		Expect(errors.As(err, &full)).To(BeTrue())
		Expect(errors.As(l.CompactLog(0), &full)).To(BeTrue())
		restore()
		Expect(l.Close()).To(Succeed())
		Expect(f.Close()).To(Succeed())
		_, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.State).To(Equal([]byte("first")))
		Expect(r.StoredState.Entries).To(Equal(entries(6, filled-5)))
	})
})

// BenchmarkCommit compares group commit with one sync for each entry, for several
// numbers of concurrent writers.
func BenchmarkCommit(b *testing.B) {
	for _, disableGroupCommit := range []bool{true, false} {
		for _, writers := range []int{1, 8, 64} {
			name := "grouped"
			if disableGroupCommit {
				name = "each"
			}
			b.Run(fmt.Sprintf("%s/writers-%d", name, writers), func(b *testing.B) {
				benchmarkCommit(b, disableGroupCommit, writers)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, disableGroupCommit bool, writers int) {
	f, err := disk.OpenFolder(disk.FolderConfig{
		Path: b.TempDir(),
	})
	if err != nil {
		b.Fatal(err)
	}
	l, _, err := disk.Recover(f)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := disk.NewWriter(disk.WriterConfig{
		Folder:             f,
		Log:                l,
		EntriesSynced:      func(consensus.Entry) {},
		DisableGroupCommit: disableGroupCommit,
		QueueLength:        1024,
	})
	go func() { _ = w.Run(ctx) }()
	var mu sync.Mutex
	next := 0
	b.ResetTimer()
	startedAt := time.Now()
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for {
				mu.Lock()
				next++
				n := next
				if n <= b.N {
					w.Enqueue(ctx, disk.Append{
						Persist: consensus.Persist{
							Entries: entries(n, 1),
						},
					})
				}
				durable := make(chan struct{})
				w.Enqueue(ctx, disk.After{
					Run: func() { close(durable) },
				})
				mu.Unlock()
				if n > b.N {
					return
				}
				<-durable
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(startedAt).Seconds(), "commits/s")
}

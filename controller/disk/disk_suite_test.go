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
	f, err := disk.OpenFolder(path)
	if err != nil {
		return nil, nil, disk.Recovered{}, err
	}
	l, r, err := disk.Recover(f)
	if err != nil {
		_ = f.Close()
	}
	return f, l, r, err
}

// filled returns a folder whose log holds n entries, a sync for each.
func filled(n int) string {
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

// change rewrites the log's bytes.
func change(path string, f func(b []byte) []byte) {
	b, err := os.ReadFile(logFile(path))
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(logFile(path), f(b), 0o600)).To(Succeed())
}

var _ = Describe("A data folder", func() {
	It("keeps its identity, its entries and its term", func() {
		path := filled(10)
		f, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.ID()).NotTo(BeEmpty())
		Expect(r.StoredState.Entries).To(Equal(entries(1, 10)))
		Expect(r.StoredState.Hard.Term).To(Equal(uint64(1)))
	})

	It("is used by one process at a time", func() {
		path := GinkgoT().TempDir()
		_, _, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		_, err = disk.OpenFolder(path)
		Expect(err).To(MatchError(ContainSubstring("another process")))
	})

	It("with a log but no identity is refused", func() {
		path := filled(1)
		Expect(os.Remove(filepath.Join(path, "identity"))).To(Succeed())
		_, err := disk.OpenFolder(path)
		Expect(err).To(MatchError(ContainSubstring("no identity")))
	})

	DescribeTable("cuts off what a crash left unfinished, at every length",
		func(cut int) {
			path := filled(10)
			change(path, func(b []byte) []byte { return b[:len(b)-cut] })
			_, l, r, err := open(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StoredState.Entries).To(Equal(entries(1, 9)))
			Expect(l.Append(r.StoredState.Hard, entries(10, 1))).To(Succeed())
		},
		Entry("one byte", 1),
		Entry("ten bytes", 10),
		Entry("half a frame", 40),
	)

	It("cuts off zeros at the end", func() {
		path := filled(10)
		change(path, func(b []byte) []byte { return append(b, make([]byte, 4096)...) })
		_, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StoredState.Entries).To(HaveLen(10))
		Expect(r.TornBytes).To(Equal(int64(4096)))
	})

	It("refuses to start at any flipped byte", func() {
		path := filled(5)
		size := 0
		change(path, func(b []byte) []byte {
			size = len(b)
			return b
		})
		flip := func(i int) {
			change(path, func(b []byte) []byte {
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

	It("keeps what a snapshot does not cover, and nothing else", func() {
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
		go func() { _ = w.Run(ctx) }()
		done := make(chan struct{})
		w.Enqueue(ctx, disk.Append{
			Persist: consensus.Persist{
				Entries: entries(1, 20),
			},
		})
		w.Enqueue(ctx, disk.CompactLog{
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
		Expect(l.Close()).To(Succeed())
		Expect(f.Close()).To(Succeed())
		_, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.State).To(Equal([]byte("state")))
		Expect(r.StoredState.Entries).To(Equal(entries(11, 10)))
	})
})

// limitFiles bounds the size of the files that this process may write, as a
// full disk does, until the returned function is called.
func limitFiles(bytes int64) (lift func()) {
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
	const term = 3

	write := func(path string, patience time.Duration) (failed chan error, synced chan uint64, full chan error) {
		f, l, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		failed, synced, full = make(chan error, 1), make(chan uint64, 1), make(chan error, 8)
		w := disk.NewWriter(disk.WriterConfig{
			Folder:        f,
			Log:           l,
			EntriesSynced: func(e consensus.Entry) { synced <- e.Index },
			FullChanged: func(err *disk.FullError, _ time.Duration) {
				if err != nil {
					full <- err
					return
				}
				full <- nil
			},
			FullTimeout: patience,
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
				Entries: entries(11, 20),
			},
		})
		return failed, synced, full
	}

	It("makes writes wait and loses nothing once it has room again", func() {
		path := filled(10)
		info, err := os.Stat(logFile(path))
		Expect(err).NotTo(HaveOccurred())
		lift := limitFiles(info.Size() + 30)
		DeferCleanup(lift)
		failed, synced, full := write(path, time.Minute)
		Eventually(full).Should(Receive(MatchError(ContainSubstring("disk is full"))))
		Consistently(synced, 300*time.Millisecond).ShouldNot(Receive())
		lift()
		Eventually(synced).Should(Receive(Equal(uint64(30))))
		Expect(full).To(Receive(BeNil()))
		Expect(failed).NotTo(Receive())
		_, content, err := disk.OpenLog(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(content.Entries).To(Equal(entries(1, 30)))
		Expect(content.Hard.Term).To(Equal(uint64(term)))
	})

	It("ends the writer once its patience is over, and the log stays whole", func() {
		path := filled(10)
		info, err := os.Stat(logFile(path))
		Expect(err).NotTo(HaveOccurred())
		lift := limitFiles(info.Size() + 30)
		DeferCleanup(lift)
		failed, synced, _ := write(path, 250*time.Millisecond)
		var full *disk.FullError
		Eventually(failed).Should(Receive(Satisfy(func(err error) bool { return errors.As(err, &full) })))
		Expect(synced).NotTo(Receive())
		_, content, err := disk.OpenLog(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(content.Entries).To(Equal(entries(1, 10)))
		Expect(content.TornBytes).To(BeZero())
	})

	It("keeps the last snapshot and the log until a new one has room", func() {
		path := filled(10)
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
		lift := limitFiles(64)
		DeferCleanup(lift)
		var full *disk.FullError
		err = f.SaveSnapshot(disk.Snapshot{
			Meta:  meta,
			State: make([]byte, 4096),
		})
		Expect(errors.As(err, &full)).To(BeTrue())
		Expect(errors.As(l.CompactLog(0), &full)).To(BeTrue())
		lift()
		Expect(l.Close()).To(Succeed())
		Expect(f.Close()).To(Succeed())
		_, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.State).To(Equal([]byte("first")))
		Expect(r.StoredState.Entries).To(Equal(entries(6, 5)))
	})
})

// BenchmarkCommit compares one sync for all that wait with a sync for each
// entry, at several numbers of writers.
func BenchmarkCommit(b *testing.B) {
	for _, each := range []bool{true, false} {
		for _, writers := range []int{1, 8, 64} {
			name := "grouped"
			if each {
				name = "each"
			}
			b.Run(fmt.Sprintf("%s/writers-%d", name, writers), func(b *testing.B) {
				commit(b, each, writers)
			})
		}
	}
}

func commit(b *testing.B, each bool, writers int) {
	f, err := disk.OpenFolder(b.TempDir())
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
		DisableGroupCommit: each,
		QueueLength:        1024,
	})
	go func() { _ = w.Run(ctx) }()
	var mu sync.Mutex
	next := 0
	b.ResetTimer()
	began := time.Now()
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
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "commits/s")
}

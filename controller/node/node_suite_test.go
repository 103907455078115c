package node_test

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/node"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

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

// startLeader starts a controller that is the only voter of its group.
func startLeader(path string, snapshotEvery int) (n *node.Node, stopped chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	n, err := node.New(ctx, node.Config{
		Listen:        "127.0.0.1:0",
		DataDir:       path,
		SnapshotEvery: snapshotEvery,
		Voters:        1,
		FormGroup:     true,
		Seeds:         func() []string { return nil },
		Logger:        zerolog.Nop(),
	})
	Expect(err).NotTo(HaveOccurred())
	stopped = make(chan error, 1)
	stopping := make(chan struct{})
	go func() { stopped <- n.Run(ctx, stopping) }()
	DeferCleanup(func() {
		close(stopping)
		cancel()
		// The folder is removed next.
		Eventually(n.Written()).WithTimeout(5 * time.Second).Should(BeClosed())
		// Each controller registers its metrics with the process.
		metrics.UnregisterAllMetrics()
	})
	Eventually(func() bool { return n.Core().HasLease(time.Now()) }).WithTimeout(5 * time.Second).Should(BeTrue())
	return n, stopped
}

// fillLog submits n commands and waits until they are committed.
func fillLog(n *node.Node, commands int) {
	for i := range commands {
		Expect(submit(context.Background(), n, i%2 == 0)).To(Succeed())
	}
	Eventually(func() uint64 { return n.Core().Replica().CommitIndex() }).WithTimeout(5 * time.Second).
		Should(BeNumerically(">=", commands))
}

// submit posts a command, and waits while the queue of the event loop is full.
func submit(ctx context.Context, n *node.Node, outOfService bool) error {
	return n.Post(ctx, control.Submit{
		Command: plantainladder.SetDataCentre{
			Name:         "a",
			OutOfService: outOfService,
		},
	})
}

// largestFile returns the size in bytes of the largest file in a folder.
func largestFile(path string) (size int64) {
	Expect(filepath.WalkDir(path, func(_ string, d fs.DirEntry, _ error) error {
		info, err := os.Stat(filepath.Join(path, d.Name()))
		if err == nil && !d.IsDir() {
			size = max(size, info.Size())
		}
		return nil
	})).To(Succeed())
	return size
}

// largestLog returns the size in bytes of the largest log file in a folder.
func largestLog(path string) (size int64) {
	files, err := filepath.Glob(filepath.Join(path, "*.wal"))
	Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			size = max(size, info.Size())
		}
	}
	return size
}

var _ = Describe("A controller whose disk was full", func() {
	It("goes on if all its queues have filled up meanwhile", func() {
		path := GinkgoT().TempDir()
		n, stopped := startLeader(path, 1_000_000)
		fillLog(n, 500)
		restore := limitFileSize(largestFile(path) + 10)
		DeferCleanup(restore)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		posted := 0
		for submit(ctx, n, posted%2 == 0) == nil {
			posted++
		}
		before := n.Core().Replica().CommitIndex()
		restore()
		Eventually(func() uint64 { return n.Core().Replica().CommitIndex() }).WithTimeout(10 * time.Second).
			Should(BeNumerically(">", before))
		ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(submit(ctx, n, true)).To(Succeed())
		last := n.Core().Replica().Log().LastIndex()
		Eventually(func() uint64 { return n.Core().Replica().CommitIndex() }).WithTimeout(5 * time.Second).
			Should(BeNumerically(">=", last))
		Expect(stopped).NotTo(Receive())
	})

	// The snapshot that frees the disk is not due, and was queued behind what found no room.
	It("frees the disk by itself with a snapshot, and goes on", func() {
		const changes = 2000
		path := GinkgoT().TempDir()
		n, stopped := startLeader(path, 1_000_000)
		fillLog(n, 3000)
		full := largestLog(path)
		restore := limitFileSize(full + 10)
		DeferCleanup(restore)
		last := n.Core().Replica().Log().LastIndex() + changes
		for i := range changes {
			Expect(submit(context.Background(), n, i%2 == 0)).To(Succeed())
		}
		Eventually(func() uint64 { return n.Core().Replica().CommitIndex() }).WithTimeout(10 * time.Second).
			Should(BeNumerically(">=", last))
		Expect(largestLog(path)).To(BeNumerically("<", full))
		Expect(stopped).NotTo(Receive())
	})

	It("goes on to compact its log if snapshots were due each time", func() {
		const snapshotEvery = 100
		path := GinkgoT().TempDir()
		n, stopped := startLeader(path, snapshotEvery)
		fillLog(n, 1500)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		for range 6 {
			restore := limitFileSize(largestFile(path) / 2)
			DeferCleanup(restore)
			until := time.Now().Add(400 * time.Millisecond)
			for i := 0; i < 500 || time.Now().Before(until); i++ {
				Expect(submit(ctx, n, i%2 == 0)).To(Succeed())
				time.Sleep(time.Millisecond)
			}
			restore()
			last := n.Core().Replica().Log().LastIndex()
			Eventually(func() uint64 { return n.Core().Replica().CommitIndex() }).WithTimeout(5 * time.Second).
				Should(BeNumerically(">=", last))
		}
		// The last snapshot may be that of before the last fill.
		Expect(submit(ctx, n, true)).To(Succeed())
		Eventually(func() uint64 {
			l := n.Core().Replica().Log()
			return l.LastIndex() - l.BaseIndex()
		}).WithTimeout(5 * time.Second).Should(BeNumerically("<=", 1000+2*snapshotEvery))
		Expect(stopped).NotTo(Receive())
	})
})

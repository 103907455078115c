package disk_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
)

const (
	// childFolder is the variable that makes this program open a data folder, compact its
	// log and print the memory that it got from the operating system.
	childFolder = "DISK_TEST_FOLDER"
	// processBytes is the memory limit of a controller on the users' platform, and
	// softLimitBytes the share of it that the Go runtime is told.
	processBytes   = 280 << 20
	softLimitBytes = processBytes * 45 / 100
)

func TestMain(m *testing.M) {
	path := os.Getenv(childFolder)
	if path == "" {
		os.Exit(m.Run())
	}
	if err := compactFolder(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	fmt.Println(stats.Sys)
}

// compactFolder saves a snapshot that covers all entries of a folder but the last one.
func compactFolder(path string) error {
	f, l, r, err := open(path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := disk.NewWriter(disk.WriterConfig{
		Folder:        f,
		Log:           l,
		EntriesSynced: func(consensus.Entry) {},
		QueueLength:   1,
	})
	w.Enqueue(ctx, snapshotOf(uint64(len(r.StoredState.Entries)-1), 0, cancel))
	return w.Run(ctx)
}

var _ = Describe("A long log without a snapshot", func() {
	// A snapshot once came only after 4,000 entries, however long they were. A
	// controller with such a log must not exceed its memory limit at each start.
	It("is opened and compacted within the memory of a controller", func() {
		const (
			frames, entriesPerFrame = 50, 8
			entryBytes              = 256 << 10
		)
		path := GinkgoT().TempDir()
		f, l, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		for i := range frames {
			Expect(l.Append(consensus.HardState{
				Term: 1,
			}, longEntries(1+i*entriesPerFrame, entriesPerFrame, entryBytes))).To(Succeed())
		}
		Expect(l.Sync()).To(Succeed())
		Expect(l.Close()).To(Succeed())
		Expect(f.Close()).To(Succeed())
		Expect(logBytes(path)).To(BeNumerically(">", 100<<20))

		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), childFolder+"="+path, "GOMEMLIMIT="+strconv.Itoa(softLimitBytes))
		child.Stderr = GinkgoWriter
		out, err := child.Output()
		Expect(err).NotTo(HaveOccurred())
		bytes, err := strconv.Atoi(strings.TrimSpace(string(out)))
		Expect(err).NotTo(HaveOccurred())
		// The rest is for the state and the connections.
		Expect(bytes).To(BeNumerically("<", processBytes*2/3))
		Expect(logBytes(path)).To(BeNumerically("<", 2*entryBytes))
	})
})

package disk_test

import (
	"errors"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/controller/disk"
)

// fileNames returns the names of the files in a data folder that hold its data.
func fileNames(path string) (names []string) {
	files, err := os.ReadDir(path)
	Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		names = append(names, f.Name())
	}
	return names
}

var _ = Describe("Files that take up space", func() {
	It("are removed at the next start if a process was killed while it wrote them", func() {
		path := newFilledFolder(3)
		want := fileNames(path)
		for _, name := range []string{".snapshot123456789", ".identity123456789", "log-00000002.wal.tmp", "snapshot.arriving"} {
			Expect(os.WriteFile(filepath.Join(path, name), make([]byte, 1000), 0o600)).To(Succeed())
		}
		_, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StoredState.Entries).To(Equal(entries(1, 3)))
		Expect(fileNames(path)).To(ConsistOf(want))
	})

	It("are removed at the next start if a process was killed while it compacted the log", func() {
		path := newFilledFolder(3)
		first := filepath.Join(path, "log-00000001.wal")
		replaced, err := os.ReadFile(first)
		Expect(err).NotTo(HaveOccurred())
		f, log, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.CompactLog(0)).To(Succeed())
		Expect(errors.Join(log.Close(), f.Close())).To(Succeed())
		want := fileNames(path)
		Expect(os.WriteFile(first, replaced, 0o600)).To(Succeed())
		_, _, r, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StoredState.Entries).To(Equal(entries(1, 3)))
		Expect(fileNames(path)).To(ConsistOf(want))
	})

	It("are removed once a received snapshot was read", func() {
		path := newFilledFolder(3)
		sender, _, _, err := open(newFilledFolder(3))
		Expect(err).NotTo(HaveOccurred())
		Expect(sender.SaveSnapshot(disk.Snapshot{
			State: []byte("state"),
		})).To(Succeed())
		file, err := sender.OpenSnapshot()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(file.Close)
		chunk, isLast, err := sender.ReadSnapshotChunk(file, 0, 1<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(isLast).To(BeTrue())
		want := fileNames(path)
		f, _, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.WriteSnapshotChunk(0, chunk)).To(Succeed())
		s, err := f.LoadReceivedSnapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.State).To(Equal([]byte("state")))
		Expect(fileNames(path)).To(ConsistOf(want))
	})

	It("are removed if the disk is full before a received snapshot is complete", func() {
		path := newFilledFolder(3)
		want := fileNames(path)
		f, _, _, err := open(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.WriteSnapshotChunk(0, make([]byte, 128<<10))).To(Succeed())
		restore := limitFileSize(192 << 10)
		DeferCleanup(restore)
		Expect(f.WriteSnapshotChunk(128<<10, make([]byte, 128<<10))).NotTo(Succeed())
		restore()
		Expect(fileNames(path)).To(ConsistOf(want))
	})
})

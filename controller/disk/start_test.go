package disk_test

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/formation"
)

// A countingFileSystem counts the syncs of files and folders.
type countingFileSystem struct {
	disk.OperatingSystem
	syncs *int
}

func (s countingFileSystem) OpenFile(path string, flags int) (disk.File, error) {
	f, err := s.OperatingSystem.OpenFile(path, flags)
	return countingFile{
		File:  f,
		syncs: s.syncs,
	}, err
}

func (s countingFileSystem) ReplaceFile(folder, path string, content []byte) error {
	*s.syncs++
	return s.OperatingSystem.ReplaceFile(folder, path, content)
}

func (s countingFileSystem) SyncFolder(path string) error {
	*s.syncs++
	return s.OperatingSystem.SyncFolder(path)
}

type countingFile struct {
	disk.File
	syncs *int
}

func (f countingFile) Sync() error {
	*f.syncs++
	return f.File.Sync()
}

var _ = Describe("A start with a log", func() {
	It("is not delayed by more than two syncs in a row", func() {
		syncs := 0
		cfg := disk.FolderConfig{
			Path: filepath.Join(GinkgoT().TempDir(), "data"),
			Files: countingFileSystem{
				syncs: &syncs,
			},
		}
		for range 2 {
			syncs = 0
			f, err := disk.OpenFolder(cfg)
			Expect(err).NotTo(HaveOccurred())
			l, _, err := disk.Recover(f)
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Append(consensus.HardState{
				Term: 1,
			}, nil)).To(Succeed())
			Expect(l.Close()).To(Succeed())
			Expect(f.Close()).To(Succeed())
		}
		Expect(syncs).To(Equal(2))
	})
})

var _ = Describe("The state of the agreement on the first group", func() {
	// Messages that are sent again would fill the queue of a slow disk otherwise.
	It("is not written again if it has not changed", func() {
		syncs := 0
		f, err := disk.OpenFolder(disk.FolderConfig{
			Path: filepath.Join(GinkgoT().TempDir(), "data"),
			Files: countingFileSystem{
				syncs: &syncs,
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		for round := range uint64(2) {
			for range 3 {
				syncs = 0
				Expect(f.SaveFormation(formation.Stored{
					Founders: []string{"a", "b", "c"},
					Promised: formation.Ballot{
						Round: round,
					},
				})).To(Succeed())
			}
			Expect(syncs).To(BeZero())
			s, ok, err := f.LoadFormation()
			Expect(err).NotTo(HaveOccurred())
			Expect(ok).To(BeTrue())
			Expect(s.Promised.Round).To(Equal(round))
		}
	})
})

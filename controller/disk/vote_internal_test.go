package disk

import (
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A fullFolder counts the syncs of folders. The first one finds no room.
type fullFolder struct {
	OperatingSystem
	syncs int
}

func (f *fullFolder) SyncFolder(path string) error {
	if f.syncs++; f.syncs == 1 {
		return syscall.ENOSPC
	}
	return f.OperatingSystem.SyncFolder(path)
}

// A loss of power would take the file away, with the votes that were answered.
var _ = Describe("A vote file whose folder could not be synced", func() {
	It("is not used before that was done", func() {
		files, folder := &fullFolder{}, GinkgoT().TempDir()
		_, err := openVoteFile(files, folder)
		Expect(isFull(err)).To(BeTrue())
		v, err := openVoteFile(files, folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(files.syncs).To(Equal(2))
		Expect(v.file.Close()).To(Succeed())
	})
})

package disk_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/formation"
	"github.com/plantainladder/plantainladder/member"
)

// A replacementCounter counts the files that are replaced.
type replacementCounter struct {
	disk.OperatingSystem
	replaced int
}

func (c *replacementCounter) ReplaceFile(folder, path string, content []byte) error {
	c.replaced++
	return c.OperatingSystem.ReplaceFile(folder, path, content)
}

var _ = Describe("The stored agreement on the first group", func() {
	open := func(path string) *disk.Folder {
		f, err := disk.OpenFolder(disk.FolderConfig{
			Path: path,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = f.Close() })
		return f
	}

	It("is the one that was saved last, and is missing on an empty disk", func() {
		f := open(GinkgoT().TempDir())
		_, ok, err := f.LoadFormation()
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
		stored := formation.Stored{
			Founders: []string{"a", "b"},
			Founder:  formation.NoFounder,
			Promised: formation.Ballot{
				Round:   3,
				Founder: 1,
			},
			Group: member.Set{
				Group: "g",
			}.WithMember(member.Member{
				ID:      "id",
				Address: "a",
				Voter:   true,
			}),
		}
		Expect(f.SaveFormation(formation.Stored{})).To(Succeed())
		Expect(f.SaveFormation(stored)).To(Succeed())
		loaded, ok, err := f.LoadFormation()
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(loaded).To(Equal(stored))
	})

	It("is written once although it is saved again and again", func() {
		files := &replacementCounter{}
		f, err := disk.OpenFolder(disk.FolderConfig{
			Path:  GinkgoT().TempDir(),
			Files: files,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = f.Close() })
		stored := formation.Stored{
			Founder: 1,
		}
		before := files.replaced
		for range 3 {
			Expect(f.SaveFormation(stored)).To(Succeed())
		}
		Expect(files.replaced - before).To(Equal(1))
		stored.Promised.Round++
		Expect(f.SaveFormation(stored)).To(Succeed())
		Expect(files.replaced - before).To(Equal(2))
	})

	It("is refused if a bit of it is flipped, since a promise could be forgotten", func() {
		path := GinkgoT().TempDir()
		f := open(path)
		Expect(f.SaveFormation(formation.Stored{
			Founders: []string{"a"},
		})).To(Succeed())
		file := filepath.Join(path, "formation")
		b, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		b[len(b)/2] ^= 1
		Expect(os.WriteFile(file, b, 0o600)).To(Succeed())
		_, _, err = f.LoadFormation()
		Expect(err).To(HaveOccurred())
	})
})

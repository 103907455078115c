package consensus_test

import (
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/plantainladder/plantainladder/consensus"
)

// A log that is bounded by its number of entries alone fills the disk with large ones.
var _ = Describe("A log", func() {
	const overhead = 64

	It("knows the size of its entries whatever was appended, truncated and compacted", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := consensus.NewLog(7, 1)
			sizes := map[uint64]uint64{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				index := rapid.Uint64Range(l.BaseIndex(), l.LastIndex()).Draw(t, "index")
				switch rapid.IntRange(0, 5).Draw(t, "action") {
				case 0:
					l = l.Truncated(index + 1)
				case 1:
					l = l.Compacted(index)
				default:
					command := make([]byte, rapid.IntRange(0, 300).Draw(t, "size"))
					l = l.WithEntry(consensus.Entry{
						Index: l.LastIndex() + 1,
						Payload: consensus.Data{
							Bytes: command,
						},
					})
					sizes[l.LastIndex()] = overhead + uint64(len(command))
				}
				checkSizes(t, l, sizes)
			}
		})
	})
})

func checkSizes(t *rapid.T, l consensus.Log, sizes map[uint64]uint64) {
	total := uint64(0)
	for index := l.LastIndex(); ; index-- {
		if got := l.BytesAfter(index); got != total {
			t.Fatalf("%d bytes after %d, want %d", got, index, total)
		}
		if index == l.BaseIndex() {
			break
		}
		total += sizes[index]
	}
	if l.Bytes() != total {
		t.Fatalf("%d bytes, want %d", l.Bytes(), total)
	}
	maxEntries, maxBytes := rapid.Uint64Range(0, 20).Draw(t, "max entries"), rapid.Uint64Range(0, 2000).Draw(t, "max bytes")
	last := l.LastIndex()
	want := last
	for want > l.BaseIndex() && last-want < maxEntries && l.BytesBetween(want-1, last) <= maxBytes {
		want--
	}
	if got := l.Trailing(last, maxEntries, maxBytes); got != want {
		t.Fatalf("keeps after %d, want %d", got, want)
	}
}

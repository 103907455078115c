package codec_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/codec"
)

func TestCodec(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "codec")
}

type figure interface {
	figure()
}

type circle struct {
	Radius int `json:"radius"`
}

type longLine struct {
	From int `json:"from"`
	To   int `json:"to"`
}

func (circle) figure()   {}
func (longLine) figure() {}

var _ = Describe("Union", func() {
	all := codec.NewUnion(codec.Of[figure, circle](), codec.Of[figure, longLine]())

	It("decodes each value to its original type", func() {
		for _, f := range []figure{
			circle{
				Radius: 3,
			},
			longLine{
				From: 1,
				To:   2,
			},
		} {
			b, err := all.Marshal(f)
			Expect(err).NotTo(HaveOccurred())
			Expect(all.Unmarshal(b)).To(Equal(f))
		}
		Expect(all.Name(longLine{})).To(Equal("long-line"))
	})

	It("rejects unknown variants and truncated input", func() {
		some := codec.NewUnion(codec.Of[figure, circle]())
		_, err := some.Marshal(longLine{})
		Expect(err).To(MatchError(ContainSubstring("unknown variant")))
		b, err := all.Marshal(longLine{})
		Expect(err).NotTo(HaveOccurred())
		_, err = some.Unmarshal(b)
		Expect(err).To(MatchError(ContainSubstring("long-line")))
		_, err = all.Unmarshal(b[:len(b)-1])
		Expect(err).To(HaveOccurred())
	})
})

func ExampleKebab() {
	fmt.Println(codec.Kebab("PutContract"))
	// Output: put-contract
}

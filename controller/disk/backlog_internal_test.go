package disk

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A disk that is full for days would fill the memory with replies.
var _ = Describe("A backlog", func() {
	It("holds one callback of a key, however many there were", func() {
		b := backlog{
			keys: map[string]int{},
		}
		called := 0
		for i := range 1000 {
			b = b.with([]Operation{
				After{
					Key: "reply",
					Run: func() { called = i },
				},
				After{
					Run: func() {},
				},
			})
		}
		Expect(b.callbacks).To(HaveLen(1001))
		b.callbacks[0].Run()
		Expect(called).To(Equal(999))
	})
})

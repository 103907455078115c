package control_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/control"
)

// A caller that is told to try again would do so for ever.
var _ = Describe("A command that no message between controllers can hold", func() {
	It("is refused for good", func() {
		l := newLeader()
		Expect(l.step(control.Submit{
			Token: 2,
			Command: plantainladder.SetDataCentre{
				Name: strings.Repeat("a", maxCommandBytes),
			},
		})).To(ConsistOf(control.Reply{
			Token: 2,
			Answer: control.Refused{
				Reason: string(plantainladder.RefusedTooLarge),
				Detail: "no message can hold the command",
			},
		}))
	})
})

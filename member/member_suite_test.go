package member_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

func voter(id, address string) member.Member {
	return member.Member{
		ID:      id,
		Address: address,
		Voter:   true,
	}
}

func learner(id, address, replaces string) member.Member {
	return member.Member{
		ID:       id,
		Address:  address,
		Replaces: replaces,
	}
}

var _ = Describe("Admission", func() {
	three := []member.Member{
		voter("a", "1"), voter("b", "2"), voter("c", "3"),
	}
	DescribeTable("brings a controller in by itself", func(members []member.Member, joiner member.Member, dead string, want member.Change) {
		set := member.Set{
			Group:   "g",
			Members: members,
		}
		change, ok := set.JoinChange(joiner, 3, func(id string) bool { return id == dead })
		Expect(ok).To(Equal(want != nil))
		if want != nil {
			Expect(change).To(Equal(want))
		}
	},
		Entry("into a group that is not full", three[:2], learner("x", "4", ""), "", member.Add{
			Member: learner("x", "4", ""),
		}),
		Entry("not into a full group", three, learner("x", "4", ""), "", nil),
		Entry("not twice", three, learner("b", "2", ""), "", nil),
		Entry("with an empty disk in the place of the one at its address", three, learner("x", "2", ""), "", member.Add{
			Member: learner("x", "2", "b"),
		}),
		Entry("at a new address in the place of a dead one", three, learner("x", "4", ""), "c", member.Add{
			Member: learner("x", "4", "c"),
		}),
		Entry("not if a dead one has a successor", append([]member.Member{learner("y", "5", "c")}, three...),
			learner("x", "4", ""), "c", nil),
		Entry("after a learner whose disk was lost as well is removed",
			append([]member.Member{learner("y", "2", "b")}, three...), learner("x", "2", ""), "", member.Remove{
				ID: "y",
			}),
		Entry("after a dead learner is removed",
			append([]member.Member{learner("y", "5", "c")}, three...), learner("x", "4", ""), "y", member.Remove{
				ID: "y",
			}),
	)
})

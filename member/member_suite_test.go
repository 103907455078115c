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

var _ = Describe("The removal of a member", func() {
	It("ends its replacement, so that it may join again", func() {
		set := member.Set{
			Group: "g",
			Members: []member.Member{
				voter("a", "1"), voter("b", "2"), voter("x", "4").WithReplaces("b"),
			},
		}
		set, err := set.WithChange(member.Remove{
			ID: "b",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Members).To(Equal([]member.Member{
			voter("a", "1"), voter("x", "4"),
		}))
	})
})

var _ = Describe("JoinChange", func() {
	three := []member.Member{
		voter("a", "1"), voter("b", "2"), voter("c", "3"),
	}
	DescribeTable("returns the change that lets a controller join", func(members []member.Member, joiner member.Member, dead string, want member.Change) {
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
		Entry("adds it to a group with too few members", three[:2], learner("x", "4", ""), "", member.Add{
			Member: learner("x", "4", ""),
		}),
		Entry("returns none for a complete group", three, learner("x", "4", ""), "", nil),
		Entry("returns none for a member", three, learner("b", "2", ""), "", nil),
		Entry("replaces the voter at the same address, whose disk was lost", three, learner("x", "2", ""), "", member.Add{
			Member: learner("x", "2", "b"),
		}),
		Entry("replaces a dead voter", three, learner("x", "4", ""), "c", member.Add{
			Member: learner("x", "4", "c"),
		}),
		Entry("returns none if the dead voter has a successor already", append([]member.Member{learner("y", "5", "c")}, three...),
			learner("x", "4", ""), "c", nil),
		Entry("replaces the voter at the same address that no other one replaces, if the disk was lost twice",
			append(three[:3:3], learner("x", "2", "b").WithVoter()), learner("y", "2", ""), "", member.Add{
				Member: learner("y", "2", "x"),
			}),
		Entry("first removes a learner at the same address, whose disk was lost too",
			append([]member.Member{learner("y", "2", "b")}, three...), learner("x", "2", ""), "", member.Remove{
				ID: "y",
			}),
		Entry("first removes a dead learner",
			append([]member.Member{learner("y", "5", "c")}, three...), learner("x", "4", ""), "y", member.Remove{
				ID: "y",
			}),
	)
})

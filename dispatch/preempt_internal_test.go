package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A gang of which one member is being stopped", func() {
	member := func(index int, isStopping bool) holder {
		return holder{
			task: workflow.PlacedTask{
				Ref: workflow.Ref{
					Key: workflow.Key{
						Workflow: "gang",
						Index:    index,
					},
					Run: 1,
				},
				Terms: workflow.Step{
					IsGang: true,
				},
			},
			priority:   1,
			lost:       1,
			endsAt:     time.Unix(int64(index), 0),
			isStopping: isStopping,
		}
	}
	It("still offers the others, and is spared by what is no more urgent", func() {
		n := &node{
			worker: pool.Worker{
				ID: "w",
			},
			holders: []holder{
				member(0, true),
				member(1, false),
				member(2, false),
			},
		}
		f := &fleet{
			nodes: []*node{
				n,
			},
		}
		groups := groupsOf(f, 0)
		Expect(groups).To(HaveLen(1))
		for k, found := range groups {
			Expect(found.members).To(HaveLen(2), "the room of the first is coming already")
			Expect(found.lost).To(Equal(2.0))
			Expect(found.isSpared).To(BeFalse())
			Expect(found.endsAt).To(Equal(time.Unix(2, 0)))
			Expect(groupsOn(f.nodes, groups)).To(Equal([]groupKey{k}))
		}
		Expect(groupsOn(f.nodes, groupsOf(f, 1))).To(BeEmpty(), "as urgent as what needs room")
	})
})

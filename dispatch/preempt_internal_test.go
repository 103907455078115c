package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// TestGroups asks what of a gang may still be stopped if one of its members is
// being stopped already.
func TestGroups(t *testing.T) {
	g := NewWithT(t)
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
	g.Expect(groups).To(HaveLen(1))
	for k, found := range groups {
		g.Expect(found.members).To(HaveLen(2), "the room of the first is coming already")
		g.Expect(found.lost).To(Equal(2.0))
		g.Expect(found.isSpared).To(BeFalse())
		g.Expect(found.endsAt).To(Equal(time.Unix(2, 0)))
		g.Expect(groupsOn(f.nodes, groups)).To(Equal([]groupKey{k}))
	}
	g.Expect(groupsOn(f.nodes, groupsOf(f, 1))).To(BeEmpty(), "as urgent as what needs room")
}

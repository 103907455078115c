package control_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
)

var _ = Describe("A received snapshot", func() {
	It("is acknowledged without being installed if the state covers it", func() {
		l := newLeader()
		l.submit(plantainladder.SetDataCentre{
			Name:         "a",
			OutOfService: true,
		})
		state := l.core.State()
		effects := l.step(control.SnapshotReceived{
			Message: consensus.Message{
				From:  "c2",
				Group: "g",
				Term:  l.core.Replica().Hard().Term + 1,
			},
			Meta: consensus.SnapshotMeta{
				Index:   state.Index(),
				Term:    l.core.Replica().Log().LastTerm(),
				Members: l.core.Replica().Members(),
			},
			State: plantainladder.NewState(),
		})
		Expect(l.core.State().Index()).To(Equal(state.Index()))
		var replies []consensus.Body
		for _, f := range effects {
			if m, ok := f.(control.SendMessage); ok {
				replies = append(replies, m.Message.Body)
			}
			Expect(f).NotTo(BeAssignableToTypeOf(control.InstallSnapshot{}))
		}
		Expect(replies).To(ConsistOf(consensus.AppendReply{
			Accepted: true,
			Match:    state.Index(),
		}))
	})
})

// submitLarge submits a command of the given size, which is rejected when it is applied,
// and returns the snapshots that are requested.
func (l *leader) submitLarge(bytes int) (saves []control.SaveSnapshot) {
	for _, f := range l.step(control.Submit{
		Command: plantainladder.SetDataCentre{
			Name: strings.Repeat("a", bytes),
		},
	}) {
		if s, ok := f.(control.SaveSnapshot); ok {
			saves = append(saves, s)
		}
	}
	return saves
}

// nextSnapshot submits commands of the given size until a snapshot is requested.
func (l *leader) nextSnapshot(bytes int) control.SaveSnapshot {
	for range 200 {
		if saves := l.submitLarge(bytes); len(saves) > 0 {
			return saves[0]
		}
	}
	Fail("no snapshot was requested")
	return control.SaveSnapshot{}
}

// save reports a snapshot as saved, with an encoded state of the given size.
func (l *leader) save(s control.SaveSnapshot, bytes uint64) {
	l.step(control.SnapshotSaved{
		Index:     s.Meta.Index,
		Bytes:     bytes,
		KeepAfter: s.KeepAfter,
	})
}

// Entries of hundreds of kilobytes fill the disk long before their number makes a
// snapshot due, on all controllers at the same time.
var _ = Describe("A log of large entries", func() {
	const entryBytes = 200_000

	It("is compacted before it outgrows its bounds", func() {
		l := newLeader()
		snapshots := 0
		for range 100 {
			for _, s := range l.submitLarge(entryBytes) {
				snapshots++
				l.save(s, 1000)
				log := l.core.Replica().Log()
				Expect(log.Bytes()).To(And(BeNumerically("<=", trailingBytes), BeNumerically(">", trailingBytes-2*entryBytes)))
				Expect(log.BaseIndex()).To(Equal(s.KeepAfter))
			}
			Expect(l.core.Replica().Log().Bytes()).To(BeNumerically("<=", snapshotBytes+trailingBytes))
		}
		Expect(snapshots).To(Equal(100 * entryBytes / snapshotBytes))
	})

	// Otherwise each entry would rewrite the whole state.
	It("gets no snapshots that are larger than the entries since the last one", func() {
		l := newLeader()
		l.save(l.nextSnapshot(entryBytes), 2*snapshotBytes)
		next := l.nextSnapshot(entryBytes)
		Expect(l.core.LogBytesSinceSnapshot()).To(BeNumerically("~", 2*snapshotBytes, 2*entryBytes))
		l.save(next, 1000)
		l.nextSnapshot(entryBytes)
		Expect(l.core.LogBytesSinceSnapshot()).To(BeNumerically("~", snapshotBytes, 2*entryBytes))
	})
})

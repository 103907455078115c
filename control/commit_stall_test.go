package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/wire"

	plantainladder "github.com/plantainladder/plantainladder"
)

// stallableLeader leads a group of two voters. The other voter answers each message, but
// holds nothing of what was appended since the disks became full.
type stallableLeader struct {
	core control.Core
	now  time.Time
	// isFull is true while neither disk takes entries.
	isFull  bool
	effects []control.Effect
}

func newStallableLeader() *stallableLeader {
	now := time.Unix(1_700_000_000, 0)
	l := &stallableLeader{
		now: now,
		core: control.NewCore(control.Config{
			Codec: control.Codec{
				Encode: wire.MarshalEnvelope,
				Decode: wire.UnmarshalEnvelope,
			},
			SnapshotEvery: 1000,
		}, consensus.NewReplica(now, consensus.Config{
			ID:              "a",
			ElectionTimeout: 500 * time.Millisecond,
			Heartbeat:       100 * time.Millisecond,
			MaxBatchEntries: 100,
			MaxBatchBytes:   1 << 20,
			MaxUncommitted:  1000,
			MaxApplyEntries: 64,
			MaxApplyBytes:   1 << 16,
		}, consensus.StoredState{}), plantainladder.NewState()),
	}
	l.step(control.FormGroup{
		Group: "g",
		Self: member.Member{
			ID:      "a",
			Address: "address-a",
		},
	})
	l.step(control.ChangeMembers{
		Change: member.Add{
			Member: member.Member{
				ID:      "b",
				Address: "address-b",
			},
		},
	})
	l.advance(time.Second)
	l.step(control.ChangeMembers{
		Change: member.Promote{
			ID: "b",
		},
	})
	l.advance(time.Second)
	Expect(l.core.Replica().Members().Voters()).To(Equal(2))
	return l
}

func (l *stallableLeader) step(e control.Event) {
	var out []control.Effect
	l.core, out = l.core.Step(l.now, e)
	l.effects = append(l.effects, out...)
	for _, f := range out {
		switch f := f.(type) {
		case control.WriteLog:
			l.sync()
		case control.SendMessage:
			l.answer(f.Message)
		case control.ContinueApplying:
			l.step(control.ApplyDue{})
		}
	}
}

// sync reports the leader's log as durable.
func (l *stallableLeader) sync() {
	if !l.isFull {
		l.step(control.EntriesSynced{
			Index: l.core.Replica().Log().LastIndex(),
			Term:  l.core.Replica().Log().LastTerm(),
		})
	}
}

// answer delivers the answer of the other voter to a message of the leader.
func (l *stallableLeader) answer(m consensus.Message) {
	request, ok := m.Body.(consensus.Append)
	if !ok {
		return
	}
	match := request.PrevIndex + uint64(len(request.Entries))
	if l.isFull {
		match = l.core.Replica().CommitIndex()
	}
	l.step(control.PeerMessageReceived{
		Message: consensus.Message{
			From:  "b",
			To:    "a",
			Group: "g",
			Term:  m.Term,
			Body: consensus.AppendReply{
				Accepted: true,
				Match:    match,
				SentNS:   request.SentNS,
			},
		},
	})
}

// free makes both disks take entries again, and what waits.
func (l *stallableLeader) free() {
	l.isFull = false
	l.sync()
	l.step(control.PeerMessageReceived{
		Message: consensus.Message{
			From:  "b",
			To:    "a",
			Group: "g",
			Term:  l.core.Replica().Hard().Term,
			Body: consensus.AppendReply{
				Accepted: true,
				Match:    l.core.Replica().Log().LastIndex(),
			},
		},
	})
}

func (l *stallableLeader) advance(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(20 * time.Millisecond)
		l.step(control.Tick{})
	}
}

// submit submits a command and returns the answers that came at once.
func (l *stallableLeader) submit() (answers []control.Answer) {
	before := len(l.effects)
	l.step(control.Submit{
		Token: 1,
		Command: plantainladder.SetDataCentre{
			Name:  "a",
			Force: true,
		},
	})
	for _, f := range l.effects[before:] {
		if r, ok := f.(control.Reply); ok {
			answers = append(answers, r.Answer)
		}
	}
	return answers
}

func effectsOf[T control.Effect](l *stallableLeader) (list []T) {
	for _, f := range l.effects {
		if t, ok := f.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

// A leader whose disk and whose followers' disks were full kept its lease for 25 s, and no
// line said that it committed nothing.
var _ = Describe("A leader whose group commits nothing", func() {
	var l *stallableLeader

	BeforeEach(func() {
		l = newStallableLeader()
		Expect(l.submit()).To(HaveExactElements(BeAssignableToTypeOf(control.Committed{})))
		l.advance(3 * time.Second)
		Expect(effectsOf[control.LogCommitStalled](l)).To(BeEmpty(), "nothing waits")
		l.isFull = true
	})

	It("says after a second what is missing, every 10 s again, and when commits go on", func() {
		commitIndex := l.core.Replica().CommitIndex()
		Expect(l.submit()).To(BeEmpty(), "waits for its commit")
		l.advance(time.Second)
		Expect(effectsOf[control.LogCommitStalled](l)).To(BeEmpty())
		Expect(l.core.CommitStall(l.now)).To(BeZero())
		l.advance(20 * time.Millisecond)
		Expect(l.core.HasLease(l.now)).To(BeTrue())
		lines := effectsOf[control.LogCommitStalled](l)
		Expect(lines).To(HaveLen(1))
		Expect(lines[0].Voters).To(HaveExactElements(And(
			HaveField("Address", "address-b"),
			HaveField("Match", commitIndex),
			HaveField("ContactAge", BeNumerically("<", 200*time.Millisecond)),
		)))
		lines[0].Voters = nil
		Expect(lines[0]).To(Equal(control.LogCommitStalled{
			Waited:      1020 * time.Millisecond,
			CommitIndex: commitIndex,
			LastIndex:   commitIndex + 1,
			SyncedIndex: commitIndex,
		}))
		l.advance(11 * time.Second)
		Expect(effectsOf[control.LogCommitStalled](l)).To(HaveLen(2))
		Expect(l.core.CommitStall(l.now)).To(Equal(12020 * time.Millisecond))
		l.free()
		Expect(effectsOf[control.LogCommitResumed](l)).To(Equal([]control.LogCommitResumed{
			{
				Took:        12020 * time.Millisecond,
				CommitIndex: commitIndex + 1,
			},
		}))
		Expect(l.core.CommitStall(l.now)).To(BeZero())
		Expect(effectsOf[control.IncrementCounter](l)).To(ContainElement(control.IncrementCounter{
			Name:  control.CounterCommitStalls,
			Label: control.LabelOwnDisk,
		}))
	})

	It("is not stalled by a wait in which it did not run itself", func() {
		Expect(l.submit()).To(BeEmpty())
		l.now = l.now.Add(1200 * time.Millisecond)
		l.step(control.Tick{})
		Expect(effectsOf[control.LogCommitStalled](l)).To(BeEmpty())
		Expect(l.core.CommitStall(l.now)).To(BeZero())
	})

	// The caller of a command that waits behind others learns after its deadline that the
	// outcome is unknown.
	It("refuses commands at once, and accepts them as soon as commits go on", func() {
		Expect(l.submit()).To(BeEmpty())
		l.advance(900 * time.Millisecond)
		Expect(l.submit()).To(BeEmpty(), "a slow disk is no stall")
		l.advance(200 * time.Millisecond)
		lastIndex := l.core.Replica().Log().LastIndex()
		Expect(l.submit()).To(Equal([]control.Answer{
			control.Busy{
				Reason: control.BusyCommitStalled,
			},
		}))
		Expect(l.core.Replica().Log().LastIndex()).To(Equal(lastIndex), "nothing was proposed")
		l.free()
		Expect(l.submit()).To(HaveExactElements(BeAssignableToTypeOf(control.Committed{})))
	})
})

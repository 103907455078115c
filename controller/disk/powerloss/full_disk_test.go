package powerloss_test

import (
	"context"
	"fmt"
	"reflect"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
)

// A version is what a folder holds after an operation.
type version struct {
	hard          consensus.HardState
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []consensus.Entry
}

func (v version) lastIndex() uint64 {
	return v.snapshotIndex + uint64(len(v.entries))
}

func (v version) lastTerm() uint64 {
	if n := len(v.entries); n > 0 {
		return v.entries[n-1].Term
	}
	return v.snapshotTerm
}

// after returns the entries after an index.
func (v version) after(index uint64) []consensus.Entry {
	i := slices.IndexFunc(v.entries, func(e consensus.Entry) bool { return e.Index > index })
	if i < 0 {
		return nil
	}
	return v.entries[i:]
}

// A fullDiskHistory is a random history of a folder on a disk that is full at times.
type fullDiskHistory struct {
	lossyFolder
	// versions are those of the present process. All up to the one at durable were
	// reported to be durable.
	versions []version
	durable  int
	// hasSyncFailed is true if a sync has found no room since the log was rewritten.
	hasSyncFailed bool
	hasStarted    bool
	fulls         int
}

func (h *fullDiskHistory) happens(n int) bool {
	return h.disk.random.IntN(n) == 0
}

func (h *fullDiskHistory) current() version {
	return h.versions[len(h.versions)-1]
}

// next returns a random operation and what the folder holds after it.
func (h *fullDiskHistory) next() (disk.Operation, version) {
	v := h.current()
	switch {
	case h.happens(6) && len(v.entries) > 0:
		v.snapshotTerm = v.entries[0].Term
		v.snapshotIndex, v.entries = v.entries[0].Index, v.entries[1:]
		return h.saveSnapshot(v, v.snapshotIndex), v
	case h.happens(8) && v.hard.Term > v.lastTerm():
		// What a received snapshot replaces is of earlier terms.
		v.snapshotIndex += 1 + h.disk.random.Uint64N(uint64(len(v.entries))+3)
		v.snapshotTerm, v.entries = v.hard.Term, nil
		return h.saveSnapshot(v, disk.KeepNone), v
	case h.happens(4):
		v.hard = consensus.HardState{
			Term: v.hard.Term + 1,
			Vote: fmt.Sprint("c", h.disk.random.IntN(3)),
		}
		return disk.Append{
			Persist: consensus.Persist{
				Hard: v.hard,
			},
		}, v
	}
	from := v.lastIndex() + 1
	if h.happens(4) && len(v.entries) > 0 && v.hard.Term > v.lastTerm() {
		from = v.entries[h.disk.random.IntN(len(v.entries))].Index
	}
	added := entries(from, 1+h.disk.random.Uint64N(3))
	for i := range added {
		added[i].Term = v.hard.Term
	}
	v.entries = append(v.entries[:from-v.snapshotIndex-1:from-v.snapshotIndex-1], added...)
	return disk.Append{
		Persist: consensus.Persist{
			Hard:    v.hard,
			Entries: added,
		},
	}, v
}

func (h *fullDiskHistory) saveSnapshot(v version, keepAfter uint64) disk.SaveSnapshot {
	return disk.SaveSnapshot{
		Snapshot: disk.Snapshot{
			Meta: consensus.SnapshotMeta{
				Index: v.snapshotIndex,
				Term:  v.snapshotTerm,
			},
		},
		KeepAfter: keepAfter,
		Done:      func() {},
	}
}

// check returns what is wrong with a state that was recovered; "" if nothing is.
func (h *fullDiskHistory) check(r consensus.StoredState) string {
	kept := h.versions[h.durable:]
	hasHard := slices.ContainsFunc(kept, func(v version) bool { return v.hard == r.Hard })
	hasLog := slices.ContainsFunc(kept, func(v version) bool {
		return v.snapshotIndex <= r.Snapshot.Index && slices.EqualFunc(v.after(r.Snapshot.Index), r.Entries,
			func(a, b consensus.Entry) bool { return reflect.DeepEqual(a, b) })
	})
	if !hasHard || !hasLog || r.Snapshot.Index < kept[0].snapshotIndex {
		return fmt.Sprintf("recovered %+v, want one of %+v", r, kept)
	}
	return ""
}

// play starts a process in the folder, which performs random operations until it is killed,
// and returns what was wrong at its start.
func (h *fullDiskHistory) play() string {
	h.disk.isFull = h.happens(4) && h.hasStarted && !h.hasSyncFailed
	h.hasStarted = true
	f, log, r, err := h.open()
	if err != nil {
		return err.Error()
	}
	if problem := h.check(r.StoredState); problem != "" {
		return problem
	}
	h.hasSyncFailed = h.hasSyncFailed && !r.IsRewritten
	h.versions, h.durable = []version{
		{
			hard:          r.StoredState.Hard,
			snapshotIndex: r.StoredState.Snapshot.Index,
			snapshotTerm:  r.StoredState.Snapshot.Term,
			entries:       r.StoredState.Entries,
		},
	}, 0
	if v := h.current(); v.hard.Term < v.snapshotTerm {
		// The term of a received snapshot may not be durable yet.
		v.hard = consensus.HardState{
			Term: v.snapshotTerm,
		}
		h.versions = append(h.versions, v)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := disk.NewWriter(disk.WriterConfig{
		Folder:        f,
		Log:           log,
		EntriesSynced: func(consensus.Entry) {},
		FullChanged: func(r disk.FullReport) {
			if r.Err == nil {
				return
			}
			h.fulls++
			if h.disk.isFull = h.happens(2); h.disk.isFull {
				cancel()
			}
		},
		ReserveBytes: 256,
		QueueLength:  1 << 10,
	})
	if h.happens(2) {
		h.disk.operationsLeft = 1 + h.disk.random.IntN(40)
	}
	for ctx.Err() == nil && h.disk.operationsLeft != 0 && !h.happens(12) {
		h.disk.isFull = h.happens(4)
		h.disk.fullSyncs, h.disk.fullFolderSyncs = max(0, h.disk.random.IntN(8)-5), max(0, h.disk.random.IntN(8)-5)
		h.hasSyncFailed = h.hasSyncFailed || h.disk.fullSyncs > 0
		h.perform(ctx, w)
	}
	h.disk.fullSyncs, h.disk.fullFolderSyncs, h.disk.isFull = 0, 0, false
	Expect(log.Close()).To(Succeed())
	Expect(f.Close()).To(Succeed())
	return ""
}

// perform queues some operations and runs the writer until all are performed, it is killed
// or it waits for room.
func (h *fullDiskHistory) perform(ctx context.Context, w *disk.Writer) {
	ctx, done := context.WithCancel(ctx)
	defer done()
	for range 1 + h.disk.random.IntN(4) {
		op, v := h.next()
		h.versions = append(h.versions, v)
		n := len(h.versions) - 1
		Expect(w.Enqueue(ctx, op)).To(BeTrue())
		Expect(w.Enqueue(ctx, disk.After{
			Run: func() { h.durable = n },
		})).To(BeTrue())
	}
	Expect(w.Enqueue(ctx, disk.After{
		Run: done,
	})).To(BeTrue())
	if err := w.Run(ctx); err != nil {
		Expect(err).To(MatchError(errKilled))
	}
}

var _ = Describe("A folder on a disk that is full at times", func() {
	It("keeps what was reported to be durable over kills and losses of power", func() {
		fulls := 0
		for seed := range uint64(seedsPerTest) {
			h := &fullDiskHistory{
				lossyFolder: newLossyFolder(seed),
				versions:    make([]version, 1),
			}
			for range 10 {
				Expect(h.play()).To(BeEmpty(), "seed %d", seed)
				if h.happens(2) {
					h.disk.losePower(h.happens(2))
				}
			}
			fulls += h.fulls
		}
		Expect(fulls).To(BeNumerically(">", 0))
	})
})

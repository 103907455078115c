package control

import (
	"time"

	"github.com/plantainladder/plantainladder/consensus"
)

// LogBytesSinceSnapshot returns the size of the log entries since the last snapshot, in
// bytes.
func (c Core) LogBytesSinceSnapshot() uint64 {
	return c.replica.Log().BytesAfter(c.snapshotIndex)
}

// snapshotIfDue requests a snapshot once enough entries, or enough bytes of them, have been
// applied since the last one.
func (c Core) snapshotIfDue() (Core, []Effect) {
	if !c.isSnapshotDue(c.state.Index()) {
		return c, nil
	}
	return c.saveSnapshot()
}

func (c Core) isSnapshotDue(index uint64) bool {
	if index >= c.snapshotIndex+c.cfg.SnapshotEvery {
		return true
	}
	// With a state that is larger than the bound, each entry would make a snapshot due.
	maxBytes := max(c.cfg.SnapshotBytes, c.snapshotBytes)
	return c.cfg.SnapshotBytes > 0 && c.replica.Log().BytesBetween(c.snapshotIndex, index) >= maxBytes
}

// saveSnapshot requests a snapshot of the state, unless one is being saved or covers it
// already.
func (c Core) saveSnapshot() (Core, []Effect) {
	index := c.state.Index()
	term, ok := c.replica.Log().Term(index)
	if c.isSavingSnapshot || !ok || index <= c.snapshotIndex {
		return c, nil
	}
	c.isSavingSnapshot = true
	return c, []Effect{
		SaveSnapshot{
			Meta: consensus.SnapshotMeta{
				Index:   index,
				Term:    term,
				Members: c.replica.MembersAt(index),
			},
			State:     c.state,
			KeepAfter: c.keepAfter(index),
		},
	}
}

// keepAfter returns the last entry that the log may drop once a snapshot of the index is
// saved. On a full disk, all that the snapshot covers takes the room that is needed.
func (c Core) keepAfter(index uint64) uint64 {
	if c.fullDisk.isFull() {
		return index
	}
	return c.replica.Log().Trailing(index, c.cfg.TrailingEntries, c.cfg.TrailingBytes)
}

func (c Core) stepSnapshotSaved(now time.Time, e SnapshotSaved) (Core, []Effect) {
	c.isSavingSnapshot = false
	if e.Index > c.snapshotIndex {
		c.snapshotIndex, c.snapshotBytes = e.Index, e.Bytes
	}
	return c.stepReplica(now, consensus.Compacted{
		Index: e.KeepAfter,
	})
}

func (c Core) stepSnapshotReceived(now time.Time, e SnapshotReceived) (Core, []Effect) {
	c.receivedSnapshot = &e
	c, out := c.stepReplica(now, consensus.SnapshotReceived{
		Message: e.Message,
		Meta:    e.Meta,
	})
	c.receivedSnapshot = nil
	return c, out
}

// installSnapshot replaces the state by that of the received snapshot.
func (c Core) installSnapshot() (Core, []Effect) {
	c.state = c.receivedSnapshot.State
	c.snapshotIndex = c.receivedSnapshot.Meta.Index
	c.snapshotBytes = uint64(len(c.receivedSnapshot.Encoded))
	return c, []Effect{
		InstallSnapshot{
			Meta:    c.receivedSnapshot.Meta,
			Encoded: c.receivedSnapshot.Encoded,
		},
	}
}

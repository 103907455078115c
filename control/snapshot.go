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
// applied since the last one. On a full disk, one is due as soon as anything was applied.
func (c Core) snapshotIfDue() (Core, []Effect) {
	index := c.state.Index()
	switch {
	case c.fullDisk.isFull():
		// Whatever the log holds of these entries takes the room that the disk needs.
		return c.saveSnapshot(index, index)
	case !c.isSnapshotDue(index):
		return c, nil
	}
	return c.saveSnapshot(index, c.replica.Log().Trailing(index, c.cfg.TrailingEntries, c.cfg.TrailingBytes))
}

func (c Core) isSnapshotDue(index uint64) bool {
	if index >= c.snapshotIndex+c.cfg.SnapshotEvery {
		return true
	}
	// With a state that is larger than the bound, each entry would make a snapshot due.
	maxBytes := max(c.cfg.SnapshotBytes, c.snapshotBytes)
	return c.cfg.SnapshotBytes > 0 && c.replica.Log().BytesBetween(c.snapshotIndex, index) >= maxBytes
}

// saveSnapshot requests a snapshot of the state at the index, unless one is being saved or
// covers it already. The log keeps the entries after keepAfter.
func (c Core) saveSnapshot(index, keepAfter uint64) (Core, []Effect) {
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
			KeepAfter: keepAfter,
		},
	}
}

func (c Core) stepSnapshotSaved(now time.Time, e SnapshotSaved) (Core, []Effect) {
	c.isSavingSnapshot = false
	if e.Index > c.snapshotIndex {
		c.snapshotIndex, c.snapshotBytes = e.Index, e.Bytes
	}
	c, out := c.stepReplica(now, consensus.Compacted{
		Index: e.KeepAfter,
	})
	c, more := c.snapshotIfDue()
	return c, append(out, more...)
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

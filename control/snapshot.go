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

// snapshotIfDue requests a snapshot once Config.SnapshotEvery entries have been
// applied since the last one.
func (c Core) snapshotIfDue() (Core, []Effect) {
	index := c.state.Index()
	if c.isSavingSnapshot || index < c.snapshotIndex+c.cfg.SnapshotEvery {
		return c, nil
	}
	term, ok := c.replica.Log().Term(index)
	if !ok {
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
			KeepAfter: index - min(index, c.cfg.TrailingEntries),
		},
	}
}

func (c Core) stepSnapshotSaved(now time.Time, e SnapshotSaved) (Core, []Effect) {
	c.isSavingSnapshot = false
	c.snapshotIndex = max(c.snapshotIndex, e.Index)
	return c.stepReplica(now, consensus.Compacted{
		Index: e.Index - min(e.Index, c.cfg.TrailingEntries),
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
	return c, []Effect{
		InstallSnapshot{
			Meta:    c.receivedSnapshot.Meta,
			Encoded: c.receivedSnapshot.Encoded,
		},
	}
}

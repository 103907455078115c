package control

import (
	"time"

	"github.com/plantainladder/plantainladder/consensus"
)

// snapshotIfDue asks for a snapshot once enough entries have been applied
// since the last.
func (c Core) snapshotIfDue() (Core, []Effect) {
	index := c.state.Index()
	if c.saving || index < c.snapshotAt+c.cfg.SnapshotEvery {
		return c, nil
	}
	term, ok := c.replica.Log().Term(index)
	if !ok {
		return c, nil
	}
	c.saving = true
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

func (c Core) stepSaved(now time.Time, e SnapshotSaved) (Core, []Effect) {
	c.saving = false
	c.snapshotAt = max(c.snapshotAt, e.Index)
	return c.stepReplica(now, consensus.Compacted{
		Index: e.Index - min(e.Index, c.cfg.TrailingEntries),
	})
}

func (c Core) stepArrived(now time.Time, e SnapshotReceived) (Core, []Effect) {
	if e.Meta.Index <= c.state.Index() {
		return c, nil
	}
	c.arriving = &e
	c, out := c.stepReplica(now, consensus.SnapshotReceived{
		Message: e.Message,
		Meta:    e.Meta,
	})
	c.arriving = nil
	return c, out
}

// adopt replaces the state by that of the snapshot that is being taken in.
func (c Core) adopt() (Core, []Effect) {
	c.state = c.arriving.State
	c.snapshotAt = c.arriving.Meta.Index
	return c, []Effect{
		InstallSnapshot{
			Meta:    c.arriving.Meta,
			Encoded: c.arriving.Encoded,
		},
	}
}

package consensus_test

import (
	"slices"

	"github.com/plantainladder/plantainladder/consensus"
)

func (h *host) persist(f consensus.Persist) {
	h.written.Hard = f.Hard
	h.isDirty = true
	if len(f.Entries) == 0 {
		return
	}
	first := f.Entries[0].Index
	h.written.Entries = slices.DeleteFunc(slices.Clone(h.written.Entries), func(e consensus.Entry) bool {
		return e.Index >= first
	})
	h.written.Entries = append(h.written.Entries, f.Entries...)
}

// sync makes everything written durable and sends the messages that waited for
// it.
func (c *cluster) sync(h *host) {
	if !h.alive || h.isFull {
		return
	}
	c.step(h, consensus.ApplyDue{})
	h.disk = h.written
	h.disk.Entries = slices.Clone(h.written.Entries)
	h.snapshot = h.writtenSnapshot
	c.inFlight = append(c.inFlight, h.awaitingSync...)
	h.awaitingSync = nil
	c.step(h, consensus.HardStateSynced{
		Hard: h.disk.Hard,
	})
	if n := len(h.disk.Entries); n > 0 {
		last := h.disk.Entries[n-1]
		c.step(h, consensus.EntriesSynced{
			Index: last.Index,
			Term:  last.Term,
		})
	}
}

// compact makes a durable snapshot of everything that a host has applied, after all
// that was written before.
func (c *cluster) compact(h *host) {
	c.sync(h)
	n := uint64(len(h.applied))
	if !h.alive || h.isFull || n == 0 || n <= h.disk.Snapshot.Index || n < h.replica.Log().BaseIndex() {
		return
	}
	term, ok := h.replica.Log().Term(n)
	if !ok {
		return
	}
	meta := consensus.SnapshotMeta{
		Index:   n,
		Term:    term,
		Members: h.replica.MembersAt(n),
	}
	h.snapshot = slices.Clone(h.applied)
	h.writtenSnapshot = h.snapshot
	for _, s := range []*consensus.StoredState{&h.disk, &h.written} {
		s.Snapshot = meta
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e consensus.Entry) bool {
			return e.Index <= meta.Index
		})
	}
	c.step(h, consensus.Compacted{
		Index: n,
	})
}

// installSnapshot writes a snapshot in place of the log.
func (h *host) installSnapshot(meta consensus.SnapshotMeta, applied []string) {
	h.written.Snapshot, h.written.Entries = meta, nil
	h.writtenSnapshot = slices.Clone(applied)
	h.applied = slices.Clone(applied)
}

func (c *cluster) sendSnapshot(h *host, f consensus.SendSnapshot) {
	to := c.hosts[f.To]
	if to != nil && to != h && !to.refusesSnapshots && !c.blockedLinks[linkBetween(h.id, to.id)] {
		c.deliverSnapshot(h.id, to, f, h.disk.Snapshot, h.snapshot)
	}
	c.step(h, consensus.SnapshotSent{
		To: f.To,
	})
}

func (c *cluster) deliverSnapshot(from string, to *host, f consensus.SendSnapshot, meta consensus.SnapshotMeta, applied []string) {
	c.arriving = applied
	c.step(to, consensus.SnapshotReceived{
		Message: consensus.Message{
			From:  from,
			To:    to.id,
			Group: f.Group,
			Term:  f.Term,
		},
		Meta: meta,
	})
}

package disk

import "github.com/plantainladder/plantainladder/consensus"

// A backlog is what queued operations leave on the disk together, with the callbacks
// that are called in their order once all of it is durable. Entries that a later
// operation replaces or a snapshot covers are never written.
type backlog struct {
	// appends is the number of batches.
	appends int
	hard    consensus.HardState
	// entries are those to append to what stays of the log, and last is the last one
	// that was to be appended, also if a snapshot covers it.
	entries []consensus.Entry
	last    consensus.Entry
	// snapshot is the snapshot to save; nil for none. Only the entries of the log after
	// keepAfter stay.
	snapshot  *Snapshot
	keepAfter uint64
	// isWaiting is true once a write has found the disk full.
	isWaiting bool
	// snapshotIndex is the index of the last snapshot, saved or to be saved.
	snapshotIndex uint64
	// saved are called once the snapshot is durable, whatever is left of the log.
	saved     []func()
	callbacks []After
	// keys holds the positions of the callbacks that a later one of their key replaces.
	keys map[string]int
}

// newBacklog returns the backlog of no operation.
func (w *Writer) newBacklog() backlog {
	return backlog{
		hard:          w.cfg.Log.content.Hard,
		snapshotIndex: w.snapshotIndex,
		keys:          map[string]int{},
	}
}

// with returns b followed by operations. It may change the lists of b.
func (b backlog) with(ops []Operation) backlog {
	for _, op := range ops {
		switch op := op.(type) {
		case Append:
			b = b.withAppend(op.Persist)
		case After:
			b = b.withCallback(op)
		case SaveSnapshot:
			b = b.withSnapshot(op)
		}
	}
	return b
}

func (b backlog) withAppend(p consensus.Persist) backlog {
	b.appends++
	b.hard = p.Hard
	b.entries = mergeEntries(b.entries, p.Entries)
	if n := len(p.Entries); n > 0 {
		b.last = p.Entries[n-1]
	}
	return b
}

func (b backlog) withCallback(op After) backlog {
	if i, ok := b.keys[op.Key]; ok {
		b.callbacks[i] = op
		return b
	}
	if op.Key != "" {
		b.keys[op.Key] = len(b.callbacks)
	}
	b.callbacks = append(b.callbacks, op)
	return b
}

func (b backlog) withSnapshot(op SaveSnapshot) backlog {
	if op.KeepAfter == KeepNone {
		b.callbacks = append(b.callbacks, After{
			Run: op.Done,
		})
	} else {
		b.saved = append(b.saved, op.Done)
	}
	index := op.Snapshot.Meta.Index
	if index <= b.snapshotIndex {
		return b
	}
	// Recover reads no entries that the snapshot covers.
	keepAfter := max(op.KeepAfter, index)
	b.snapshot, b.snapshotIndex = &op.Snapshot, index
	b.keepAfter = max(b.keepAfter, keepAfter)
	b.entries = entriesAfter(b.entries, keepAfter)
	if op.KeepAfter == KeepNone {
		b.last = consensus.Entry{}
	}
	return b
}

// entriesAfter returns a new list of the entries after an index.
func entriesAfter(entries []consensus.Entry, index uint64) (kept []consensus.Entry) {
	for _, e := range entries {
		if e.Index > index {
			kept = append(kept, e)
		}
	}
	return kept
}

// mergeEntries returns the entries of two appends as those of one: the later
// entries replace the earlier ones from the index of their first one onwards.
func mergeEntries(before, next []consensus.Entry) []consensus.Entry {
	if len(next) == 0 {
		return before
	}
	for n := len(before); n > 0 && before[n-1].Index >= next[0].Index; n-- {
		before = before[:n-1]
	}
	return append(before, next...)
}

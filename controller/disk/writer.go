package disk

import (
	"context"
	"errors"
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/util"
)

// An Operation is work for the Writer: Append, After or Rewrite.
type Operation interface {
	operation()
}

// Append makes entries durable.
type Append struct {
	// Persist is what to write.
	Persist consensus.Persist
}

// After runs once all tasks before it are durable.
type After struct {
	// Run must not block.
	Run func()
}

// CompactLog saves a snapshot and trims the log. A snapshot that is older than
// the last one changes nothing.
type CompactLog struct {
	// Snapshot is the snapshot, already encoded.
	Snapshot Snapshot
	// KeepAfter is the index of the last entry that the log need not hold;
	// KeepNone drops all of them.
	KeepAfter uint64
	// Done runs once both are durable. It must not block.
	Done func()
}

// KeepNone stands for an index above that of every entry.
const KeepNone = ^uint64(0)

func (Append) operation()     {}
func (After) operation()      {}
func (CompactLog) operation() {}

// A WriterConfig describes a Writer.
type WriterConfig struct {
	// Folder is the data folder.
	Folder *Folder
	// Log is the log in that folder.
	Log *Log
	// EntriesSynced is told the last entry that was made durable. It must not block.
	EntriesSynced func(e consensus.Entry)
	// ObserveSync is told the entries and the time of each sync; nil for none.
	ObserveSync func(entries int, took time.Duration)
	// FullChanged is told when the disk has no room, and when it has room again after
	// some time; nil for none. It must not block.
	FullChanged func(err *FullError, waited time.Duration)
	// FullTimeout is how long a write waits for room before the Writer fails.
	FullTimeout time.Duration
	// DisableGroupCommit syncs after each task instead of once for all that wait; it is
	// the baseline for measurements.
	DisableGroupCommit bool
	// QueueLength is the number of tasks that may wait.
	QueueLength int
}

// A Writer makes the log durable in a goroutine of its own. All tasks that
// arrive during one sync share the next.
type Writer struct {
	cfg           WriterConfig
	operations    chan Operation
	snapshotIndex uint64
}

// NewWriter returns a writer; Run does its work.
func NewWriter(cfg WriterConfig) *Writer {
	return &Writer{
		cfg:        cfg,
		operations: make(chan Operation, cfg.QueueLength),
	}
}

// Enqueue queues a task and waits for room. It reports false once ctx has ended.
func (w *Writer) Enqueue(ctx context.Context, op Operation) bool {
	select {
	case w.operations <- op:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run carries tasks out until ctx ends. A full disk makes it wait for room; what
// is queued meanwhile is not acknowledged. It returns an error if the disk
// fails; what was queued since the last sync is then not durable and the process
// must end.
func (w *Writer) Run(ctx context.Context) (err error) {
	defer util.Annotate(&err, "disk: writer")
	for {
		select {
		case <-ctx.Done():
			return nil
		case op := <-w.operations:
			if err = w.perform(ctx, w.collectQueued(op)); err != nil {
				return err
			}
		}
	}
}

// gather returns a task and all that wait behind it.
func (w *Writer) collectQueued(first Operation) []Operation {
	ops := []Operation{
		first,
	}
	for !w.cfg.DisableGroupCommit && len(ops) < cap(w.operations) {
		select {
		case op := <-w.operations:
			ops = append(ops, op)
		default:
			return ops
		}
	}
	return ops
}

// carryOut writes a group of tasks, syncs once for all of them and then tells
// those who wait. A rewrite stands for itself.
func (w *Writer) perform(ctx context.Context, ops []Operation) (err error) {
	var entries []consensus.Entry
	var hard consensus.HardState
	appends := 0
	var callbacks []func()
	flush := func() error {
		if err := w.appendAndSync(ctx, appends, hard, entries); err != nil {
			return err
		}
		for _, callback := range callbacks {
			callback()
		}
		entries, callbacks, appends = nil, nil, 0
		return nil
	}
	for _, op := range ops {
		switch op := op.(type) {
		case Append:
			hard = op.Persist.Hard
			entries = mergeEntries(entries, op.Persist.Entries)
			appends++
		case After:
			callbacks = append(callbacks, op.Run)
		case CompactLog:
			if err = flush(); err != nil {
				return err
			}
			if err = w.compactLog(ctx, op); err != nil {
				return err
			}
		}
	}
	return flush()
}

// mergeEntries returns the entries of two writes as one: later ones replace
// earlier ones from their first index on.
func mergeEntries(before, next []consensus.Entry) []consensus.Entry {
	if len(next) == 0 {
		return before
	}
	for n := len(before); n > 0 && before[n-1].Index >= next[0].Index; n-- {
		before = before[:n-1]
	}
	return append(before, next...)
}

func (w *Writer) appendAndSync(ctx context.Context, appends int, hard consensus.HardState, entries []consensus.Entry) (err error) {
	if appends == 0 {
		return nil
	}
	startedAt := time.Now()
	write := func() error { return w.cfg.Log.Append(hard, entries) }
	if err = w.retryWhileFull(ctx, write); err != nil {
		return err
	}
	if err = w.cfg.Log.Sync(); err != nil {
		return err
	}
	if w.cfg.ObserveSync != nil {
		w.cfg.ObserveSync(len(entries), time.Since(startedAt))
	}
	if n := len(entries); n > 0 {
		w.cfg.EntriesSynced(entries[n-1])
	}
	return nil
}

func (w *Writer) compactLog(ctx context.Context, op CompactLog) (err error) {
	if op.Snapshot.Meta.Index > w.snapshotIndex {
		save := func() error { return w.cfg.Folder.SaveSnapshot(op.Snapshot) }
		if err = w.retryWhileFull(ctx, save); err != nil {
			return err
		}
		compact := func() error { return w.cfg.Log.CompactLog(op.KeepAfter) }
		if err = w.retryWhileFull(ctx, compact); err != nil {
			return err
		}
		w.snapshotIndex = op.Snapshot.Meta.Index
	}
	op.Done()
	return nil
}

// fullRetry is the pause between two writes to a full disk. A write that is
// refused costs little, and a full disk stalls this controller meanwhile.
const fullRetryInterval = 100 * time.Millisecond

// whenRoom repeats a write that finds no room until it does, the patience is
// over or ctx has ended.
func (w *Writer) retryWhileFull(ctx context.Context, write func() error) (err error) {
	var full *FullError
	if err = write(); !errors.As(err, &full) {
		return err
	}
	w.notifyFull(full, 0)
	startedAt := time.Now()
	timeout := time.NewTimer(w.cfg.FullTimeout)
	defer timeout.Stop()
	retry := time.NewTicker(fullRetryInterval)
	defer retry.Stop()
	for errors.As(err, &full) {
		select {
		case <-ctx.Done():
			return err
		case <-timeout.C:
			return err
		case <-retry.C:
		}
		err = write()
	}
	if err == nil {
		w.notifyFull(nil, time.Since(startedAt))
	}
	return err
}

func (w *Writer) notifyFull(err *FullError, waited time.Duration) {
	if w.cfg.FullChanged != nil {
		w.cfg.FullChanged(err, waited)
	}
}

package disk

import (
	"context"
	"errors"
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/util"
)

// An Operation is a request to the Writer: Append, After or SaveSnapshot.
type Operation interface {
	operation()
}

// Append appends a batch to the log: entries, the term and the vote.
type Append struct {
	// Persist is the batch to append.
	Persist consensus.Persist
}

// After calls a function once all operations queued before it are durable.
type After struct {
	// Run is the function to call. It must not block.
	Run func()
}

// SaveSnapshot saves a snapshot and removes entries that it covers from the log.
// If the Writer has already saved a snapshot at least as new, it writes nothing.
type SaveSnapshot struct {
	// Snapshot is the snapshot to save.
	Snapshot Snapshot
	// KeepAfter is the index of the last entry to remove; KeepNone removes all.
	KeepAfter uint64
	// Done is called once the snapshot and the log are durable, also if nothing had
	// to be written. It must not block.
	Done func()
}

// KeepNone is an index above that of every entry, to remove them all.
const KeepNone = ^uint64(0)

func (Append) operation()       {}
func (After) operation()        {}
func (SaveSnapshot) operation() {}

// A WriterConfig describes a Writer.
type WriterConfig struct {
	// Folder is the data folder.
	Folder *Folder
	// Log is the log in that folder.
	Log *Log
	// EntriesSynced is called with the last entry after each sync that made entries
	// durable. It must not block.
	EntriesSynced func(e consensus.Entry)
	// HardStateSynced is called with the last term and vote after each sync that made
	// them durable; nil for none. It must not block.
	HardStateSynced func(hard consensus.HardState)
	// ObserveSync is called after each sync with the number of entries and the time
	// that writing and syncing took; nil for none.
	ObserveSync func(entries int, duration time.Duration)
	// FullChanged is called when a write finds the disk full, and again once it has
	// succeeded; nil for none. It must not block.
	FullChanged func(r FullReport)
	// FullTimeout bounds how long a write is retried on a full disk before Run
	// fails.
	FullTimeout time.Duration
	// DisableGroupCommit makes the Writer sync after each operation instead of once
	// for all that are queued. It is the baseline of the benchmark.
	DisableGroupCommit bool
	// QueueLength is the number of operations that can be queued.
	QueueLength int
}

// A Writer writes and syncs the log in its own goroutine with group commit: all
// operations that are queued during one sync share the next one.
type Writer struct {
	cfg           WriterConfig
	operations    chan Operation
	snapshotIndex uint64
	syncedHard    consensus.HardState
	usage         usage
}

// NewWriter returns a Writer; Run starts it.
func NewWriter(cfg WriterConfig) *Writer {
	w := &Writer{
		cfg:        cfg,
		operations: make(chan Operation, cfg.QueueLength),
	}
	w.updateUsage()
	return w
}

// Enqueue queues an operation, and waits while the queue is full. It returns
// false if ctx ended first.
func (w *Writer) Enqueue(ctx context.Context, op Operation) bool {
	select {
	case w.operations <- op:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run performs queued operations until ctx ends. While the disk is full, it
// retries the write, and operations queued in the meantime are not acknowledged.
// It returns an error if the disk fails: operations since the last sync are then
// not durable, and the process must exit.
func (w *Writer) Run(ctx context.Context) (err error) {
	defer util.Annotate(&err, "disk: run writer")
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

// collectQueued returns an operation and all that are queued after it.
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

// perform writes the queued operations, syncs once for all of them and then
// calls their callbacks. A SaveSnapshot ends the shared sync: operations before it
// are synced first.
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
		case SaveSnapshot:
			if err = flush(); err != nil {
				return err
			}
			if err = w.saveSnapshot(ctx, op); err != nil {
				return err
			}
		}
	}
	return flush()
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

func (w *Writer) appendAndSync(ctx context.Context, appends int, hard consensus.HardState, entries []consensus.Entry) (err error) {
	if appends == 0 {
		return nil
	}
	startedAt := time.Now()
	write := func() error { return w.cfg.Log.Append(hard, entries) }
	if err = w.retryWhileFull(ctx, entries, write); err != nil {
		return err
	}
	if err = w.cfg.Log.Sync(); err != nil {
		return err
	}
	w.updateUsage()
	if w.cfg.ObserveSync != nil {
		w.cfg.ObserveSync(len(entries), time.Since(startedAt))
	}
	if n := len(entries); n > 0 {
		w.cfg.EntriesSynced(entries[n-1])
	}
	if w.cfg.HardStateSynced != nil && hard != w.syncedHard {
		w.syncedHard = hard
		w.cfg.HardStateSynced(hard)
	}
	return nil
}

func (w *Writer) saveSnapshot(ctx context.Context, op SaveSnapshot) (err error) {
	if op.Snapshot.Meta.Index > w.snapshotIndex {
		save := func() error { return w.cfg.Folder.SaveSnapshot(op.Snapshot) }
		if err = w.retryWhileFull(ctx, nil, save); err != nil {
			return err
		}
		compact := func() error { return w.cfg.Log.CompactLog(op.KeepAfter) }
		if err = w.retryWhileFull(ctx, nil, compact); err != nil {
			return err
		}
		w.snapshotIndex = op.Snapshot.Meta.Index
		w.updateUsage()
	}
	op.Done()
	return nil
}

// fullRetryInterval is the time between two attempts to write to a full disk. It
// is short because a failed attempt costs little, while a full disk stalls this
// controller.
const fullRetryInterval = 100 * time.Millisecond

// retryWhileFull repeats a write that fails because the disk is full, until it
// succeeds, FullTimeout has passed or ctx ends.
func (w *Writer) retryWhileFull(ctx context.Context, entries []consensus.Entry, write func() error) (err error) {
	var full *FullError
	if err = write(); !errors.As(err, &full) {
		return err
	}
	w.reportFull(FullReport{
		Err:     full,
		Entries: len(entries),
		Bytes:   dataBytes(entries),
	})
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
		w.reportFull(FullReport{
			Waited: time.Since(startedAt),
		})
	}
	return err
}

func (w *Writer) reportFull(r FullReport) {
	w.usage.isFull.Store(r.Err != nil)
	if w.cfg.FullChanged != nil {
		w.cfg.FullChanged(r)
	}
}

package disk

import (
	"context"
	"errors"
	"slices"
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
	// Key names what the function does; "" for none. If one with the same key still
	// waits for room on the disk, it is not called: the later one replaces it.
	Key string
	// NeedsOnlyHardState is true if the function may be called once the terms and votes
	// queued before it are durable, while entries still wait for room.
	NeedsOnlyHardState bool
}

// SaveSnapshot saves a snapshot and removes entries that it covers from the log.
// If the Writer has already saved a snapshot at least as new, it writes nothing.
type SaveSnapshot struct {
	// Snapshot is the snapshot to save.
	Snapshot Snapshot
	// KeepAfter is the index of the last entry to remove; KeepNone removes all that were
	// queued before. Entries that the snapshot covers are removed in any case.
	KeepAfter uint64
	// Done is called once the snapshot is durable, with KeepNone also the log, and if
	// nothing had to be written. It must not block.
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
	// ReserveBytes is the least size of a file that keeps room for a snapshot; zero for
	// none.
	ReserveBytes int64
	// ReserveFailed is called once if that file, or the one for votes, cannot be created;
	// nil for none. It must not block.
	ReserveFailed func(err error)
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
	reserve       *reserve
	// coveredIndex is the last entry that a snapshot covers and that may still be in the
	// log; zero for none.
	coveredIndex uint64
	// reserveTimer fires when the reserve is to grow.
	reserveTimer *time.Timer
	// hasReserveFailed is true once ReserveFailed was called.
	hasReserveFailed bool
}

// NewWriter returns a Writer; Run starts it.
func NewWriter(cfg WriterConfig) *Writer {
	w := &Writer{
		cfg:          cfg,
		coveredIndex: cfg.Log.coveredIndex,
		operations:   make(chan Operation, cfg.QueueLength),
		reserve:      newReserve(cfg.Folder, cfg.ReserveBytes),
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

// Run performs queued operations until ctx ends. While the disk is full, it retries the
// write together with the operations queued in the meantime, and acknowledges none.
// It returns an error if the disk fails: operations since the last sync are then
// not durable, and the process must exit. The end of ctx on a full disk is no failure.
func (w *Writer) Run(ctx context.Context) (err error) {
	defer util.Annotate(&err, "disk: run writer")
	w.reserveTimer = time.NewTimer(reserveDelay)
	defer w.reserveTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.reserveTimer.C:
			w.growReserve()
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

// perform writes the queued operations and calls their callbacks. All that are queued
// before a SaveSnapshot share a write and a sync. If one of them finds the disk full, all
// that are left become one backlog.
func (w *Writer) perform(ctx context.Context, ops []Operation) (err error) {
	for len(ops) > 0 {
		n, before := sharedLength(ops), w.snapshotIndex
		startedAt := time.Now()
		b := w.newBacklog().with(ops[:n])
		ops = ops[n:]
		b, err = w.write(b)
		if full := (*FullError)(nil); errors.As(err, &full) {
			return w.waitForRoom(ctx, b.with(ops), full)
		}
		if err != nil {
			return err
		}
		w.acknowledge(b, time.Since(startedAt))
		if w.snapshotIndex > before {
			w.reserveTimer.Reset(reserveDelay)
		}
	}
	return nil
}

// sharedLength returns the number of operations at the start of ops that share a write.
func sharedLength(ops []Operation) int {
	i := slices.IndexFunc(ops, func(op Operation) bool {
		_, isSnapshot := op.(SaveSnapshot)
		return isSnapshot
	})
	switch i {
	case -1:
		return len(ops)
	case 0:
		return 1
	}
	return i
}

// write makes a backlog durable, and returns what is left of it if the disk is full. It
// gives up the reserve if a snapshot or the room that it frees depends on that.
func (w *Writer) write(b backlog) (left backlog, err error) {
	left, err = w.attempt(b)
	full := (*FullError)(nil)
	if !errors.As(err, &full) || w.reserve.bytes == 0 || left.snapshot == nil && left.keepAfter == 0 {
		return left, err
	}
	if err = w.reserve.release(); err != nil {
		return left, err
	}
	return w.attempt(left)
}

// attempt writes the snapshot of a backlog first, then removes what it covers from the
// log, since these may free the room for the rest.
func (w *Writer) attempt(b backlog) (left backlog, err error) {
	if b.snapshot != nil && b.snapshotIndex > w.snapshotIndex {
		if err = w.cfg.Folder.SaveSnapshot(*b.snapshot); err != nil {
			return b, err
		}
		w.snapshotIndex = b.snapshotIndex
	}
	b.snapshot = nil
	for _, callback := range b.saved {
		callback()
	}
	b.saved = nil
	if b, err = w.compact(b); err != nil {
		return b, err
	}
	if b.appends == 0 || len(b.entries) == 0 && w.cfg.Log.isDurable(b.hard) {
		return b, nil
	}
	if err = w.cfg.Log.Append(b.hard, b.entries); err != nil {
		return b, err
	}
	return b, w.cfg.Log.Sync()
}

// maxRestShare is the part of the log, as a divisor, that may be left after a snapshot for
// the log to be written anew without what the snapshot covers.
const maxRestShare = 4

// compact removes what the snapshot of a backlog covers from the log. With room, it puts that
// off while much would have to be written again; if the disk is full, until the rest fits
// beside the log, which may be far longer. What a received snapshot replaces must go.
func (w *Writer) compact(b backlog) (left backlog, err error) {
	if b.keepAfter == 0 {
		return b, nil
	}
	rest := entriesAfter(w.cfg.Log.content.Entries, b.keepAfter)
	if !b.isWaiting && maxRestShare*dataBytes(rest) > w.cfg.Log.size {
		w.coveredIndex = b.keepAfter
		b.keepAfter = 0
		return b, nil
	}
	err = w.cfg.Log.Replace(b.hard, rest)
	if full := (*FullError)(nil); errors.As(err, &full) && b.keepAfter != KeepNone {
		w.coveredIndex = b.keepAfter
		return b, nil
	}
	if err == nil {
		b.keepAfter, w.coveredIndex = 0, 0
	}
	return b, err
}

// The reserve grows from reserveDelay after a start or a snapshot on, with a pause after each
// chunk: what is queued goes first.
const (
	reserveDelay = 200 * time.Millisecond
	reservePause = 50 * time.Millisecond
)

// growReserve keeps room for the next snapshot and for votes if there is enough.
func (w *Writer) growReserve() {
	isMoreDue, err := w.reserve.grow(w.cfg.Folder.snapshotBytes)
	err = errors.Join(err, w.cfg.Log.keepVoteFile())
	if err != nil && w.cfg.ReserveFailed != nil && !w.hasReserveFailed {
		w.hasReserveFailed = true
		w.cfg.ReserveFailed(err)
	}
	if isMoreDue && err == nil {
		w.reserveTimer.Reset(reservePause)
	}
}

// acknowledge reports that a backlog is durable.
func (w *Writer) acknowledge(b backlog, took time.Duration) {
	w.updateUsage()
	if b.appends > 0 && w.cfg.ObserveSync != nil {
		w.cfg.ObserveSync(len(b.entries), took)
	}
	if b.last.Index > 0 {
		w.cfg.EntriesSynced(b.last)
	}
	if b.appends > 0 {
		w.reportHardState(b.hard)
	}
	for _, callback := range b.callbacks {
		if callback.Run != nil {
			callback.Run()
		}
	}
}

// storeVote makes the last term and vote of a backlog durable although the log has no
// room, and calls the callbacks that need nothing else.
func (w *Writer) storeVote(b backlog) (err error) {
	err = w.cfg.Log.StoreHardState(b.hard)
	if full := (*FullError)(nil); errors.As(err, &full) {
		return nil
	}
	if err != nil {
		return err
	}
	w.reportHardState(b.hard)
	for i, callback := range b.callbacks {
		if callback.NeedsOnlyHardState && callback.Run != nil {
			b.callbacks[i] = After{}
			callback.Run()
		}
	}
	return nil
}

func (w *Writer) reportHardState(hard consensus.HardState) {
	if w.cfg.HardStateSynced != nil && hard != w.syncedHard {
		w.syncedHard = hard
		w.cfg.HardStateSynced(hard)
	}
}

// fullRetryInterval is the time between two attempts to write to a full disk. It
// is short because a failed attempt costs little, while a full disk stalls this
// controller. After a slow attempt the time is as long as that took, up to
// maxFullRetryInterval: a disk may be both full and slow, and have room again.
const (
	fullRetryInterval    = 100 * time.Millisecond
	maxFullRetryInterval = 500 * time.Millisecond
)

// waitForRoom repeats a write that found the disk full until it succeeds or ctx ends. It
// does not give up: a new process would have to write as well. It takes operations from
// the queue meanwhile: one of them may be the snapshot that frees room, and those who queue
// them must not have to wait.
func (w *Writer) waitForRoom(ctx context.Context, b backlog, full *FullError) (err error) {
	w.reportFull(FullReport{
		Err:     full,
		Entries: len(b.entries),
		Bytes:   dataBytes(b.entries),
	})
	b.keepAfter, b.isWaiting = max(b.keepAfter, w.coveredIndex), true
	startedAt := time.Now()
	retry := time.NewTimer(fullRetryInterval)
	defer retry.Stop()
	for err = full; errors.As(err, &full); {
		if err = w.storeVote(b); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case op := <-w.operations:
			before := b.snapshotIndex
			if b = b.with(w.collectQueued(op)); b.snapshotIndex == before {
				err = full
				continue
			}
		case <-retry.C:
		}
		attemptedAt := time.Now()
		b, err = w.write(b)
		retry.Reset(min(max(fullRetryInterval, time.Since(attemptedAt)), maxFullRetryInterval))
	}
	if err != nil {
		return err
	}
	w.reportFull(FullReport{
		Waited: time.Since(startedAt),
	})
	w.acknowledge(b, time.Since(startedAt))
	w.reserveTimer.Reset(reserveDelay)
	return nil
}

func (w *Writer) reportFull(r FullReport) {
	w.usage.isFull.Store(r.Err != nil)
	if w.cfg.FullChanged != nil {
		w.cfg.FullChanged(r)
	}
}

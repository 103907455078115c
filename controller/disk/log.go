package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

// batch is the body of a frame in the log.
type batch struct {
	// Reset is true if the batch replaces all entries before it.
	Reset bool `json:"reset,omitempty"`
	// Hard is the term and vote as of this batch.
	Hard consensus.HardState `json:"hard"`
	// Entries replace all entries from the index of the first one onwards.
	Entries [][]byte `json:"entries,omitempty"`
}

// A Log is a write-ahead log in numbered segment files. Batches are appended to
// the newest segment. Each segment but the first one begins with a batch that replaces
// all before it, so that only the newest one counts.
type Log struct {
	folder string
	files  FileSystem
	number int
	file   File
	// size is the length of the file up to the end of its last complete frame.
	size    int64
	content LogContent
	// vote is nil without room for the file.
	vote *voteFile
	// isUnsynced is true while batches were appended since the last sync. isBroken is
	// true once a sync of the file has found the disk full: no further sync of it tells
	// what is durable.
	isUnsynced bool
	isBroken   bool
	// coveredIndex is the index of the snapshot that was there when the log was opened; a
	// process that was killed may have left the entries up to it in the log.
	coveredIndex uint64
	// replaced holds the segments to remove once the name of the newest one is durable.
	replaced []string
}

// LogContent is the content of a log when it was opened.
type LogContent struct {
	// Hard is the last stored term and vote.
	Hard consensus.HardState
	// Entries holds the entries by ascending index.
	Entries []consensus.Entry
	// TornBytes is the length of the torn write that was truncated from the end.
	TornBytes int64
	// IsRewritten is false if the log was empty, or if the disk was full and the log was
	// only synced: an earlier sync that failed then counts as if it had not.
	IsRewritten bool
}

// OpenLog opens the log in a folder, makes its content durable and returns it. A
// process that was killed may have left entries that only the kernel holds; the
// replica answers for them once it has read them. OpenLog truncates a torn write at
// the end, and returns a *DamageError for any other damage. It removes older segments,
// which a process leaves that is killed while it compacts the log.
func OpenLog(cfg FolderConfig) (l *Log, content LogContent, err error) {
	defer util.Annotate(&err, "disk: open log")
	cfg = cfg.withDefaults()
	folder := cfg.Path
	numbers, err := segmentNumbers(folder)
	if err != nil {
		return nil, content, err
	}
	number := 1
	if len(numbers) > 0 {
		number = numbers[len(numbers)-1]
		if content, err = readSegment(cfg.Files, segmentPath(folder, number), len(numbers) > 1); err != nil {
			return nil, content, err
		}
	}
	l = &Log{
		folder:  folder,
		files:   cfg.Files,
		number:  number,
		content: content,
	}
	for i := range len(numbers) - 1 {
		l.replaced = append(l.replaced, segmentPath(folder, numbers[i]))
	}
	l.file, err = cfg.Files.OpenFile(segmentPath(folder, number), os.O_CREATE|os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return nil, content, err
	}
	info, err := l.file.Stat()
	if err != nil {
		return nil, content, err
	}
	l.size = info.Size()
	if err = l.settle(); err == nil {
		content.IsRewritten, err = l.rewrite()
	}
	if err == nil && !content.IsRewritten {
		err = errors.Join(l.file.Sync(), cfg.Files.SyncFolder(folder))
	}
	if err != nil {
		return nil, content, errors.Join(err, l.file.Close())
	}
	return l, content, nil
}

// rewrite replaces the segment with a new file of the same content. If an earlier sync
// has failed, the kernel takes for written what the disk does not hold, and no further
// sync of the same file writes it. If the disk is full, the old file stays, and rewrite
// returns false.
func (l *Log) rewrite() (done bool, err error) {
	if l.size == 0 {
		return false, nil
	}
	path := segmentPath(l.folder, l.number)
	old, err := os.Open(path)
	if err != nil {
		return false, err
	}
	file, err := l.writeDurably(path, old)
	if err = errors.Join(err, old.Close()); err == nil {
		err = l.file.Close()
	}
	if full := (*FullError)(nil); errors.As(err, &full) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	l.file = file
	return true, l.files.SyncFolder(l.folder)
}

// withBatch returns c with a batch applied. It returns a *GapError if an entry does
// not follow its predecessor.
func (c LogContent) withBatch(b batch) (out LogContent, err error) {
	c.Hard = b.Hard
	if b.Reset {
		c.Entries = nil
	}
	for _, raw := range b.Entries {
		e, err := wire.UnmarshalEntry(raw)
		if err != nil {
			return c, err
		}
		for n := len(c.Entries); n > 0 && c.Entries[n-1].Index >= e.Index; n-- {
			c.Entries = c.Entries[:n-1]
		}
		if n := len(c.Entries); n > 0 && c.Entries[n-1].Index+1 != e.Index {
			return c, &GapError{
				Index: e.Index,
			}
		}
		c.Entries = append(c.Entries, e)
	}
	return c, nil
}

// A GapError reports a log entry whose index does not follow that of its
// predecessor.
type GapError struct {
	// Index is the entry's index.
	Index uint64
}

// Error returns the entry's index and how to recover.
func (e *GapError) Error() string {
	return fmt.Sprintf("log entry %d does not follow its predecessor; treat this disk as lost and replace it", e.Index)
}

// Append writes one batch; Sync makes it durable. If the disk is full, it leaves
// the log unchanged and returns a *FullError. Entries that do not follow the last one
// replace all: they follow a snapshot that was saved by a process that was killed before
// it compacted the log. Recover finds a gap that no snapshot covers.
func (l *Log) Append(hard consensus.HardState, entries []consensus.Entry) (err error) {
	defer util.Annotate(&err, "disk: append to log")
	if err = l.settle(); err != nil {
		return err
	}
	known := l.content.Entries
	if n := len(known); n > 0 && len(entries) > 0 && entries[0].Index > known[n-1].Index+1 {
		known = nil
	}
	isReset := len(known) < len(l.content.Entries)
	frame, err := encodeBatch(isReset, hard, entries)
	if err != nil {
		return err
	}
	if _, err = l.file.Write(frame); err != nil {
		return l.undoAppend(err)
	}
	l.size += int64(len(frame))
	l.isUnsynced = true
	l.content.Hard = hard
	l.content.Entries = mergeEntries(known, entries)
	return nil
}

// undoAppend removes the partial frame of an append that failed because the disk
// is full, so that the append can be retried.
func (l *Log) undoAppend(writeErr error) error {
	if !isFull(writeErr) {
		return writeErr
	}
	return asFullError(writeErr, l.file.Truncate(l.size))
}

func encodeBatch(reset bool, hard consensus.HardState, entries []consensus.Entry) (frame []byte, err error) {
	b := batch{
		Reset:   reset,
		Hard:    hard,
		Entries: make([][]byte, len(entries)),
	}
	for i, e := range entries {
		if b.Entries[i], err = wire.MarshalEntry(e); err != nil {
			return nil, err
		}
	}
	body, err := codec.Marshal(b)
	if err != nil {
		return nil, err
	}
	return encodeFrame(body), nil
}

// Sync makes all appended batches durable. If the disk is full, it returns a *FullError; the
// next append then writes a new segment.
func (l *Log) Sync() (err error) {
	defer util.Annotate(&err, "disk: sync log")
	if err = l.file.Sync(); err != nil {
		l.isBroken = true
		return asFullError(err, nil)
	}
	l.isUnsynced = false
	return nil
}

// CompactLog replaces the log by its entries after the index keepAfter.
func (l *Log) CompactLog(keepAfter uint64) error {
	return l.Replace(l.content.Hard, entriesAfter(l.content.Entries, keepAfter))
}

// Replace writes a new segment with only the given entries, makes it durable and removes
// the old segment. If the disk is full, it keeps the old segment and returns a *FullError.
func (l *Log) Replace(hard consensus.HardState, entries []consensus.Entry) (err error) {
	defer util.Annotate(&err, "disk: replace log")
	frame, err := encodeBatch(true, hard, entries)
	if err != nil {
		return err
	}
	file, err := l.writeDurably(segmentPath(l.folder, l.number+1), bytes.NewReader(frame))
	if err != nil {
		return err
	}
	err = l.file.Close()
	l.replaced = append(l.replaced, segmentPath(l.folder, l.number))
	l.file, l.number, l.size = file, l.number+1, int64(len(frame))
	l.content.Hard, l.content.Entries = hard, entries
	l.isUnsynced, l.isBroken = false, false
	return errors.Join(err, l.settle())
}

// settle makes the segment durable if a disk that was full has left that open. It returns
// a *FullError if the disk is still full.
func (l *Log) settle() error {
	if l.isBroken {
		return l.Replace(l.content.Hard, l.content.Entries)
	}
	if len(l.replaced) == 0 {
		return nil
	}
	if err := l.files.SyncFolder(l.folder); err != nil {
		return asFullError(err, nil)
	}
	for _, path := range l.replaced {
		if err := l.files.Remove(path); err != nil {
			return err
		}
	}
	l.replaced = nil
	// The segments that were removed may come back: the newest one replaces them.
	if err := l.files.SyncFolder(l.folder); !isFull(err) {
		return err
	}
	return nil
}

// tempSuffix ends the names of segments that are not complete.
const tempSuffix = ".tmp"

// writeDurably writes a temporary file, syncs it and renames it to path, and returns it
// open for appending. The name is durable once the folder is synced. If the disk is full,
// it leaves nothing behind and returns a *FullError.
func (l *Log) writeDurably(path string, content io.Reader) (file File, err error) {
	tempPath := path + tempSuffix
	file, err = l.files.OpenFile(tempPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC|os.O_APPEND)
	if err != nil {
		return nil, asFullError(err, nil)
	}
	// Only Write is visible to Copy: the kernel could let both files share their blocks.
	if _, err = io.Copy(struct{ io.Writer }{file}, content); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.files.Rename(tempPath, path)
	}
	if err != nil {
		return nil, asFullError(err, errors.Join(file.Close(), l.files.Remove(tempPath)))
	}
	return file, nil
}

// Close closes the current segment and the vote file. It does not sync.
func (l *Log) Close() (err error) {
	if l.vote != nil {
		err = l.vote.file.Close()
	}
	return errors.Join(err, l.file.Close())
}

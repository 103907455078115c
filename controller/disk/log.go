package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

// batch is the body of one frame of the log.
type batch struct {
	// Reset is true if the batch holds all of the log that counts.
	Reset bool `json:"reset,omitempty"`
	// Hard is the term and vote after the batch.
	Hard consensus.HardState `json:"hard"`
	// Entries replace all entries from the first one's index on.
	Entries [][]byte `json:"entries,omitempty"`
}

// segments of the log are named by number, so that they sort by age.
const segmentPattern = "log-%08d.wal"

// A Log is the file that new batches go to.
type Log struct {
	folder string
	number int
	file   *os.File
	// size is the length of the file up to its last whole frame.
	size    int64
	content LogContent
}

// LogContent is what a log held when it was opened.
type LogContent struct {
	// Hard is the last term and vote.
	Hard consensus.HardState
	// Entries holds the entries in order.
	Entries []consensus.Entry
	// TornBytes is the number of bytes that a crash left unfinished.
	TornBytes int64
}

// OpenLog opens the log in a folder and returns what it holds. It returns a
// *DamageError if the log was damaged other than by a crash.
func OpenLog(folder string) (l *Log, content LogContent, err error) {
	defer util.Annotate(&err, "disk: open log")
	numbers, err := segmentNumbers(folder)
	if err != nil {
		return nil, content, err
	}
	for i, n := range numbers {
		isLast := i == len(numbers)-1
		if content, err = readSegment(segmentPath(folder, n), isLast, content); err != nil {
			return nil, content, err
		}
	}
	number := 1
	if len(numbers) > 0 {
		number = numbers[len(numbers)-1]
	}
	l = &Log{
		folder:  folder,
		number:  number,
		content: content,
	}
	l.file, err = os.OpenFile(segmentPath(folder, number), os.O_CREATE|os.O_WRONLY|os.O_APPEND, filePerm)
	if err != nil {
		return nil, content, err
	}
	info, err := l.file.Stat()
	if err != nil {
		return nil, content, err
	}
	l.size = info.Size()
	return l, content, syncFolder(folder)
}

func segmentPath(folder string, n int) string {
	return filepath.Join(folder, fmt.Sprintf(segmentPattern, n))
}

func segmentNumbers(folder string) (numbers []int, err error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		n := 0
		if strings.HasSuffix(f.Name(), ".wal") {
			if _, err := fmt.Sscanf(f.Name(), segmentPattern, &n); err == nil {
				numbers = append(numbers, n)
			}
		}
	}
	sort.Ints(numbers)
	return numbers, nil
}

func readSegment(path string, isLast bool, content LogContent) (out LogContent, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return content, err
	}
	rest := data
	for len(rest) > 0 {
		body, next, ok := readFrame(rest)
		if !ok {
			return content, truncateTornTail(path, data, rest, isLast, &content)
		}
		b, err := codec.Unmarshal[batch](body)
		if err != nil {
			return content, err
		}
		if content, err = content.withBatch(b); err != nil {
			return content, err
		}
		rest = next
	}
	return content, nil
}

// cutTail removes what a crash left unfinished at the end of the last segment.
func truncateTornTail(path string, data, rest []byte, isLast bool, content *LogContent) error {
	offset := int64(len(data) - len(rest))
	if !isLast || !isTornTail(rest) {
		return &DamageError{
			Path:   path,
			Offset: offset,
		}
	}
	content.TornBytes = int64(len(rest))
	return os.Truncate(path, offset)
}

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

// A GapError reports an entry that does not follow the one before it.
type GapError struct {
	// Index is the entry's index.
	Index uint64
}

// Error returns the entry's index.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d does not follow the one before it; replace this disk as a lost one", e.Index)
}

// Append writes one batch; Sync makes it durable. A batch that the disk has no
// room for changes nothing and returns a *FullError.
func (l *Log) Append(hard consensus.HardState, entries []consensus.Entry) (err error) {
	defer util.Annotate(&err, "disk: append")
	frame, err := encodeBatch(false, hard, entries)
	if err != nil {
		return err
	}
	if _, err = l.file.Write(frame); err != nil {
		return l.undoAppend(err)
	}
	l.size += int64(len(frame))
	l.content.Hard = hard
	l.content.Entries = mergeEntries(l.content.Entries, entries)
	return nil
}

// withdraw removes what a write left behind that found no room.
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
	return appendFrame(nil, body), nil
}

// Sync makes all that was appended durable.
func (l *Log) Sync() (err error) {
	defer util.Annotate(&err, "disk: sync")
	return l.file.Sync()
}

// CompactLog begins a new segment that holds only the entries behind an index,
// makes it durable and removes the older one. It returns a *FullError, and the
// older segment stays, if the disk has no room.
func (l *Log) CompactLog(keepAfter uint64) (err error) {
	defer util.Annotate(&err, "disk: rewrite log")
	var kept []consensus.Entry
	for _, e := range l.content.Entries {
		if e.Index > keepAfter {
			kept = append(kept, e)
		}
	}
	l.content.Entries = kept
	frame, err := encodeBatch(true, l.content.Hard, kept)
	if err != nil {
		return err
	}
	path := segmentPath(l.folder, l.number+1)
	file, err := writeDurably(path, frame)
	if err != nil {
		return err
	}
	err = errors.Join(l.file.Close(), os.Remove(segmentPath(l.folder, l.number)))
	l.file, l.number, l.size = file, l.number+1, int64(len(frame))
	return errors.Join(err, syncFolder(l.folder))
}

// writeDurably writes a file under another name, syncs and renames it, and
// returns it open for more.
func writeDurably(path string, content []byte) (file *os.File, err error) {
	tempPath := path + ".tmp"
	file, err = os.OpenFile(tempPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC|os.O_APPEND, filePerm)
	if err != nil {
		return nil, err
	}
	if _, err = file.Write(content); err != nil {
		return nil, asFullError(err, errors.Join(file.Close(), os.Remove(tempPath)))
	}
	if err = file.Sync(); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if err = os.Rename(tempPath, path); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, syncFolder(filepath.Dir(path))
}

func syncFolder(folder string) (err error) {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Close closes the file.
func (l *Log) Close() error {
	return l.file.Close()
}

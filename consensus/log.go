package consensus

import (
	"sort"

	"github.com/benbjohnson/immutable"
)

// A Log is an immutable part of the replicated log: the entries after a base
// entry, which a snapshot covers.
type Log struct {
	baseIndex uint64
	baseTerm  uint64
	// baseOffset is where the entries begin in the stream of all entries appended so far.
	baseOffset uint64
	entries    *immutable.List[logElement]
}

// A logElement is an entry of a Log.
type logElement struct {
	entry Entry
	// endOffset is where the entry ends in the stream of all entries.
	endOffset uint64
}

// entryOverheadBytes is what an entry counts beside its command, so that a log of many
// small entries is not taken for an empty one.
const entryOverheadBytes = 64

// size returns what the entry counts in the size of a log.
func (e Entry) size() uint64 {
	if d, ok := e.Payload.(Data); ok {
		return entryOverheadBytes + uint64(len(d.Bytes))
	}
	return entryOverheadBytes
}

// NewLog returns an empty log that begins after the given base entry.
func NewLog(baseIndex, baseTerm uint64) Log {
	return Log{
		baseIndex: baseIndex,
		baseTerm:  baseTerm,
		entries:   immutable.NewList[logElement](),
	}
}

// LastIndex returns the index of the last entry, or the base index if the log
// is empty.
func (l Log) LastIndex() uint64 {
	return l.baseIndex + uint64(l.entries.Len())
}

// LastTerm returns the term of the last entry, or the base term if the log is
// empty.
func (l Log) LastTerm() uint64 {
	t, _ := l.Term(l.LastIndex())
	return t
}

// BaseIndex returns the index of the entry before the first one in the log. A
// snapshot covers all entries up to it.
func (l Log) BaseIndex() uint64 {
	return l.baseIndex
}

// Term returns the term of the entry with the index, or false if the log does
// not hold it and it is not the base entry.
func (l Log) Term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.LastIndex():
		return 0, false
	}
	return l.entries.Get(int(index - l.baseIndex - 1)).entry.Term, true
}

// Bytes returns the size of the entries that the log holds, in bytes.
func (l Log) Bytes() uint64 {
	return l.BytesAfter(l.baseIndex)
}

// BytesAfter returns the size of the entries after the index, in bytes.
func (l Log) BytesAfter(index uint64) uint64 {
	return l.endOffset(l.LastIndex()) - l.endOffset(index)
}

// BytesBetween returns the size of the entries after one index and up to another, in bytes.
func (l Log) BytesBetween(after, upTo uint64) uint64 {
	return l.endOffset(max(after, upTo)) - l.endOffset(after)
}

// endOffset returns where the entry with the index ends. The base entry stands for those
// before it, and the last entry for those after it.
func (l Log) endOffset(index uint64) uint64 {
	index = min(index, l.LastIndex())
	if index <= l.baseIndex {
		return l.baseOffset
	}
	return l.entries.Get(int(index - l.baseIndex - 1)).endOffset
}

// Trailing returns the lowest index after which there are at most maxEntries entries, of
// at most maxBytes, up to the given index.
func (l Log) Trailing(index, maxEntries, maxBytes uint64) uint64 {
	from := max(l.baseIndex, index-min(index, maxEntries))
	if from >= index {
		return index
	}
	return from + uint64(sort.Search(int(index-from), func(n int) bool {
		return l.BytesBetween(from+uint64(n), index) <= maxBytes
	}))
}

// Slice returns at most maxEntries entries from the index from onwards. It
// stops before the commands exceed maxBytes, but returns at least one entry.
func (l Log) Slice(from uint64, maxEntries, maxBytes int) []Entry {
	if from <= l.baseIndex || from > l.LastIndex() {
		return nil
	}
	n := min(maxEntries, int(l.LastIndex()-from)+1)
	batch := make([]Entry, 0, n)
	size := 0
	for i := range n {
		e := l.entries.Get(int(from-l.baseIndex) - 1 + i).entry
		if d, ok := e.Payload.(Data); ok {
			size += len(d.Bytes)
		}
		if len(batch) > 0 && size > maxBytes {
			break
		}
		batch = append(batch, e)
	}
	return batch
}

// WithEntry returns l with an entry appended.
func (l Log) WithEntry(e Entry) Log {
	l.entries = l.entries.Append(logElement{
		entry:     e,
		endOffset: l.endOffset(l.LastIndex()) + e.size(),
	})
	return l
}

// Truncated returns l without the entries from the index from onwards.
func (l Log) Truncated(from uint64) Log {
	if from > l.LastIndex() {
		return l
	}
	l.entries = l.entries.Slice(0, int(from-l.baseIndex)-1)
	return l
}

// Compacted returns l without the entries up to and including the index, which
// becomes the new base. It returns l unchanged if l does not hold the entry.
func (l Log) Compacted(index uint64) Log {
	term, ok := l.Term(index)
	if !ok || index == l.baseIndex {
		return l
	}
	l.baseOffset = l.endOffset(index)
	l.entries = l.entries.Slice(int(index-l.baseIndex), l.entries.Len())
	l.baseIndex, l.baseTerm = index, term
	return l
}

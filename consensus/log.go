package consensus

import "github.com/benbjohnson/immutable"

// A Log is the immutable tail of the replicated log behind the last snapshot.
type Log struct {
	baseIndex uint64
	baseTerm  uint64
	entries   *immutable.List[Entry]
}

// NewLog returns a log that begins behind a snapshot.
func NewLog(baseIndex, baseTerm uint64) Log {
	return Log{
		baseIndex: baseIndex,
		baseTerm:  baseTerm,
		entries:   immutable.NewList[Entry](),
	}
}

// LastIndex returns the index of the last entry.
func (l Log) LastIndex() uint64 {
	return l.baseIndex + uint64(l.entries.Len())
}

// LastTerm returns the term of the last entry.
func (l Log) LastTerm() uint64 {
	t, _ := l.Term(l.LastIndex())
	return t
}

// BaseIndex returns the index of the last entry that the snapshot covers.
func (l Log) BaseIndex() uint64 {
	return l.baseIndex
}

// Term returns the term of an entry, or false if the log does not hold it.
func (l Log) Term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.LastIndex():
		return 0, false
	}
	return l.entries.Get(int(index - l.baseIndex - 1)).Term, true
}

// Slice returns at most limit entries from an index on, and no more than about
// maxBytes of data.
func (l Log) Slice(from uint64, maxEntries, maxBytes int) []Entry {
	if from <= l.baseIndex || from > l.LastIndex() {
		return nil
	}
	n := min(maxEntries, int(l.LastIndex()-from)+1)
	batch := make([]Entry, 0, n)
	size := 0
	for i := range n {
		e := l.entries.Get(int(from-l.baseIndex) - 1 + i)
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
	l.entries = l.entries.Append(e)
	return l
}

// Truncated returns l without the entries from an index on.
func (l Log) Truncated(from uint64) Log {
	if from > l.LastIndex() {
		return l
	}
	l.entries = l.entries.Slice(0, int(from-l.baseIndex)-1)
	return l
}

// Compacted returns l without the entries up to an index.
func (l Log) Compacted(index uint64) Log {
	term, ok := l.Term(index)
	if !ok || index == l.baseIndex {
		return l
	}
	l.entries = l.entries.Slice(int(index-l.baseIndex), l.entries.Len())
	l.baseIndex, l.baseTerm = index, term
	return l
}

package consensus

import "github.com/benbjohnson/immutable"

// A Log is an immutable part of the replicated log: the entries after a base
// entry, which a snapshot covers.
type Log struct {
	baseIndex uint64
	baseTerm  uint64
	entries   *immutable.List[Entry]
}

// NewLog returns an empty log that begins after the given base entry.
func NewLog(baseIndex, baseTerm uint64) Log {
	return Log{
		baseIndex: baseIndex,
		baseTerm:  baseTerm,
		entries:   immutable.NewList[Entry](),
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
	return l.entries.Get(int(index - l.baseIndex - 1)).Term, true
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
	l.entries = l.entries.Slice(int(index-l.baseIndex), l.entries.Len())
	l.baseIndex, l.baseTerm = index, term
	return l
}

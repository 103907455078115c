package plantainladder

import (
	"iter"

	"github.com/benbjohnson/immutable"
)

// A table is an immutable map that is ordered by key. It holds pointers to its
// values, since each change copies a node of the map and the values may be
// large. Nothing writes through the pointers.
type table[T any] struct {
	m *immutable.SortedMap[string, *T]
}

func newTable[T any]() table[T] {
	return table[T]{
		m: immutable.NewSortedMap[string, *T](nil),
	}
}

func (t table[T]) with(key string, v T) table[T] {
	return table[T]{
		m: t.m.Set(key, &v),
	}
}

func (t table[T]) without(key string) table[T] {
	return table[T]{
		m: t.m.Delete(key),
	}
}

func (t table[T]) get(key string) (v T, ok bool) {
	p, ok := t.m.Get(key)
	if !ok {
		return v, false
	}
	return *p, true
}

func (t table[T]) len() int {
	return t.m.Len()
}

// entries returns an iterator over the keys and values in the order of the keys.
func (t table[T]) entries() iter.Seq2[string, T] {
	return func(yield func(key string, v T) bool) {
		for itr := t.m.Iterator(); !itr.Done(); {
			key, p, _ := itr.Next()
			if !yield(key, *p) {
				return
			}
		}
	}
}

// all returns the values in the order of the keys.
func (t table[T]) all() []T {
	list := make([]T, 0, t.m.Len())
	for _, v := range t.entries() {
		list = append(list, v)
	}
	return list
}

// first returns the entry with the smallest key. It reports false if the table is
// empty.
func (t table[T]) first() (key string, v T, ok bool) {
	for key, v = range t.entries() {
		return key, v, true
	}
	return key, v, false
}

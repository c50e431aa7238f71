package snapshot

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// tableFanout is the number of children of the root and of each branch.
const tableFanout = 64

// table is an immutable map from names to values. with and without return a
// modified copy that shares all but the root, one branch and one leaf with the
// original, so that a change costs the same at every size that the configuration
// reaches. The zero value is an empty table.
type table[V any] struct {
	root *[tableFanout]*tableBranch[V]
	size int
}

type tableBranch[V any] [tableFanout][]tableEntry[V]

type tableEntry[V any] struct {
	name  string
	value V
}

// tableSlot returns the positions of a name in the root and in its branch.
func tableSlot(name string) (outer, inner int) {
	h := xxhash.Sum64String(name)
	return int(h % tableFanout), int(h / tableFanout % tableFanout)
}

// get returns the value under the name.
func (t table[V]) get(name string) (V, bool) {
	var zero V
	if t.root == nil {
		return zero, false
	}
	outer, inner := tableSlot(name)
	branch := t.root[outer]
	if branch == nil {
		return zero, false
	}
	for i := range branch[inner] {
		if branch[inner][i].name == name {
			return branch[inner][i].value, true
		}
	}
	return zero, false
}

// with returns a copy of the table in which the name has the value.
func (t table[V]) with(name string, value V) table[V] {
	return t.replace(name, &value)
}

// without returns a copy of the table without the name.
func (t table[V]) without(name string) table[V] {
	if _, ok := t.get(name); !ok {
		return t
	}
	return t.replace(name, nil)
}

func (t table[V]) replace(name string, value *V) table[V] {
	outer, inner := tableSlot(name)
	root := new([tableFanout]*tableBranch[V])
	if t.root != nil {
		*root = *t.root
	}
	branch := new(tableBranch[V])
	if root[outer] != nil {
		*branch = *root[outer]
	}
	old := branch[inner]
	leaf := make([]tableEntry[V], 0, len(old)+1)
	for _, e := range old {
		if e.name != name {
			leaf = append(leaf, e)
		}
	}
	if value != nil {
		leaf = append(leaf, tableEntry[V]{name: name, value: *value})
	}
	branch[inner] = leaf
	root[outer] = branch
	return table[V]{root: root, size: t.size + len(leaf) - len(old)}
}

// all iterates over the entries in no particular order.
func (t table[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.root == nil {
			return
		}
		for _, branch := range t.root {
			if branch != nil && !branch.each(yield) {
				return
			}
		}
	}
}

func (b *tableBranch[V]) each(yield func(string, V) bool) bool {
	for _, leaf := range b {
		for _, e := range leaf {
			if !yield(e.name, e.value) {
				return false
			}
		}
	}
	return true
}

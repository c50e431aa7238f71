package snapshot

import (
	"github.com/acacialink/acacialink/internal/resource"
)

// maxRecentBytes limits the encoded changes that a host buffers for its peers.
const maxRecentBytes = 256 << 10

// changeBuffer holds the last changes, consecutive and in order, with their
// encoded form. Replica.mu guards it.
type changeBuffer struct {
	changes []encodedChange
	// bytes is the total size of the encoded changes.
	bytes int
	// last is the revision of the view, and of the last change if there is one.
	last resource.Revision
}

type encodedChange struct {
	change Change
	value  []byte
}

// add appends the changes of a step. If they do not directly follow the buffered
// changes, those are dropped.
func (b *changeBuffer) add(s Step) error {
	for _, c := range s.Changes {
		if c.Revision <= b.last {
			continue
		}
		if c.Revision != b.last+1 {
			b.clear()
		}
		value, err := c.Encode()
		if err != nil {
			return err
		}
		b.changes = append(b.changes, encodedChange{change: c, value: value})
		b.bytes += len(value)
		b.last = c.Revision
	}
	if b.last != s.View.revision {
		b.clear()
		b.last = s.View.revision
	}
	b.trim()
	return nil
}

func (b *changeBuffer) clear() {
	b.changes, b.bytes = nil, 0
}

func (b *changeBuffer) trim() {
	drop := 0
	for b.bytes > maxRecentBytes && drop < len(b.changes) {
		b.bytes -= len(b.changes[drop].value)
		drop++
	}
	if drop > 0 {
		b.changes = append([]encodedChange(nil), b.changes[drop:]...)
	}
}

// after returns the changes after a revision, and false if not all of them are
// buffered.
func (b *changeBuffer) after(revision resource.Revision) ([]encodedChange, bool) {
	if revision >= b.last {
		return nil, true
	}
	first := b.last - resource.Revision(len(b.changes)) + 1
	if revision+1 < first {
		return nil, false
	}
	return b.changes[revision+1-first:], true
}

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
func (r *changeBuffer) add(s Step) error {
	for _, c := range s.Changes {
		if c.Revision <= r.last {
			continue
		}
		if c.Revision != r.last+1 {
			r.clear()
		}
		value, err := c.Encode()
		if err != nil {
			return err
		}
		r.changes = append(r.changes, encodedChange{change: c, value: value})
		r.bytes += len(value)
		r.last = c.Revision
	}
	if r.last != s.View.revision {
		r.clear()
		r.last = s.View.revision
	}
	r.trim()
	return nil
}

func (r *changeBuffer) clear() {
	r.changes, r.bytes = nil, 0
}

func (r *changeBuffer) trim() {
	drop := 0
	for r.bytes > maxRecentBytes && drop < len(r.changes) {
		r.bytes -= len(r.changes[drop].value)
		drop++
	}
	if drop > 0 {
		r.changes = append([]encodedChange(nil), r.changes[drop:]...)
	}
}

// after returns the changes after a revision, and false if not all of them are
// buffered.
func (r *changeBuffer) after(revision resource.Revision) ([]encodedChange, bool) {
	if revision >= r.last {
		return nil, true
	}
	first := r.last - resource.Revision(len(r.changes)) + 1
	if revision+1 < first {
		return nil, false
	}
	return r.changes[revision+1-first:], true
}

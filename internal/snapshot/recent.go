package snapshot

import (
	"github.com/acacialink/acacialink/internal/resource"
)

// maxRecentBytes bounds the changes that a host keeps for its peers.
const maxRecentBytes = 256 << 10

// recent holds the last changes, consecutive and in order, in encoded form.
// The holder's lock guards it.
type recent struct {
	changes []encodedChange
	bytes   int
	last    resource.Revision
}

type encodedChange struct {
	change Change
	value  []byte
}

// add appends the changes of a step. Changes that do not follow drop the older ones.
func (r *recent) add(s Step) error {
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

func (r *recent) clear() {
	r.changes, r.bytes = nil, 0
}

func (r *recent) trim() {
	drop := 0
	for r.bytes > maxRecentBytes && drop < len(r.changes) {
		r.bytes -= len(r.changes[drop].value)
		drop++
	}
	if drop > 0 {
		r.changes = append([]encodedChange(nil), r.changes[drop:]...)
	}
}

// after returns the changes later than a revision, and false when they are
// not all held.
func (r *recent) after(revision resource.Revision) ([]encodedChange, bool) {
	if revision >= r.last {
		return nil, true
	}
	first := r.last - resource.Revision(len(r.changes)) + 1
	if revision+1 < first {
		return nil, false
	}
	return r.changes[revision+1-first:], true
}

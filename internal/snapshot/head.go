package snapshot

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
)

// Limits of the head record, which every store reader loads after each change,
// and of the objects that it references.
const (
	// maxTailBytes limits the changes stored in the head record itself.
	maxTailBytes = 8 << 10
	// maxSegments is the number of sealed segments above which the log is
	// compacted into a new snapshot.
	maxSegments = 16
	// retainedSegments is the number of segments that stay readable after a
	// compaction, for hosts that lag behind.
	retainedSegments = 8
	// maxObjectBytes limits a segment or a page; it is below the store's own
	// limit.
	maxObjectBytes = 900 << 10
	// maxWriteIDs is the number of write IDs stored in the head.
	maxWriteIDs = 64
)

// head is the record that defines the contents of the log. A change is written
// once the head includes it.
type head struct {
	Revision resource.Revision `json:"revision"`
	// WriteIDs are the write IDs of the last revisions, the newest last.
	WriteIDs []string `json:"marks,omitempty"`
	// Snapshot is the last full snapshot; its zero value is the empty view.
	Snapshot pageSet `json:"snapshot"`
	// Segments are the sealed segments. Together with Tail they hold
	// consecutive changes up to Revision, starting no later than the first
	// change after the snapshot.
	Segments []segment `json:"segments,omitempty"`
	// Tail holds the changes after the last segment.
	Tail []Change `json:"tail,omitempty"`
}

// pageSet identifies the pages of one snapshot.
type pageSet struct {
	Revision resource.Revision `json:"revision"`
	ID       string            `json:"id,omitempty"`
	Pages    int               `json:"pages,omitempty"`
}

// segment identifies a sealed object of consecutive changes, from First to Last.
type segment struct {
	First resource.Revision `json:"first"`
	Last  resource.Revision `json:"last"`
	ID    string            `json:"id"`
}

func decodeHead(value []byte) (head, error) {
	var h head
	if err := json.Unmarshal(value, &h); err != nil {
		return head{}, errors.Wrap(ErrEncoding, err.Error())
	}
	return h, nil
}

func (h head) encode() ([]byte, error) {
	value, err := json.Marshal(h)
	return value, errors.Wrap(err, "encode head")
}

// containsWrite reports whether the log contains the write with this ID, which
// was attempted at the given revision. known is false if the head has advanced
// so far that it no longer stores the write ID of that revision.
func (h head) containsWrite(writeID string, at resource.Revision) (found, known bool) {
	if slices.Contains(h.WriteIDs, writeID) {
		return true, true
	}
	oldest := h.Revision - resource.Revision(len(h.WriteIDs))
	return false, at > oldest
}

// firstChange returns the lowest revision in the segments and the tail.
func (h head) firstChange() resource.Revision {
	if len(h.Segments) > 0 {
		return h.Segments[0].First
	}
	return h.Revision - resource.Revision(len(h.Tail)) + 1
}

// with returns the head with the change appended to the tail, before sealing
// and compaction.
func (h head) with(c Change) head {
	next := h
	next.Revision = c.Revision
	next.WriteIDs = append(slices.Clone(h.WriteIDs), c.WriteID)
	if extra := len(next.WriteIDs) - maxWriteIDs; extra > 0 {
		next.WriteIDs = next.WriteIDs[extra:]
	}
	next.Segments = slices.Clone(h.Segments)
	next.Tail = append(slices.Clone(h.Tail), c)
	return next
}

// references reports whether the head references the object.
func (h head) references(id string) bool {
	if h.Snapshot.ID == id {
		return true
	}
	return slices.ContainsFunc(h.Segments, func(s segment) bool { return s.ID == id })
}

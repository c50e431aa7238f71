package snapshot

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
)

// Bounds of the head record, which every reader loads after each change.
const (
	// maxTailBytes bounds the changes held in the head record itself.
	maxTailBytes = 8 << 10
	// maxSegments bounds the sealed segments before they are folded into a
	// new snapshot.
	maxSegments = 16
	// keptSegments is how many segments stay readable after a fold, for hosts
	// that lag.
	keptSegments = 8
	// maxObjectBytes bounds a segment or a page, under the store's own bound.
	maxObjectBytes = 900 << 10
	// maxMarks is how many writer marks the head remembers.
	maxMarks = 64
)

// head is the one record that decides what the accepted configuration is.
type head struct {
	Revision resource.Revision `json:"revision"`
	// Marks are the writer marks of the last revisions, the newest last.
	Marks []string `json:"marks,omitempty"`
	// Snapshot is the last full snapshot; its zero value is the empty view.
	Snapshot pageSet `json:"snapshot"`
	// Segments and Tail hold consecutive changes up to Revision. The first of
	// them is at most the one after the snapshot.
	Segments []segment `json:"segments,omitempty"`
	Tail     []Change  `json:"tail,omitempty"`
}

// pageSet names the pages of one snapshot.
type pageSet struct {
	Revision resource.Revision `json:"revision"`
	ID       string            `json:"id,omitempty"`
	Pages    int               `json:"pages,omitempty"`
}

// segment names a sealed run of changes.
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

// wrote says whether the write with this mark, tried at the given revision, is
// part of the configuration. known is false when the head has gone on so far
// that it no longer tells.
func (h head) wrote(mark string, at resource.Revision) (yes, known bool) {
	if slices.Contains(h.Marks, mark) {
		return true, true
	}
	oldest := h.Revision - resource.Revision(len(h.Marks))
	return false, at > oldest
}

// firstChange is the lowest revision that the segments and the tail hold.
func (h head) firstChange() resource.Revision {
	if len(h.Segments) > 0 {
		return h.Segments[0].First
	}
	return h.Revision - resource.Revision(len(h.Tail)) + 1
}

// with returns the head after the change, before sealing and folding.
func (h head) with(c Change) head {
	next := h
	next.Revision = c.Revision
	next.Marks = append(slices.Clone(h.Marks), c.Mark)
	if extra := len(next.Marks) - maxMarks; extra > 0 {
		next.Marks = next.Marks[extra:]
	}
	next.Segments = slices.Clone(h.Segments)
	next.Tail = append(slices.Clone(h.Tail), c)
	return next
}

// references says whether the head names the object.
func (h head) references(id string) bool {
	if h.Snapshot.ID == id {
		return true
	}
	return slices.ContainsFunc(h.Segments, func(s segment) bool { return s.ID == id })
}

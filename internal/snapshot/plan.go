package snapshot

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
)

// plan lists the writes of one append. The objects are written before the head.
type plan struct {
	head    head
	objects []object
	// compacts reports whether the new head drops references to older objects.
	compacts bool
}

// object is an immutable value that a head references.
type object struct {
	key   string
	value []byte
}

// planHead plans the writes that append a change: the change is added to the
// tail in the head record, sealed with the tail into a segment, or included in a
// new snapshot.
func planHead(h head, c Change, after *View) (plan, error) {
	p := plan{head: h.with(c)}
	tail, err := json.Marshal(p.head.Tail)
	if err != nil {
		return plan{}, errors.Wrap(err, "encode tail")
	}
	if len(tail) <= maxTailBytes {
		return p, nil
	}
	id := objectID(h.Revision, c.WriteID)
	if len(tail) > maxObjectBytes {
		p.head.Segments, p.head.Tail = nil, nil
		return p.compact(id, after)
	}
	p.objects = append(p.objects, object{key: segmentPrefix + id, value: tail})
	sealed := segment{First: p.head.Tail[0].Revision, Last: c.Revision, ID: id}
	p.head.Segments = append(p.head.Segments, sealed)
	p.head.Tail = nil
	if len(p.head.Segments) <= maxSegments {
		return p, nil
	}
	p.head.Segments = p.head.Segments[len(p.head.Segments)-retainedSegments:]
	return p.compact(id, after)
}

// compact adds a full snapshot to the plan.
func (p plan) compact(id string, after *View) (plan, error) {
	pages, err := encodePages(after)
	if err != nil {
		return plan{}, err
	}
	for i, value := range pages {
		p.objects = append(p.objects, object{key: pageKey(id, i), value: value})
	}
	p.head.Snapshot = pageSet{Revision: after.revision, ID: id, Pages: len(pages)}
	p.compacts = true
	return p, nil
}

// objectID returns the ID of the objects of one attempt. It starts with the
// revision of the head that the attempt replaces: once the head has advanced,
// the attempt cannot succeed and its objects may be deleted.
func objectID(base resource.Revision, writeID string) string {
	return fmt.Sprintf("%d-%s", base, writeID)
}

// objectBase parses the object ID in a key and the head revision in the ID.
func objectBase(key, prefix string) (id string, base resource.Revision, ok bool) {
	id, _, _ = strings.Cut(strings.TrimPrefix(key, prefix), "/")
	number, _, _ := strings.Cut(id, "-")
	n, err := strconv.ParseInt(number, 10, 64)
	return id, resource.Revision(n), err == nil
}

// writeIDBytes is the length of a write ID in bytes, before hex encoding.
const writeIDBytes = 8

// newWriteID returns a random ID for one write attempt.
func newWriteID() string {
	var b [writeIDBytes]byte
	rand.Read(b[:]) // Never returns an error.
	return hex.EncodeToString(b[:])
}

// writeObject writes an object under its unique key, with retries. Every attempt
// writes the same value, so a conflict means that an earlier attempt succeeded.
func (l *Log) writeObject(ctx context.Context, obj object) error {
	const attempts = 3
	var err error
	for range attempts {
		_, err = l.store.CompareAndSwap(ctx, obj.key, 0, obj.value, 0)
		if err == nil || errors.Is(err, backing.ErrConflict) {
			return nil
		}
	}
	return errors.Wrap(err, "write configuration object")
}

// deleteUnreferenced deletes objects that the head does not reference and no
// later head can. Objects that it fails to delete are left for the next
// compaction.
func (l *Log) deleteUnreferenced(ctx context.Context) {
	h, _, err := l.readHead(ctx)
	if err != nil {
		return
	}
	for _, prefix := range []string{segmentPrefix, pagePrefix} {
		entries, _, err := l.store.List(ctx, prefix)
		if err != nil {
			return
		}
		for _, kv := range entries {
			id, base, ok := objectBase(kv.Key, prefix)
			if !ok || base >= h.Revision || h.references(id) {
				continue
			}
			if err := l.store.Delete(ctx, kv.Key, kv.Revision); err != nil {
				l.log.Debug("deleting configuration object failed", "key", kv.Key, "error", err.Error())
			}
		}
	}
}

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

// plan is what one append writes: first the objects, then the head.
type plan struct {
	head    head
	objects []object
	// folds is true when the head drops older objects.
	folds bool
}

// object is an immutable value that a head names.
type object struct {
	key   string
	value []byte
}

// planHead decides whether the change stays in the head record, is sealed
// with the tail into a segment, or makes a new snapshot due.
func planHead(h head, c Change, after *View) (plan, error) {
	p := plan{head: h.with(c)}
	tail, err := json.Marshal(p.head.Tail)
	if err != nil {
		return plan{}, errors.Wrap(err, "encode tail")
	}
	if len(tail) <= maxTailBytes {
		return p, nil
	}
	id := objectID(h.Revision, c.Mark)
	if len(tail) > maxObjectBytes {
		p.head.Segments, p.head.Tail = nil, nil
		return p.fold(id, after)
	}
	p.objects = append(p.objects, object{key: segmentPrefix + id, value: tail})
	sealed := segment{First: p.head.Tail[0].Revision, Last: c.Revision, ID: id}
	p.head.Segments = append(p.head.Segments, sealed)
	p.head.Tail = nil
	if len(p.head.Segments) <= maxSegments {
		return p, nil
	}
	p.head.Segments = p.head.Segments[len(p.head.Segments)-keptSegments:]
	return p.fold(id, after)
}

// fold adds a full snapshot to the plan.
func (p plan) fold(id string, after *View) (plan, error) {
	pages, err := encodePages(after)
	if err != nil {
		return plan{}, err
	}
	for i, value := range pages {
		p.objects = append(p.objects, object{key: pageKey(id, i), value: value})
	}
	p.head.Snapshot = pageSet{Revision: after.revision, ID: id, Pages: len(pages)}
	p.folds = true
	return p, nil
}

// objectID names the objects of one attempt. It begins with the revision of
// the head that the attempt follows: once the head has gone on, the attempt
// can't succeed, and its objects may be deleted.
func objectID(base resource.Revision, mark string) string {
	return fmt.Sprintf("%d-%s", base, mark)
}

// objectBase returns the revision in an object's key.
func objectBase(key, prefix string) (id string, base resource.Revision, ok bool) {
	id, _, _ = strings.Cut(strings.TrimPrefix(key, prefix), "/")
	number, _, _ := strings.Cut(id, "-")
	n, err := strconv.ParseInt(number, 10, 64)
	return id, resource.Revision(n), err == nil
}

// markBytes is the length of a writer mark.
const markBytes = 8

// newMark returns a writer mark that no other attempt has.
func newMark() string {
	var b [markBytes]byte
	rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:])
}

// writeObject writes an object under its unique key. A lost answer is
// repeated: the value is the same, so a conflict means that it is there.
func (l *Log) writeObject(ctx context.Context, o object) error {
	const tries = 3
	var err error
	for range tries {
		_, err = l.store.CompareAndSwap(ctx, o.key, 0, o.value, 0)
		if err == nil || errors.Is(err, backing.ErrConflict) {
			return nil
		}
	}
	return errors.Wrap(err, "write configuration object")
}

// sweep deletes objects that no head names and none can come to name. Errors
// leave objects for the next fold.
func (l *Log) sweep(ctx context.Context) {
	h, _, err := l.readHead(ctx)
	if err != nil {
		return
	}
	for _, prefix := range []string{segmentPrefix, pagePrefix} {
		list, _, err := l.store.List(ctx, prefix)
		if err != nil {
			return
		}
		for _, kv := range list {
			id, base, ok := objectBase(kv.Key, prefix)
			if !ok || base >= h.Revision || h.references(id) {
				continue
			}
			if err := l.store.Delete(ctx, kv.Key, kv.Revision); err != nil {
				l.log.Debug("object not deleted", "key", kv.Key, "error", err.Error())
			}
		}
	}
}

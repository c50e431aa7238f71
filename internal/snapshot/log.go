package snapshot

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
)

// Store keys of the log.
const (
	headKey       = "config/head"
	segmentPrefix = "config/segment/"
	pagePrefix    = "config/page/"
)

// headPollWait is how long a poll of the head waits in the store for an event.
const headPollWait = time.Millisecond

// maxCatchUpAttempts limits how often a read restarts because a compaction
// deleted an object that it needed.
const maxCatchUpAttempts = 5

// errCompacted reports that an object of an older head has been deleted.
var errCompacted = errors.New("configuration log was compacted during the read")

// Log is the log of configuration changes in the platform's store. It has no
// state of its own and may be used by any number of hosts concurrently: a change
// is written by compare-and-swap of the single head record.
type Log struct {
	store backing.Store
	log   *slog.Logger
	// ignoreWriteIDs treats a write whose answer was lost as failed, for tests
	// that verify that the error is detected.
	ignoreWriteIDs bool
}

// NewLog returns the log in the store. A nil logger discards log output.
func NewLog(store backing.Store, log *slog.Logger) *Log {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Log{store: store, log: log}
}

// Cursor stores the head that was read last, so that an unchanged head is not
// transferred again. The zero value makes the next Read load the head.
type Cursor struct {
	known    bool
	revision backing.Revision
	head     head
}

// Step is a view with the changes that led to it. The changes are consecutive
// and end at the view's revision. They need not start at the view that the
// caller passed, because a read may load a snapshot.
type Step struct {
	View    *View
	Changes []Change
}

// Read returns the view at the head of the log, starting from a view that the
// caller already has. The result contains every change that was accepted before
// the call. It updates the cursor, which must not be used concurrently.
func (l *Log) Read(ctx context.Context, from *View, cursor *Cursor) (Step, error) {
	for range maxCatchUpAttempts {
		h, err := l.pollHead(ctx, cursor)
		if err != nil {
			return Step{}, err
		}
		s, err := l.catchUp(ctx, from, h)
		if errors.Is(err, errCompacted) {
			cursor.known = false
			continue
		}
		return s, err
	}
	return Step{}, errors.Wrap(backing.ErrUnavailable, errCompacted.Error())
}

// pollHead returns the current head. If the head is unchanged, the only store
// call is a watch without events.
func (l *Log) pollHead(ctx context.Context, cursor *Cursor) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !cursor.known {
		return l.loadHead(ctx, cursor)
	}
	events, next, err := l.store.Watch(ctx, headKey, cursor.revision, headPollWait)
	if errors.Is(err, backing.ErrCompacted) {
		return l.loadHead(ctx, cursor)
	}
	if err != nil {
		return head{}, errors.Wrap(err, "poll configuration head")
	}
	for _, e := range events {
		if e.Key != headKey || e.Deleted {
			continue
		}
		h, err := decodeHead(e.Value)
		if err != nil {
			return head{}, err
		}
		cursor.head = h
	}
	cursor.revision = max(cursor.revision, next)
	return cursor.head, nil
}

func (l *Log) loadHead(ctx context.Context, cursor *Cursor) (head, error) {
	h, at, err := l.readHead(ctx)
	if err != nil {
		return head{}, err
	}
	*cursor = Cursor{known: at > 0, revision: at, head: h}
	return h, nil
}

// readHead returns the head and its store revision. A missing head is the zero
// head at store revision zero.
func (l *Log) readHead(ctx context.Context) (head, backing.Revision, error) {
	kv, err := l.store.Get(ctx, headKey)
	if errors.Is(err, backing.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, errors.Wrap(err, "read configuration head")
	}
	h, err := decodeHead(kv.Value)
	return h, kv.Revision, err
}

// catchUp returns the view at the head. A view at the same or a later revision
// is returned unchanged.
func (l *Log) catchUp(ctx context.Context, from *View, h head) (Step, error) {
	if from.Revision() >= h.Revision {
		return Step{View: from}, nil
	}
	if from.Revision()+1 < h.firstChange() {
		v, err := l.loadSnapshot(ctx, h.Snapshot)
		if err != nil {
			return Step{}, err
		}
		from = v
	}
	changes, err := l.changesAfter(ctx, h, from.Revision())
	if err != nil {
		return Step{}, err
	}
	return from.applyAll(changes)
}

// changesAfter returns the changes of the segments that end after the revision,
// and of the tail. They may start with changes up to the revision.
func (l *Log) changesAfter(ctx context.Context, h head, after resource.Revision) ([]Change, error) {
	var changes []Change
	for _, s := range h.Segments {
		if s.Last <= after {
			continue
		}
		value, err := l.object(ctx, segmentPrefix+s.ID)
		if err != nil {
			return nil, err
		}
		var sealed []Change
		if err := json.Unmarshal(value, &sealed); err != nil {
			return nil, errors.Wrap(ErrEncoding, err.Error())
		}
		changes = append(changes, sealed...)
	}
	return append(changes, h.Tail...), nil
}

func (l *Log) loadSnapshot(ctx context.Context, s pageSet) (*View, error) {
	if s.Pages == 0 {
		return Empty(), nil
	}
	pages := make([][]byte, 0, s.Pages)
	for i := range s.Pages {
		value, err := l.object(ctx, pageKey(s.ID, i))
		if err != nil {
			return nil, err
		}
		pages = append(pages, value)
	}
	return decodePages(pages)
}

func pageKey(id string, index int) string {
	return fmt.Sprintf("%s%s/%04d", pagePrefix, id, index)
}

// object reads an immutable segment or page. It returns errCompacted if the
// object has been deleted.
func (l *Log) object(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	kv, err := l.store.Get(ctx, key)
	if errors.Is(err, backing.ErrNotFound) {
		return nil, errCompacted
	}
	return kv.Value, errors.Wrap(err, "read configuration object")
}

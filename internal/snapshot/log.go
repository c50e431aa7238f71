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

// Keys of the log in the store.
const (
	headKey       = "config/head"
	segmentPrefix = "config/segment/"
	pagePrefix    = "config/page/"
)

// headPollWait is how long a poll of the head waits at the store.
const headPollWait = time.Millisecond

// maxCatchupTries bounds how often a reader starts again because a fold
// removed what it was reading.
const maxCatchupTries = 5

// errFolded means that an object of an older head is gone.
var errFolded = errors.New("configuration was folded while it was read")

// Log is the accepted configuration in the platform's store. It holds no
// state of its own, and any number of hosts use it at a time: a change is
// accepted by compare-and-swap of the one head record.
type Log struct {
	store backing.Store
	log   *slog.Logger
	// forgetMark breaks the settling of lost answers on purpose, for tests
	// that must notice.
	forgetMark bool
}

// NewLog returns the log that the store holds. A nil logger logs nothing.
func NewLog(store backing.Store, log *slog.Logger) *Log {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Log{store: store, log: log}
}

// Cursor remembers the head that a reader saw, so that an unchanged head is
// not sent again. Its zero value has seen nothing.
type Cursor struct {
	known    bool
	revision backing.Revision
	head     head
}

// Step is a view with the changes that led to it. The changes are consecutive
// and end at the view's revision; they may not reach back to the view that the
// reader started from.
type Step struct {
	View    *View
	Changes []Change
}

// Read returns the view at the store's head, starting from a view that the
// caller holds. The result holds every change that was accepted before Read
// was called.
func (l *Log) Read(ctx context.Context, from *View, c *Cursor) (Step, error) {
	for range maxCatchupTries {
		h, err := l.pollHead(ctx, c)
		if err != nil {
			return Step{}, err
		}
		s, err := l.catchUp(ctx, from, h)
		if errors.Is(err, errFolded) {
			c.known = false
			continue
		}
		return s, err
	}
	return Step{}, errors.Wrap(backing.ErrUnavailable, errFolded.Error())
}

// pollHead returns the current head; an unchanged one costs a watch without events.
func (l *Log) pollHead(ctx context.Context, c *Cursor) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !c.known {
		return l.loadHead(ctx, c)
	}
	events, next, err := l.store.Watch(ctx, headKey, c.revision, headPollWait)
	if errors.Is(err, backing.ErrCompacted) {
		return l.loadHead(ctx, c)
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
		c.head = h
	}
	c.revision = max(c.revision, next)
	return c.head, nil
}

func (l *Log) loadHead(ctx context.Context, c *Cursor) (head, error) {
	h, at, err := l.readHead(ctx)
	if err != nil {
		return head{}, err
	}
	*c = Cursor{known: at > 0, revision: at, head: h}
	return h, nil
}

// readHead returns the head and its store revision; an absent one is the zero
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

// catchUp returns the view at the head. A view that is already later is
// returned as it is.
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

// object reads an immutable segment or page.
func (l *Log) object(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	kv, err := l.store.Get(ctx, key)
	if errors.Is(err, backing.ErrNotFound) {
		return nil, errFolded
	}
	return kv.Value, errors.Wrap(err, "read configuration")
}

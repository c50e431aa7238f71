package once

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// errPageMissing means that a sealed page within the retention time is gone
// from the store; claims of the shard are refused.
var errPageMissing = errors.New("a claim page is missing from the store")

// log is one shard's claims as last read or written. It is used by the
// shard's loop only.
type log struct {
	store   *countedStore
	name    string
	options Options

	// known is false until the head was read, and after a lost race.
	known bool
	rev   backing.Revision
	head  head
	index *index
	// seen are the sealed pages that the index holds.
	seen map[backing.Revision]bool
}

func newLog(store *countedStore, shard int, o Options) *log {
	return &log{
		store:   store,
		name:    fmt.Sprintf("once/%03d", shard),
		options: o,
		index:   newIndex(),
		seen:    make(map[backing.Revision]bool),
	}
}

func (l *log) headKey() string { return l.name + "/head" }

func (l *log) pageKey(p backing.Revision) string { return fmt.Sprintf("%s/page/%d", l.name, p) }

// refresh reads the head and the sealed pages that the index lacks.
func (l *log) refresh(ctx context.Context) error {
	rev, h, err := l.readHead(ctx)
	if err != nil {
		return err
	}
	if l.known && rev == l.rev {
		return nil
	}
	l.known = false
	for _, ref := range h.Pages {
		if err := l.readPage(ctx, ref); err != nil {
			return err
		}
	}
	l.adopt(rev, h)
	return nil
}

func (l *log) readHead(ctx context.Context) (backing.Revision, head, error) {
	kv, err := l.store.Get(ctx, l.headKey())
	if errors.Is(err, backing.ErrNotFound) {
		return 0, head{}, nil
	}
	if err != nil {
		return 0, head{}, err
	}
	var h head
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return 0, head{}, errors.Wrap(err, "decode a claim head")
	}
	return kv.Revision, h, nil
}

func (l *log) readPage(ctx context.Context, ref pageRef) error {
	if l.seen[ref.Head] || ref.expired(time.Now(), l.options.Retention) {
		return nil
	}
	entries, err := l.pageEntries(ctx, ref.Head)
	if err != nil {
		return err
	}
	for i := range entries {
		l.index.apply(&entries[i], ref.Head)
	}
	l.seen[ref.Head] = true
	return nil
}

func (l *log) pageEntries(ctx context.Context, page backing.Revision) ([]entry, error) {
	kv, err := l.store.Get(ctx, l.pageKey(page))
	if errors.Is(err, backing.ErrNotFound) {
		return nil, errPageMissing
	}
	if err != nil {
		return nil, err
	}
	var entries []entry
	if err := json.Unmarshal(kv.Value, &entries); err != nil {
		return nil, errors.Wrap(err, "decode a claim page")
	}
	return entries, nil
}

// adopt takes a head that was read or written at rev.
func (l *log) adopt(rev backing.Revision, h head) {
	for i := range h.Open {
		l.index.apply(&h.Open[i], 0)
	}
	l.rev, l.head, l.known = rev, h, true
}

// seal writes the open page of the current head under that head's revision.
// Every writer of the page writes the same bytes, so it may exist already.
func (l *log) seal(ctx context.Context, lease backing.LeaseID) error {
	value, err := json.Marshal(l.head.Open)
	if err != nil {
		return errors.Wrap(err, "encode a claim page")
	}
	_, err = l.store.CompareAndSwap(ctx, l.pageKey(l.rev), 0, value, lease)
	if errors.Is(err, backing.ErrConflict) {
		return nil
	}
	return err
}

// sealed records in the index that the open page is now a sealed one.
func (l *log) sealed(page backing.Revision) {
	for i := range l.head.Open {
		l.index.apply(&l.head.Open[i], page)
	}
	l.seen[page] = true
}

// dropExpired forgets pages past the retention time.
func (l *log) dropExpired(now time.Time, pages []pageRef) []pageRef {
	kept := pages
	for len(kept) > 0 && kept[0].expired(now, l.options.Retention) {
		delete(l.seen, kept[0].Head)
		kept = kept[1:]
	}
	if len(kept) < len(pages) {
		l.index.sweep(now, l.options.Retention)
	}
	return kept
}

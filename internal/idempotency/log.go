package idempotency

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// errPageMissing means that the store has lost a sealed page within the retention
// time. Claims of the shard are then refused.
var errPageMissing = errors.New("claim page is missing from the store")

// log caches the log of one shard as last read or written. Only the shard's
// commit loop uses it.
type log struct {
	store *countedStore
	// name is the prefix of the shard's keys in the store.
	name    string
	options Options

	// current is false until the head is first read, and after a write failed.
	current bool
	rev     backing.Revision
	head    head
	index   *index
	// indexedPages holds the sealed pages that have been applied to the index.
	indexedPages map[backing.Revision]bool
}

func newLog(store *countedStore, shard int, o Options) *log {
	return &log{
		store:        store,
		name:         fmt.Sprintf("once/%03d", shard),
		options:      o,
		index:        newIndex(),
		indexedPages: make(map[backing.Revision]bool),
	}
}

func (l *log) headKey() string { return l.name + "/head" }

func (l *log) pageKey(p backing.Revision) string { return fmt.Sprintf("%s/page/%d", l.name, p) }

// refresh reads the head and those sealed pages that are not yet indexed.
func (l *log) refresh(ctx context.Context) error {
	rev, h, err := l.readHead(ctx)
	if err != nil {
		return err
	}
	if l.current && rev == l.rev {
		return nil
	}
	l.current = false
	for _, ref := range h.Pages {
		if err := l.readPage(ctx, ref); err != nil {
			return err
		}
	}
	l.setHead(rev, h)
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
		return 0, head{}, errors.Wrap(err, "decode claim head")
	}
	return kv.Revision, h, nil
}

func (l *log) readPage(ctx context.Context, ref pageRef) error {
	if l.indexedPages[ref.Head] || ref.expired(time.Now(), l.options.Retention) {
		return nil
	}
	entries, err := l.pageEntries(ctx, ref.Head)
	if err != nil {
		return err
	}
	for i := range entries {
		l.index.apply(&entries[i], ref.Head)
	}
	l.indexedPages[ref.Head] = true
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
		return nil, errors.Wrap(err, "decode claim page")
	}
	return entries, nil
}

// setHead installs a head that was read or written at revision rev.
func (l *log) setHead(rev backing.Revision, h head) {
	for i := range h.Open {
		l.index.apply(&h.Open[i], 0)
	}
	l.rev, l.head, l.current = rev, h, true
}

// seal writes the open page of the current head under a key with that head's
// revision. Any writer of this key writes the same bytes, so a conflict means that
// the page exists already.
func (l *log) seal(ctx context.Context, lease backing.LeaseID) error {
	value, err := json.Marshal(l.head.Open)
	if err != nil {
		return errors.Wrap(err, "encode claim page")
	}
	_, err = l.store.CompareAndSwap(ctx, l.pageKey(l.rev), 0, value, lease)
	if errors.Is(err, backing.ErrConflict) {
		return nil
	}
	return err
}

// markSealed updates the index after the open page was sealed as page.
func (l *log) markSealed(page backing.Revision) {
	for i := range l.head.Open {
		l.index.apply(&l.head.Open[i], page)
	}
	l.indexedPages[page] = true
}

// dropExpired returns the pages within the retention time and removes the others
// from the index.
func (l *log) dropExpired(now time.Time, pages []pageRef) []pageRef {
	retained := pages
	for len(retained) > 0 && retained[0].expired(now, l.options.Retention) {
		delete(l.indexedPages, retained[0].Head)
		retained = retained[1:]
	}
	if len(retained) < len(pages) {
		l.index.removeExpired(now, l.options.Retention)
	}
	return retained
}

package usage

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// sourceMemory is how long a silent source is remembered, counted while the
// shard is kept.
const sourceMemory = 6 * time.Hour

// seal fixes the pages of each window that is due. The pages are in the store
// before the record names them, so a keeper that takes over reports the same
// bytes.
func (k *keeper) seal(ctx context.Context, now time.Time) error {
	for _, w := range k.dueWindows(now) {
		pages, err := encodePages(k.settings, k.shard, w, k.record.Value().Open[w])
		if err != nil {
			return err
		}
		hashes := make([]string, 0, len(pages))
		for _, p := range pages {
			if err := k.putPage(ctx, p); err != nil {
				return err
			}
			hashes = append(hashes, p.hash)
		}
		next := k.record.Value().clone()
		delete(next.Open, w)
		next.Sealed = append(next.Sealed, sealed{Window: w, Pages: hashes})
		next.Watermark = max(next.Watermark, w)
		next.age(now)
		next.forgetSources()
		if err := k.swap(ctx, next); err != nil {
			return err
		}
		k.stats.Sealed.Add(1)
	}
	return nil
}

func (k *keeper) dueWindows(now time.Time) []Window {
	var due []Window
	for w := range k.record.Value().Open {
		if k.settings.due(w, now) {
			due = append(due, w)
		}
	}
	slices.Sort(due)
	return due
}

// putPage stores a page under the hash of its bytes; one that is there already
// is the same.
func (k *keeper) putPage(ctx context.Context, p encodedPage) error {
	_, err := k.store.CompareAndSwap(ctx, k.pageKey(p.hash), 0, p.body, 0)
	if err == nil || errors.Is(err, backing.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, "store usage page")
}

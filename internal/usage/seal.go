package usage

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// sourceRetention is how long the last sequence number of an idle source is
// retained, measured in the time for which the shard is owned.
const sourceRetention = 6 * time.Hour

// seal encodes the pages of every due window and marks it as sealed. The pages are
// stored before the record references them, so an owner that takes over reports the
// same bytes.
func (a *shardAggregator) seal(ctx context.Context, now time.Time) error {
	for _, window := range a.dueWindows(now) {
		pages, err := encodePages(a.settings, a.shard, window, a.record.Value().Open[window])
		if err != nil {
			return err
		}
		hashes := make([]string, 0, len(pages))
		for _, page := range pages {
			if err := a.putPage(ctx, page); err != nil {
				return err
			}
			hashes = append(hashes, page.hash)
		}
		next := a.record.Value().clone()
		delete(next.Open, window)
		next.Sealed = append(next.Sealed, sealedWindow{Window: window, Pages: hashes})
		next.Watermark = max(next.Watermark, window)
		next.advanceOwnedTime(now)
		next.dropIdleSources()
		if err := a.swap(ctx, next); err != nil {
			return err
		}
		a.stats.Sealed.Add(1)
	}
	return nil
}

// dueWindows returns the open windows that may be sealed, oldest first.
func (a *shardAggregator) dueWindows(now time.Time) []Window {
	var due []Window
	for window := range a.record.Value().Open {
		if a.settings.due(window, now) {
			due = append(due, window)
		}
	}
	slices.Sort(due)
	return due
}

// putPage stores a page under the hash of its content. A page that exists under this
// key has the same content.
func (a *shardAggregator) putPage(ctx context.Context, page encodedPage) error {
	_, err := a.store.CompareAndSwap(ctx, a.pageKey(page.hash), 0, page.body, 0)
	if err == nil || errors.Is(err, backing.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, "store usage page")
}

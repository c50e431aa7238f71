package usage

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// reportPages sends the pages of sealed windows to the report interface, oldest window
// first. A page is sent again, byte for byte, until the interface has accepted it.
func (a *shardAggregator) reportPages(ctx context.Context) error {
	for len(a.record.Value().Sealed) > 0 {
		next := a.record.Value().Sealed[0]
		if next.Reported < len(next.Pages) {
			if err := a.reportPage(ctx, next); err != nil {
				return err
			}
		}
		if err := a.markPageReported(ctx); err != nil {
			return err
		}
	}
	return nil
}

// reportPage sends the first unreported page of a sealed window.
func (a *shardAggregator) reportPage(ctx context.Context, window sealedWindow) error {
	hash := window.Pages[window.Reported]
	kv, err := a.store.Get(ctx, a.pageKey(hash))
	if err != nil {
		return errors.Wrap(err, "read usage page")
	}
	ctx, cancel := context.WithTimeout(ctx, a.settings.CallTimeout)
	defer cancel()
	err = a.sink.Report(ctx, backing.UsageReport{
		Window: formatWindow(window.Window),
		Shard:  a.shard,
		Page:   window.Reported,
		Fence:  a.fence,
		Issuer: a.host,
		Body:   kv.Value,
	})
	if err != nil {
		a.stats.ReportFailures.Add(1)
		return errors.Wrap(err, "report usage page")
	}
	a.stats.Reported.Add(1)
	return nil
}

// markPageReported records that the next page of the oldest sealed window was reported.
// After the last page it removes the window from the record and deletes its pages.
func (a *shardAggregator) markPageReported(ctx context.Context) error {
	first := a.record.Value().Sealed[0]
	next := a.record.Value().clone()
	next.Sealed[0].Reported++
	done := next.Sealed[0].Reported >= len(first.Pages)
	if done {
		next.Sealed = next.Sealed[1:]
	}
	if err := a.swap(ctx, next); err != nil {
		return err
	}
	if done {
		a.deletePages(ctx, first)
	}
	return nil
}

// deletePages deletes the stored pages of a reported window. Errors are ignored: a
// remaining page only occupies space.
func (a *shardAggregator) deletePages(ctx context.Context, window sealedWindow) {
	for _, hash := range window.Pages {
		kv, err := a.store.Get(ctx, a.pageKey(hash))
		if err == nil {
			_ = a.store.Delete(ctx, kv.Key, kv.Revision)
		}
	}
}

package usage

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// report gives sealed pages to the report interface, oldest first. A page is
// reported again, byte for byte, until the interface has taken it.
func (k *keeper) report(ctx context.Context) error {
	for len(k.record.Value().Sealed) > 0 {
		next := k.record.Value().Sealed[0]
		if next.Reported < len(next.Pages) {
			if err := k.reportPage(ctx, next); err != nil {
				return err
			}
		}
		if err := k.noteReported(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (k *keeper) reportPage(ctx context.Context, s sealed) error {
	hash := s.Pages[s.Reported]
	kv, err := k.store.Get(ctx, k.pageKey(hash))
	if err != nil {
		return errors.Wrap(err, "read usage page")
	}
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	err = k.sink.Report(ctx, backing.UsageReport{
		Window: windowName(s.Window),
		Shard:  k.shard,
		Page:   s.Reported,
		Fence:  k.fence,
		Issuer: k.host,
		Body:   kv.Value,
	})
	if err != nil {
		k.stats.ReportFailures.Add(1)
		return errors.Wrap(err, "report usage page")
	}
	k.stats.Reported.Add(1)
	return nil
}

// noteReported counts the first page of the first sealed window as reported,
// and forgets the window after its last.
func (k *keeper) noteReported(ctx context.Context) error {
	first := k.record.Value().Sealed[0]
	next := k.record.Value().clone()
	next.Sealed[0].Reported++
	done := next.Sealed[0].Reported >= len(first.Pages)
	if done {
		next.Sealed = next.Sealed[1:]
	}
	if err := k.swap(ctx, next); err != nil {
		return err
	}
	if done {
		k.deletePages(ctx, first)
	}
	return nil
}

// deletePages removes pages that were reported. One that stays behind does no
// harm but takes room.
func (k *keeper) deletePages(ctx context.Context, s sealed) {
	for _, hash := range s.Pages {
		kv, err := k.store.Get(ctx, k.pageKey(hash))
		if err == nil {
			_ = k.store.Delete(ctx, kv.Key, kv.Revision)
		}
	}
}

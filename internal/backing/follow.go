package backing

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Follower keeps a copy of all keys with a prefix current by one waiting watch
// of the store. In an outage the copy stays as it is.
type Follower struct {
	Store  Store
	Prefix string
	// Wait is how long one watch waits, Timeout bounds each call besides it.
	Wait, Timeout time.Duration
	// Retry is the pause after a failure, Spacing that after each watch.
	Retry, Spacing time.Duration
	// Replace takes all keys as they are, Apply later changes of them. An
	// error makes the follower begin again after Retry.
	Replace func([]KeyValue) error
	Apply   func([]Event) error
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := f.list(ctx)
		for err == nil && ctx.Err() == nil {
			after, err = f.watch(ctx, after)
			Pause(ctx, f.Spacing)
		}
		Pause(ctx, f.Retry)
	}
}

func (f *Follower) list(ctx context.Context) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	items, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return 0, errors.Wrapf(err, "list %s", f.Prefix)
	}
	return revision, f.Replace(items)
}

func (f *Follower) watch(ctx context.Context, after Revision) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+f.Timeout)
	defer cancel()
	events, revision, err := f.Store.Watch(ctx, f.Prefix, after, f.Wait)
	if err != nil {
		return 0, errors.Wrapf(err, "watch %s", f.Prefix)
	}
	return revision, f.Apply(events)
}

// Pause waits for d or until ctx ends; false means the latter.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

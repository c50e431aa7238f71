package backing

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// PrefixWatcher maintains a copy of all keys with a prefix through a long-poll
// watch of the store. During a store outage the copy is not changed.
type PrefixWatcher struct {
	Store  Store
	Prefix string
	// PollWait is the long-poll duration of one watch. Timeout limits each call;
	// for a watch it is added to PollWait.
	PollWait, Timeout time.Duration
	// RetryDelay is the delay after a failure. WatchDelay is the delay after each
	// watch.
	RetryDelay, WatchDelay time.Duration
	// AwaitRetry waits after a failure until the next call is due, in place of RetryDelay;
	// nil for none. Succeeded is then called after each call that succeeded.
	AwaitRetry func(ctx context.Context)
	Succeeded  func()
	// Replace receives the complete list of keys. Apply receives later changes.
	// If either returns an error, the keys are listed again after RetryDelay.
	Replace func([]KeyValue) error
	Apply   func([]Event) error
}

// Run watches the store until ctx is done.
func (w *PrefixWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := w.list(ctx)
		for err == nil && ctx.Err() == nil {
			if w.Succeeded != nil {
				w.Succeeded()
			}
			after, err = w.watch(ctx, after)
			Pause(ctx, w.WatchDelay)
		}
		if w.AwaitRetry != nil {
			w.AwaitRetry(ctx)
			continue
		}
		Pause(ctx, w.RetryDelay)
	}
}

func (w *PrefixWatcher) list(ctx context.Context) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	items, revision, err := w.Store.List(ctx, w.Prefix)
	if err != nil {
		return 0, errors.Wrapf(err, "list %s", w.Prefix)
	}
	return revision, w.Replace(items)
}

func (w *PrefixWatcher) watch(ctx context.Context, after Revision) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.PollWait+w.Timeout)
	defer cancel()
	events, revision, err := w.Store.Watch(ctx, w.Prefix, after, w.PollWait)
	if err != nil {
		return 0, errors.Wrapf(err, "watch %s", w.Prefix)
	}
	return revision, w.Apply(events)
}

// Pause waits for d or until ctx is done. It returns false if ctx was done first.
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

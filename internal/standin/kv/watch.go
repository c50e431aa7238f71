package kv

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// Watch implements backing.Store. It counts as one call regardless of how long
// it waits.
func (c *Client) Watch(ctx context.Context, prefix string, after backing.Revision, wait time.Duration) ([]backing.Event, backing.Revision, error) {
	delay, err := c.begin(ctx, OpWatch, prefix)
	if err != nil {
		return nil, 0, err
	}
	if err := sleep(ctx, OpWatch, delay/2); err != nil {
		return nil, 0, err
	}
	events, revision, err := c.waitEvents(ctx, prefix, after, wait)
	if answerErr := c.finish(ctx, OpWatch, delay-delay/2); answerErr != nil {
		return nil, 0, answerErr
	}
	return events, revision, err
}

// waitEvents waits until there are events after the given revision, the wait is
// over, ctx ends or the store becomes unavailable.
func (c *Client) waitEvents(ctx context.Context, prefix string, after backing.Revision, wait time.Duration) ([]backing.Event, backing.Revision, error) {
	w := newWatcher(prefix)
	c.store.addWatcher(w)
	defer c.store.removeWatcher(w)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := wait <= 0; ; {
		clientFaults, storeFaults := c.state(), c.storeFaults.state()
		if clientFaults.down || storeFaults.down || clientFaults.silent || storeFaults.silent {
			return nil, 0, errors.Wrap(backing.ErrUnavailable, "store went away during the watch")
		}
		events, revision, err := c.store.poll(prefix, after)
		if err != nil || len(events) > 0 || timedOut {
			return events, revision, err
		}
		select {
		case <-w.ready:
		case <-clientFaults.changed:
		case <-storeFaults.changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return nil, 0, errors.Wrap(backing.ErrUnavailable, ctx.Err().Error())
		}
	}
}

func (s *Store) poll(prefix string, after backing.Revision) ([]backing.Event, backing.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eventsAfter(prefix, after)
}

func (s *Store) addWatcher(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[w] = struct{}{}
	s.counts.Waiting++
}

func (s *Store) removeWatcher(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
	s.counts.Waiting--
}

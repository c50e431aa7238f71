package kv

import (
	"bytes"
	"sort"
	"strings"

	"github.com/acacialink/acacialink/internal/backing"
)

// watcher is a waiting watch.
type watcher struct {
	prefix string
	ready  chan struct{}
}

func newWatcher(prefix string) *watcher {
	return &watcher{prefix: prefix, ready: make(chan struct{}, 1)}
}

// wake makes the watch check for events. It never blocks.
func (w *watcher) wake() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// eventsAfter returns the events with the prefix after the given revision, at
// most maxWatchEvents, and the revision to continue from. The caller must hold
// mu.
func (s *Store) eventsAfter(prefix string, after backing.Revision) ([]backing.Event, backing.Revision, error) {
	if after < s.compacted || after > s.revision {
		return nil, 0, backing.ErrCompacted
	}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var events []backing.Event
	for _, e := range s.history[start:] {
		if !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		e.Value = bytes.Clone(e.Value)
		events = append(events, e)
		if len(events) == maxWatchEvents {
			return events, e.Revision, nil
		}
	}
	return events, max(after, s.revision), nil
}

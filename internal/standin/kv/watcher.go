package kv

import (
	"bytes"
	"sort"
	"strings"

	"github.com/acacialink/acacialink/internal/backing"
)

// watcher is one waiting watch.
type watcher struct {
	prefix string
	ready  chan struct{}
}

func newWatcher(prefix string) *watcher {
	return &watcher{prefix: prefix, ready: make(chan struct{}, 1)}
}

func (w *watcher) wake() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// eventsAfter returns the events with the prefix that are later than after,
// and the revision to go on from. Called with mu held.
func (s *Store) eventsAfter(prefix string, after backing.Revision) ([]backing.Event, backing.Revision, error) {
	if after < s.compacted {
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

package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
)

// maxPauses bounds the endpoints whose pauses are kept.
const maxPauses = 4096

// PauseStated records that an endpoint wants nothing from this host for a time. It returns
// whether it gets nothing for longer than before.
func (t *Tracker) PauseStated(now time.Time, e *endpoint.Endpoint, pause time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.pauses[e.ID]
	if !ok && len(t.pauses) >= maxPauses {
		for id, p := range t.pauses {
			if !now.Before(p.Until) {
				delete(t.pauses, id)
			}
		}
	}
	merged := known.Merge(pace.Pause{StartedAtMS: e.StartedAtMS, Until: now.Add(pause)})
	if merged == known || !ok && len(t.pauses) >= maxPauses {
		return false
	}
	t.pauses[e.ID] = merged
	return true
}

// Paused returns the time for which an endpoint wants nothing from this host, at most 0 if
// it takes requests.
func (t *Tracker) Paused(now time.Time, e *endpoint.Endpoint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses[e.ID].Left(now, e.StartedAtMS)
}

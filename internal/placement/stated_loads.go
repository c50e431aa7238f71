package placement

import (
	"math"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

const (
	// loadTTL is how long a statement of an endpoint's load counts.
	loadTTL = 2 * time.Second
	// loadHalfLife is the time in which a statement loses half of its weight: how long work
	// takes on a machine that others use changes within tenths of a second.
	loadHalfLife = 400 * time.Millisecond
	// slowFrom is the slowness from which on peers are told of it, and of its end.
	slowFrom = 1.2
	// toldTime is how long peers are told of a statement.
	toldTime = 500 * time.Millisecond
	// maxStatedLoads bounds the endpoints whose statements are kept.
	maxStatedLoads = 8192
	// waitingCost is the penalty of a decode engine for each request that waits there. As
	// many places become free in that time on an engine of 64 slots whose streams last two
	// seconds.
	waitingCost = 30 * time.Millisecond
	// maxSlowness bounds what a statement counts.
	maxSlowness = 20.0
)

// statedLoad is the last statement of an endpoint's load.
type statedLoad struct {
	endpoint.LoadReport
	// loadedAt is when it last stated that it is slow or that requests wait.
	loadedAt time.Time
}

// LoadStated records what an endpoint stated of its load in an answer to this host. It returns
// whether it has become slow or is no longer.
func (t *Tracker) LoadStated(now time.Time, e *endpoint.Endpoint, load endpoint.StatedLoad) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.statedLoads[e.ID]
	t.addLoad(now, e.ID, endpoint.LoadReport{StartedAtMS: e.StartedAtMS, StatedLoad: load, At: now})
	return (before.Slowness >= slowFrom) != (load.Slowness >= slowFrom)
}

// addLoad applies a statement, of an endpoint or from a peer. The caller holds mu.
func (t *Tracker) addLoad(now time.Time, id string, r endpoint.LoadReport) {
	known, ok := t.statedLoads[id]
	switch {
	case now.Sub(r.At) >= loadTTL, ok && (r.StartedAtMS < known.StartedAtMS || r.StartedAtMS == known.StartedAtMS && !r.At.After(known.At)):
		return
	case !ok && len(t.statedLoads) >= maxStatedLoads:
		t.dropLoads(now)
		if len(t.statedLoads) >= maxStatedLoads {
			return
		}
	}
	next := statedLoad{LoadReport: r}
	if r.StartedAtMS == known.StartedAtMS {
		next.loadedAt = known.loadedAt
	}
	if r.Slowness >= slowFrom || r.Waiting > 0 {
		next.loadedAt = r.At
	}
	t.statedLoads[id] = next
}

// dropLoads drops the statements that no longer count. The caller holds mu.
func (t *Tracker) dropLoads(now time.Time) {
	for id, s := range t.statedLoads {
		if now.Sub(s.At) >= loadTTL {
			delete(t.statedLoads, id)
		}
	}
}

// slowness returns how long work takes at an endpoint, in times of what is usual, by its last
// statement: the older it is, the nearer to 1. The caller holds mu.
func (t *Tracker) slowness(now time.Time, key endpoint.Key) float64 {
	s, ok := t.statedLoads[key.ID]
	if !ok || s.StartedAtMS != key.StartedAtMS || now.Sub(s.At) >= loadTTL {
		return 1
	}
	return 1 + (min(maxSlowness, s.Slowness)-1)*math.Exp2(-float64(now.Sub(s.At))/float64(loadHalfLife))
}

// waiting returns the requests that wait at an endpoint by its last statement, less the older it
// is. The caller holds mu.
func (t *Tracker) waiting(now time.Time, key endpoint.Key) float64 {
	s, ok := t.statedLoads[key.ID]
	if !ok || s.StartedAtMS != key.StartedAtMS || now.Sub(s.At) >= loadTTL {
		return 0
	}
	return float64(s.Waiting) * math.Exp2(-float64(now.Sub(s.At))/float64(loadHalfLife))
}

// LoadReports returns the statements that peers are told of: of endpoints that are slow or where
// requests wait, or lately did.
func (t *Tracker) LoadReports(now time.Time) map[string]endpoint.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropLoads(now)
	var out map[string]endpoint.LoadReport
	for id, s := range t.statedLoads {
		if now.Sub(s.At) >= toldTime || s.loadedAt.IsZero() || now.Sub(s.loadedAt) >= 2*toldTime {
			continue
		}
		if out == nil {
			out = make(map[string]endpoint.LoadReport)
		}
		out[id] = s.LoadReport
	}
	return out
}

// AddLoadReports applies statements that a peer reports, by ID.
func (t *Tracker) AddLoadReports(now time.Time, reports map[string]endpoint.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range reports {
		t.addLoad(now, id, r)
	}
}

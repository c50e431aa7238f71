package placement

import (
	"maps"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

const (
	// departureTTL is how long an endpoint is avoided because a peer was told that it
	// leaves. The registry confirms it by then, or the statement was false.
	departureTTL = 5 * time.Second
	// maxDepartures bounds the departures that are kept.
	maxDepartures = 4096
)

// Departed records that an endpoint stated to this host that it leaves.
func (t *Tracker) Departed(now time.Time, e *endpoint.Endpoint) {
	t.AddDepartures(now, map[string]endpoint.Departure{e.ID: {StartedAtMS: e.StartedAtMS, At: now}})
}

// AddDepartures adds what a peer reports of endpoints that leave, by ID. They are avoided: a
// statement to another host is a hint.
func (t *Tracker) AddDepartures(now time.Time, departures map[string]endpoint.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(departures) == 0 {
		return
	}
	t.dropDepartures(now)
	for id, d := range departures {
		known, ok := t.departures[id]
		later := d.StartedAtMS > known.StartedAtMS || d.StartedAtMS == known.StartedAtMS && d.At.After(known.At)
		if now.Sub(d.At) < departureTTL && (ok && later || !ok && len(t.departures) < maxDepartures) {
			t.departures[id] = d
		}
	}
}

// Departures returns the endpoints that stated lately, to this host or to peers, that they
// leave, by ID.
func (t *Tracker) Departures(now time.Time) map[string]endpoint.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropDepartures(now)
	if len(t.departures) == 0 {
		return nil
	}
	return maps.Clone(t.departures)
}

// dropDepartures drops those that no longer count. The caller holds mu.
func (t *Tracker) dropDepartures(now time.Time) {
	maps.DeleteFunc(t.departures, func(_ string, d endpoint.Departure) bool { return now.Sub(d.At) >= departureTTL })
}

// departs reports whether an endpoint is said to leave. The caller holds mu.
func (t *Tracker) departs(now time.Time, e *endpoint.Endpoint) bool {
	d, ok := t.departures[e.ID]
	return ok && d.StartedAtMS == e.StartedAtMS && now.Sub(d.At) < departureTTL
}

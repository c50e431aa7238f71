// Package endpoint caches the endpoints listed in the platform's registry.
package endpoint

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Stage is the phase of a generation that an engine executes.
type Stage uint8

// The stages. Endpoints of plain services have StageNone.
const (
	StageNone Stage = iota
	StagePrefill
	StageDecode
)

// String returns the name of the stage for logs.
func (s Stage) String() string {
	switch s {
	case StagePrefill:
		return "prefill"
	case StageDecode:
		return "decode"
	default:
		return "none"
	}
}

// Endpoint is one running process of a service. It is immutable once added to a
// Set.
type Endpoint struct {
	// ID identifies the process. Address is its IP:PORT.
	ID, Address     string
	Service, Domain string
	// StartedAtMS is the start time in Unix milliseconds. It distinguishes
	// incarnations, because an ID may be reused.
	StartedAtMS int64
	// Slots is the number of request slots in the registry entry.
	Slots int
	Stage Stage
	// Revision is the store revision of the registry entry.
	Revision backing.Revision
	// Draining endpoints accept no new work.
	Draining bool
	// ColdLeft is how long the endpoint was still cold when its entry was written. ColdUntil
	// is the latest time until which it is, from when the entry came; a Set sets it.
	ColdLeft  time.Duration
	ColdUntil time.Time
}

// withColdUntil returns the endpoint with the time until which it is cold. An entry that came
// before, as old, counts from then.
func (e *Endpoint) withColdUntil(now time.Time, old *Endpoint) *Endpoint {
	cold := *e
	cold.ColdUntil = now.Add(e.ColdLeft)
	if old != nil && old.Key() == e.Key() && old.Revision == e.Revision {
		cold.ColdUntil = old.ColdUntil
	}
	return &cold
}

// Key identifies one incarnation of an endpoint.
type Key struct {
	ID          string
	StartedAtMS int64
}

// Key returns the key of this incarnation.
func (e *Endpoint) Key() Key { return Key{ID: e.ID, StartedAtMS: e.StartedAtMS} }

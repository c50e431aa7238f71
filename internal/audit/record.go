package audit

import (
	"time"

	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/acacialink/acacialink/internal/standin/provider"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/acacialink/acacialink/internal/standin/usagesink"
)

// Record holds the records of all stand-ins of one run.
type Record struct {
	Engines  []engine.Record    `json:"engines"`
	Services []service.Record   `json:"services"`
	Provider provider.Record    `json:"provider"`
	Usage    []usagesink.Report `json:"usage"`
	Hosts    []hostlist.Change  `json:"hosts"`
	// Requests lists the requests of callers with their responses.
	Requests []Request `json:"requests"`
	// Keys lists the keys that operators declared.
	Keys []Key `json:"keys"`
	// Workspaces lists the workspaces that operators declared.
	Workspaces []Workspace `json:"workspaces"`
	// AtMostOnceRoutes lists the declared path prefixes whose calls execute at most once.
	AtMostOnceRoutes []string `json:"once_routes"`
	// Changes lists the configuration changes that were acknowledged as accepted.
	Changes []ConfigChange `json:"changes"`
	// RevisionObservations lists the revisions that operators observed in use.
	RevisionObservations []RevisionObservation `json:"seen"`
	// PlannedChanges lists planned changes and shutdowns.
	PlannedChanges []PlannedChange `json:"planned"`
	// Faults lists the time spans of injected faults.
	Faults []Window `json:"faults"`
}

// Window is a time span that includes both ends.
type Window struct {
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
}

func (w Window) overlaps(start, end time.Time) bool {
	return !end.Before(w.Start) && !start.After(w.End)
}

// PlannedChange is a planned change or shutdown of a process or an endpoint.
type PlannedChange struct {
	Window
	// Target is the name of the process or endpoint.
	Target string `json:"target"`
	// Shutdown reports whether the target was asked to shut down, for example by
	// SIGTERM.
	Shutdown bool `json:"stop,omitempty"`
}

// Key is an API key of a caller.
type Key struct {
	Name      string `json:"name"`
	Secret    string `json:"secret"`
	Workspace string `json:"workspace"`
	// RevokedAt is zero for a key that was not revoked.
	RevokedAt time.Time `json:"revoked_at,omitzero"`
}

// Workspace is a workspace with its rate limit.
type Workspace struct {
	Name string `json:"name"`
	// RateTokens is the rate in tokens per second.
	RateTokens int64 `json:"rate_tokens"`
	// BurstTokens is the burst in tokens.
	BurstTokens int64 `json:"burst_tokens"`
}

// ConfigChange is a configuration change that was acknowledged as accepted.
type ConfigChange struct {
	Revision   int64     `json:"revision"`
	AcceptedAt time.Time `json:"accepted_at"`
}

// RevisionObservation is the revision that a serving process used at a point in time.
// Only processes that serve routes requiring a key are listed.
type RevisionObservation struct {
	Process  string    `json:"process"`
	At       time.Time `json:"at"`
	Revision int64     `json:"revision"`
}

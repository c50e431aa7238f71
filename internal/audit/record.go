package audit

import (
	"time"

	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/acacialink/acacialink/internal/standin/provider"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/acacialink/acacialink/internal/standin/usagesink"
)

// Record is what all stand-ins recorded during a run.
type Record struct {
	Engines  []engine.Record    `json:"engines"`
	Services []service.Record   `json:"services"`
	Provider provider.Record    `json:"provider"`
	Usage    []usagesink.Report `json:"usage"`
	Hosts    []hostlist.Change  `json:"hosts"`
	// Requests are what callers sent and got.
	Requests []Request `json:"requests"`
	// Keys, Workspaces and OnceRoutes are what operators declared.
	Keys       []Key       `json:"keys"`
	Workspaces []Workspace `json:"workspaces"`
	// OnceRoutes are path prefixes whose calls run at most once.
	OnceRoutes []string `json:"once_routes"`
	// Changes are the changes that operators saw accepted, Seen the revisions
	// that they saw in use.
	Changes []ConfigChange `json:"changes"`
	Seen    []ConfigSeen   `json:"seen"`
	// Planned are planned changes and stops, Faults the times of faults.
	Planned []Planned `json:"planned"`
	Faults  []Window  `json:"faults"`
}

// Window is a time span.
type Window struct {
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
}

func (w Window) overlaps(start, end time.Time) bool {
	return !end.Before(w.Start) && !start.After(w.End)
}

// Planned is a planned change at a process or an endpoint.
type Planned struct {
	Window
	Target string `json:"target"`
	// Stop is true if the target was asked to stop, for example by SIGTERM.
	Stop bool `json:"stop,omitempty"`
}

// Key is a caller's key.
type Key struct {
	Name      string    `json:"name"`
	Secret    string    `json:"secret"`
	Workspace string    `json:"workspace"`
	RevokedAt time.Time `json:"revoked_at,omitzero"`
}

// Workspace is a workspace with its rate.
type Workspace struct {
	Name        string `json:"name"`
	RateTokens  int64  `json:"rate_tokens"`
	BurstTokens int64  `json:"burst_tokens"`
}

// ConfigChange is a change that was answered as accepted.
type ConfigChange struct {
	Revision   int64     `json:"revision"`
	AcceptedAt time.Time `json:"accepted_at"`
}

// ConfigSeen is the revision that a serving process used at a time. A process
// that serves no keyed routes is not listed.
type ConfigSeen struct {
	Process  string    `json:"process"`
	At       time.Time `json:"at"`
	Revision int64     `json:"revision"`
}

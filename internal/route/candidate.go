package route

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Candidate is one endpoint as an entry host knows it.
type Candidate struct {
	Name   string
	Domain string
	Role   backing.Role
	// Ready is false while the endpoint loads or changes its role.
	Ready bool
	// Draining endpoints take no new work.
	Draining bool
	Models   []string
	// Adapters are "model/adapter".
	Adapters []string
	// Own is the work that this entry host has at the endpoint now.
	Own Work
	// Gap is the time between tokens that this host's streams see there.
	Gap Gap
	// Report is the endpoint's last load report.
	Report Report
}

// Gap is a smoothed time between tokens, as it was at a moment.
type Gap struct {
	Mean time.Duration
	At   time.Time
}

// Work is an amount of work at an endpoint.
type Work struct {
	// Requests counts requests in flight.
	Requests int
	// PromptTokens is prompt work that is not yet prefilled, in tokens.
	PromptTokens int64
	// Pieces is engine memory, in pieces of backing.PieceTokens tokens.
	Pieces int64
}

// Report is an endpoint's load at a moment in the past.
type Report struct {
	// At is when the engine measured it, by the reader's clock. A zero time
	// means that there was no report yet.
	At      time.Time
	Running int
	Waiting int
	// WaitingPromptTokens is prompt work not yet prefilled, in tokens.
	WaitingPromptTokens int64
	FreePieces          int
	TotalPieces         int
	// Own is the reader's own work at the endpoint when the report arrived,
	// so that it is not counted twice.
	Own Work
}

// others is the reported work that is not the reader's own.
func (r *Report) others() Work {
	return Work{
		Requests:     max(0, r.Running+r.Waiting-r.Own.Requests),
		PromptTokens: max(0, r.WaitingPromptTokens-r.Own.PromptTokens),
	}
}

// hasAdapter says whether the endpoint has the adapter, if the request names one.
func (c *Candidate) hasAdapter(r *Request) bool {
	if r.Adapter == "" {
		return true
	}
	return slices.Contains(c.Adapters, r.Model+"/"+r.Adapter)
}

// eligible says whether the endpoint may take the request at all.
func (c *Candidate) eligible(r *Request) bool {
	if !c.Ready || c.Draining {
		return false
	}
	if _, tried := r.Exclude[c.Name]; tried {
		return false
	}
	if r.Phase == PhasePrefill && c.Role == backing.RoleDecode {
		return false
	}
	if r.Phase == PhaseDecode && c.Role == backing.RolePrefill {
		return false
	}
	return c.hasAdapter(r)
}

package route

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Candidate is the cached state of one endpoint at an entry host.
type Candidate struct {
	Name   string
	Domain string
	Role   backing.Role
	// Ready is false while the endpoint loads a model or changes its role.
	Ready bool
	// Draining reports whether the endpoint refuses new requests.
	Draining bool
	Models   []string
	// Adapters lists the loaded adapters as "model/adapter".
	Adapters []string
	// OwnWork is the work that this entry host has in flight at the endpoint.
	OwnWork Work `json:"Own"`
	// TokenGap is the time between tokens observed by this host's streams there.
	TokenGap TokenGap `json:"Gap"`
	// Report is the endpoint's latest load report.
	Report LoadReport
}

// TokenGap is a moving average of the time between tokens.
type TokenGap struct {
	Mean      time.Duration
	UpdatedAt time.Time `json:"At"`
}

// Work is an amount of work at an endpoint.
type Work struct {
	// Requests is the number of requests in flight.
	Requests int
	// PromptTokens is the prompt work not yet prefilled, in tokens.
	PromptTokens int64
	// KVBlocks is the number of KV cache blocks of backing.KVBlockTokens tokens.
	KVBlocks int64 `json:"Pieces"`
}

// LoadReport is a load report of an endpoint.
type LoadReport struct {
	// MeasuredAt is when the engine took the measurement, by the receiving host's
	// clock. It is zero if no report has been received.
	MeasuredAt time.Time `json:"At"`
	Running    int
	Waiting    int
	// WaitingPromptTokens is the prompt work not yet prefilled, in tokens.
	WaitingPromptTokens int64
	FreeKVBlocks        int `json:"FreePieces"`
	TotalKVBlocks       int `json:"TotalPieces"`
	// OwnWork is the receiving host's own work at the endpoint when the report
	// arrived. It is subtracted from the report so that it is not counted twice.
	OwnWork Work `json:"Own"`
}

// otherHostsWork returns the reported work less the receiving host's own.
func (r *LoadReport) otherHostsWork() Work {
	return Work{
		Requests:     max(0, r.Running+r.Waiting-r.OwnWork.Requests),
		PromptTokens: max(0, r.WaitingPromptTokens-r.OwnWork.PromptTokens),
	}
}

// hasAdapter reports whether the endpoint has loaded the adapter that the
// request names, if any.
func (c *Candidate) hasAdapter(r *Request) bool {
	if r.Adapter == "" {
		return true
	}
	return slices.Contains(c.Adapters, r.Model+"/"+r.Adapter)
}

// eligible reports whether the request may be sent to the endpoint.
func (c *Candidate) eligible(r *Request) bool {
	if !c.Ready || c.Draining {
		return false
	}
	if _, excluded := r.Exclude[c.Name]; excluded {
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

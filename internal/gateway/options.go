package gateway

import (
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/placement"
)

// Quota enforces the rate limits of workspaces.
type Quota interface {
	// Take reserves tokens. If ok is false, nothing is reserved and retry is
	// the delay after which the caller should try again.
	Take(now time.Time, w *catalog.Workspace, tokens int64) (retry time.Duration, ok bool)
	// Give refunds the tokens of a request that did not run. reserved is the
	// time of the reservation.
	Give(now, reserved time.Time, workspace string, tokens int64)
}

// Usage counts the requests that started to run, by workspace.
type Usage interface {
	// Began counts one request of the workspace.
	Began(workspace string)
}

// Options configure a Gateway.
type Options struct {
	Ingress   Ingress
	Sender    Sender
	Catalog   *catalog.Holder
	Endpoints *endpoint.Set
	Tracker   *placement.Tracker
	Quota     Quota
	Usage     Usage
	Budget    *Budget
	// Domain is the failure domain of this host.
	Domain string
	// Hosts returns the number of hosts that share the endpoints' connection
	// limits.
	Hosts func() int
	// Ending reports whether the process is terminating, and the time that
	// remains.
	Ending  func() (remaining time.Duration, ending bool)
	Metrics *Metrics
	Log     *slog.Logger
}

package gateway

import (
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/placement"
)

// Quota keeps workspaces within their rates.
type Quota interface {
	// Take reserves tokens, or says after how long to ask again.
	Take(now time.Time, w *catalog.Workspace, tokens int64) (retry time.Duration, ok bool)
	// Give returns tokens of a request that did not run, taken at a time.
	Give(now, taken time.Time, workspace string, tokens int64)
}

// Usage counts what began to run.
type Usage interface {
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
	// Domain is the host's failure domain.
	Domain string
	// Hosts is the number of hosts that share endpoints' connections.
	Hosts func() int
	// Ending says whether the process is about to end, and the time left to it.
	Ending  func() (left time.Duration, ending bool)
	Metrics *Metrics
	Log     *slog.Logger
}

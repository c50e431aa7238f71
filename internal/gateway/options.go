package gateway

import (
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/suspect"
	"github.com/acacialink/acacialink/internal/termination"
)

// Quota enforces the rate limits of workspaces.
type Quota interface {
	// Reserve reserves tokens. If ok is false, nothing is reserved and retry is
	// the delay after which the caller should try again.
	Reserve(now time.Time, w *catalog.Workspace, tokens int64) (retry time.Duration, ok bool)
	// Refund returns the tokens that were reserved at reservedAt for a request
	// that did not run.
	Refund(now, reservedAt time.Time, workspace string, tokens int64)
}

// Usage counts the requests that started to run, by workspace.
type Usage interface {
	// RecordStart counts one request of the workspace.
	RecordStart(workspace string)
}

// Options configure a Gateway.
type Options struct {
	Ingress   Ingress
	Sender    Sender
	Catalog   *catalog.Cache
	Endpoints *endpoint.Set
	Tracker   *placement.Tracker
	// Suspects holds back requests with segments that crash engines. Leads reports
	// whether this host leads the fleet: it tries such a segment again.
	Suspects *suspect.Ledger
	Leads    func() bool
	Quota    Quota
	Usage    Usage
	Budget   *RetryBudget
	// Bodies bounds the request bodies in memory. Answers bounds the endpoints' answers
	// there, each endpoint being one sender.
	Bodies  *bodybudget.Budget
	Answers *bodybudget.Shares
	// Domain is the failure domain of this host.
	Domain string
	// HostCount returns the number of hosts that share the endpoints' connection
	// limits.
	HostCount func() int
	// Termination is how far the stop of the process is.
	Termination *termination.State
	// SchedulingDelay returns by how much this process is currently late to run
	// what is ready to run. A request has waited about that long before it is
	// handled.
	SchedulingDelay func() time.Duration
	Metrics         *Metrics
	Log             *slog.Logger
}

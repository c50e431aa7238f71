package replay

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// Options configure a replay.
type Options struct {
	// Entries are the base URLs of the entry hosts' caller listeners.
	Entries []string
	// Keys are the API keys by workspace, sent as bearer tokens.
	Keys map[string]string
	// Workspace is the default workspace of requests that do not specify one.
	Workspace string
	// Model is the model of chat requests if the trace does not specify one.
	Model string
	// Speed is the replay speed relative to the trace; 0 means 1. It scales the
	// arrival times only, not the targets.
	Speed float64
	// Rates are the rate limits by workspace, used to determine whether a refused
	// request was within its workspace's rate.
	Rates map[string]Rate
	// Targets are the latency targets; the zero value means DefaultTargets.
	Targets Targets
	// MaxInFlight is the maximum number of requests in flight. A request beyond
	// it is not sent and counts as failed. 0 means 10,000.
	MaxInFlight int
	// Timeout is the time limit of one request, including retries; 0 means
	// 2 minutes.
	Timeout time.Duration
	// MaxAttempts is the maximum number of attempts of one request; 0 means 4.
	MaxAttempts int
	// Progress, if set, receives a progress line every ProgressEvery. A
	// ProgressEvery of 0 means 5 s.
	Progress      io.Writer
	ProgressEvery time.Duration
	// OnEvent, if set, applies an event of the trace to the deployment.
	OnEvent func(ctx context.Context, e Event) error
	// DeploymentFigures, if set, is called at the end of the replay for the
	// figures that the deployment records itself.
	DeploymentFigures func(ctx context.Context) (DeploymentFigures, error)
	// Client, if set, replaces the HTTP client.
	Client *http.Client
}

// Rate is the rate limit of a workspace: Tokens per second, with bursts of up to
// Burst tokens.
type Rate struct {
	Tokens int64 `json:"tokens_per_second"`
	Burst  int64 `json:"burst_tokens"`
}

// Targets are the latency targets that a good response meets.
type Targets struct {
	// FirstToken is the maximum time to first token, measured from the scheduled
	// time of the request.
	FirstToken time.Duration
	// BetweenTokens is the maximum 95th percentile of the inter-token latency
	// within one response.
	BetweenTokens time.Duration
	// BatchFirstToken replaces FirstToken for requests of batch priority, whose
	// inter-token latency has no target.
	BatchFirstToken time.Duration
	// Call is the maximum time to the complete response of a plain service.
	Call time.Duration
}

// DefaultTargets returns the latency targets that the deployment promises.
func DefaultTargets() Targets {
	return Targets{
		FirstToken:      460 * time.Millisecond,
		BetweenTokens:   48 * time.Millisecond,
		BatchFirstToken: 30 * time.Second,
		Call:            time.Second,
	}
}

// DeploymentFigures are recorded by the deployment itself and cannot be observed
// by callers.
type DeploymentFigures struct {
	RoleChanges     int     `json:"role_changes"`
	EndpointSeconds float64 `json:"endpoint_seconds"`
	LateReports     int     `json:"late_reports"`
	WrongReports    int     `json:"wrong_reports"`
}

// Defaults for Options.
const (
	defaultMaxInFlight   = 10_000
	defaultTimeout       = 2 * time.Minute
	defaultMaxAttempts   = 4
	defaultProgressEvery = 5 * time.Second
)

// withDefaults validates the options and returns a copy with defaults applied.
func (o Options) withDefaults(t *Trace) (Options, error) {
	if len(o.Entries) == 0 {
		return o, errors.New("replay: no entry hosts given")
	}
	for _, entry := range o.Entries {
		if u, err := url.Parse(entry); err != nil || u.Host == "" {
			return o, errors.Errorf("replay: entry host %q is not a URL", entry)
		}
	}
	if o.Speed < 0 || len(t.Requests) == 0 {
		return o, errors.New("replay: the scale must not be negative and the trace must not be empty")
	}
	o.Speed = cmp.Or(o.Speed, 1)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, defaultMaxInFlight)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	o.ProgressEvery = cmp.Or(o.ProgressEvery, defaultProgressEvery)
	o.Model = cmp.Or(t.Model, o.Model)
	if o.Targets == (Targets{}) {
		o.Targets = DefaultTargets()
	}
	if o.Client == nil {
		o.Client = newClient(o.MaxInFlight)
	}
	return o, o.checkKeys(t)
}

// checkKeys returns an error for the first request whose workspace has no key.
func (o Options) checkKeys(t *Trace) error {
	for i := range t.Requests {
		r := &t.Requests[i]
		if name := cmp.Or(r.Workspace, o.Workspace); o.Keys[name] == "" {
			return errors.Errorf("replay: no key for workspace %q of request %d", name, i+1)
		}
	}
	return nil
}

// newClient returns a client that keeps up to inFlight idle connections, so that
// connections are reused at the maximum number of requests in flight.
func newClient(inFlight int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        inFlight,
		MaxIdleConnsPerHost: inFlight,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

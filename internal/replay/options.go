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

// Options say where and how a trace is replayed.
type Options struct {
	// Entries are the base URLs of the entry hosts' callers' addresses.
	Entries []string
	// Keys are the bearer keys by workspace.
	Keys map[string]string
	// Workspace is that of requests which name none.
	Workspace string
	// Model is the model of chats where the trace names none.
	Model string
	// Scale is how much faster than recorded the trace is replayed; 0 means 1.
	// Only arrivals are scaled: the targets stay as they are.
	Scale float64
	// Rates are the workspaces' rates, by which refusals are judged.
	Rates   map[string]Rate
	Targets Targets
	// InFlight bounds open requests; one past it is not sent and counts as
	// failed. 0 means 10,000.
	InFlight int
	// Timeout bounds one request; 0 means 2 minutes.
	Timeout time.Duration
	// Attempts bounds how often one request is sent; 0 means 4.
	Attempts int
	// Progress, if set, gets a line every ProgressEvery; 0 means 5 s.
	Progress      io.Writer
	ProgressEvery time.Duration
	// OnEvent, if set, makes the deployment do what the trace says.
	OnEvent func(ctx context.Context, e Event) error
	// Figures, if set, is asked for the deployment's own figures at the end.
	Figures func(ctx context.Context) (Figures, error)
	// Client, if set, replaces the HTTP client.
	Client *http.Client
}

// Rate is a workspace's rate and burst in tokens.
type Rate struct {
	Tokens int64 `json:"tokens_per_second"`
	Burst  int64 `json:"burst_tokens"`
}

// Targets are the times within which an answer is good.
type Targets struct {
	// FirstToken is counted from the moment at which the request was due.
	FirstToken time.Duration
	// BetweenTokens is for 95 in 100 gaps of one answer.
	BetweenTokens time.Duration
	// BatchFirstToken is FirstToken for callers who can wait; the gaps of
	// their answers are not judged.
	BatchFirstToken time.Duration
	// Call is for the whole answer of a plain service.
	Call time.Duration
}

// DefaultTargets are the deployment's promised times.
func DefaultTargets() Targets {
	return Targets{
		FirstToken:      460 * time.Millisecond,
		BetweenTokens:   48 * time.Millisecond,
		BatchFirstToken: 30 * time.Second,
		Call:            time.Second,
	}
}

// Figures are what a deployment counts itself; callers can't see them.
type Figures struct {
	RoleChanges     int     `json:"role_changes"`
	EndpointSeconds float64 `json:"endpoint_seconds"`
	LateReports     int     `json:"late_reports"`
	WrongReports    int     `json:"wrong_reports"`
}

// Defaults of Options.
const (
	defaultInFlight      = 10_000
	defaultTimeout       = 2 * time.Minute
	defaultAttempts      = 4
	defaultProgressEvery = 5 * time.Second
)

// withDefaults checks the options and fills in what they leave out.
func (o Options) withDefaults(t *Trace) (Options, error) {
	if len(o.Entries) == 0 {
		return o, errors.New("replay: no entry hosts are given")
	}
	for _, entry := range o.Entries {
		if u, err := url.Parse(entry); err != nil || u.Host == "" {
			return o, errors.Errorf("replay: entry host %q is no URL", entry)
		}
	}
	if o.Scale < 0 || len(t.Requests) == 0 {
		return o, errors.New("replay: the scale must not be negative, the trace not empty")
	}
	o.Scale = cmp.Or(o.Scale, 1)
	o.InFlight = cmp.Or(o.InFlight, defaultInFlight)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.Attempts = cmp.Or(o.Attempts, defaultAttempts)
	o.ProgressEvery = cmp.Or(o.ProgressEvery, defaultProgressEvery)
	o.Model = cmp.Or(t.Model, o.Model)
	if o.Targets == (Targets{}) {
		o.Targets = DefaultTargets()
	}
	if o.Client == nil {
		o.Client = newClient(o.InFlight)
	}
	return o, o.checkKeys(t)
}

// checkKeys says which workspaces of the trace have no key.
func (o Options) checkKeys(t *Trace) error {
	for i := range t.Requests {
		r := &t.Requests[i]
		if name := cmp.Or(r.Workspace, o.Workspace); o.Keys[name] == "" {
			return errors.Errorf("replay: no key is given for workspace %q of request %d", name, i+1)
		}
	}
	return nil
}

// newClient returns a client that keeps as many connections as there may be
// open requests.
func newClient(inFlight int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        inFlight,
		MaxIdleConnsPerHost: inFlight,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

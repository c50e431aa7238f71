package demo

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/examples"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/exit"
	"github.com/acacialink/acacialink/internal/opsclient"
	"github.com/acacialink/acacialink/internal/replay"
	"github.com/acacialink/acacialink/internal/settings"
	"github.com/acacialink/acacialink/internal/standin/engine"
)

// Experiment is a replay against a dedicated site in this process.
type Experiment struct {
	// Site is "festival" or "consortium".
	Site string
	// RoutingPolicy overrides the setting routing.policy. RoleMode overrides the
	// setting role.mode. If empty, the default applies.
	RoutingPolicy, RoleMode string
	Job                     replay.Job
	Log                     *slog.Logger
}

// errUnknownSite is returned if no sample site has the given name.
var errUnknownSite = errors.New("site must be festival or consortium")

// Run starts the site, runs the replay and stops the site.
func (e *Experiment) Run(ctx context.Context, out io.Writer) (exit.Code, error) {
	source, keys, err := e.sampleSite()
	if err != nil {
		return exit.Usage, err
	}
	resources, err := opsclient.ParseResources(source)
	if err != nil {
		return exit.Settings, errors.Wrap(err, "resources")
	}
	site, err := NewSite(ctx, resources, e.entrySettings(), e.Log)
	if err != nil {
		return exit.Failed, err
	}
	siteCtx, stop := context.WithCancel(ctx)
	defer stop()
	stopped := make(chan error, 1)
	go func() { stopped <- site.Run(siteCtx) }()
	if err := site.bringUp(ctx, resources); err != nil {
		return exit.Failed, err
	}
	if e.Job.Options.Rates, err = replay.WorkspaceRates(resources); err != nil {
		return exit.Settings, err
	}
	e.Job.Options.Keys = keys
	e.Job.Options.OnEvent = site.applyEvent
	e.Job.Options.DeploymentFigures = site.figuresSince(time.Now())
	for _, entry := range site.Entries {
		e.Job.Options.Entries = append(e.Job.Options.Entries, "http://"+entry.CallerAddr())
	}
	code, err := e.Job.Run(ctx, out)
	stop()
	if siteErr := <-stopped; err == nil {
		err = siteErr
	}
	return code, err
}

func (e *Experiment) sampleSite() (source []byte, keys map[string]string, err error) {
	switch e.Site {
	case "festival":
		return examples.FestivalResources, examples.FestivalKeys(), nil
	case "consortium":
		return examples.ConsortiumResources, examples.ConsortiumKeys(), nil
	default:
		return nil, nil, errUnknownSite
	}
}

func (e *Experiment) entrySettings() settings.Entry {
	s := entrySettings()
	if e.RoutingPolicy != "" {
		s.Routing.Policy = e.RoutingPolicy
	}
	if e.RoleMode != "" {
		s.Role.Mode = e.RoleMode
	}
	return s
}

// figuresSince returns a function for replay.Options.DeploymentFigures that
// computes the figures since the given time from the records of the stand-ins.
func (s *Site) figuresSince(since time.Time) func(context.Context) (replay.DeploymentFigures, error) {
	return func(context.Context) (replay.DeploymentFigures, error) {
		var f replay.DeploymentFigures
		for _, e := range s.Deployment.Engines {
			f.EndpointSeconds += time.Since(since).Seconds()
			for _, o := range e.Standin.Record().Orders {
				if o.Kind == backing.OrderSetRole && !o.Repeat && o.Result == engine.ResultDone && o.Start.After(since) {
					f.RoleChanges++
				}
			}
		}
		return f, nil
	}
}

package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/acacialink/acacialink/examples"
	"github.com/acacialink/acacialink/internal/node"
	"github.com/acacialink/acacialink/internal/opsclient"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/settings"
)

// Options configure a demo.
type Options struct {
	// Callers is the IP address and port of the first entry host's callers'
	// listener; the other listeners take free ports.
	Callers string
	// Load is the number of callers at work at a time; zero for none.
	Load int
	// Interval is the time between two lines of figures.
	Interval time.Duration
	// Out takes what the demo prints, Log the processes' logs.
	Out io.Writer
	Log *slog.Logger
}

// startLimit bounds the start of the demo.
const startLimit = 30 * time.Second

// Run runs the demo until ctx ends.
func Run(ctx context.Context, o Options) error {
	resources, err := opsclient.ParseResources(examples.FestivalResources)
	if err != nil {
		return errors.Wrap(err, "resources")
	}
	base := entrySettings()
	base.Listen.Callers = o.Callers
	site, err := NewSite(ctx, resources, base, o.Log)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(func() error { return site.Run(ctx) })
	if err := site.begin(ctx, resources); err != nil {
		return err
	}
	printWelcome(o.Out, site)
	load := newLoad(site)
	for i := range o.Load {
		g.Go(func() error { load.caller(ctx, i); return nil })
	}
	g.Go(func() error { load.report(ctx, o.Out, o.Interval); return nil })
	return g.Wait()
}

// entrySettings are what the entry hosts of a demo start from.
func entrySettings() settings.Entry {
	s := settings.DefaultEntry()
	s.Region = "sample"
	s.Timeouts.DrainNotice = 0
	s.Membership.HostList = settings.Duration(time.Second)
	return s
}

// begin returns once the site, which Run runs, serves the resources.
func (s *Site) begin(ctx context.Context, resources []resource.Resource) error {
	select {
	case <-s.started:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := s.awaitMembers(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx, resources); err != nil {
		return errors.Wrap(err, "configure")
	}
	return s.awaitReady(ctx)
}

// configure declares the resources over the operators' API and waits until
// they are in force.
func (s *Site) configure(ctx context.Context, resources []resource.Resource) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	o := opsclient.Options{Token: OperatorToken, Wait: startLimit}
	for _, e := range s.Entries {
		o.Addresses = append(o.Addresses, "http://"+e.OperatorAddr())
	}
	return opsclient.ApplyResources(ctx, o, resources, io.Discard)
}

// readyInterval is how often the demo looks whether its hosts are ready.
const readyInterval = 20 * time.Millisecond

// awaitMembers returns once the entry hosts know each other.
func (s *Site) awaitMembers(ctx context.Context) error {
	return s.await(ctx, func(e *node.Entry) (bool, string) {
		n := e.MemberCount()
		return n == len(s.Entries), fmt.Sprintf("it knows %d entry hosts", n)
	})
}

// awaitReady returns once every entry host takes callers.
func (s *Site) awaitReady(ctx context.Context) error {
	return s.await(ctx, (*node.Entry).Ready)
}

// await returns once the condition holds on every entry host.
func (s *Site) await(ctx context.Context, condition func(*node.Entry) (bool, string)) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, e := range s.Entries {
		for ok, reason := condition(e); !ok; ok, reason = condition(e) {
			select {
			case <-ctx.Done():
				return errors.Errorf("entry host is not ready: %s", reason)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

func printWelcome(out io.Writer, s *Site) {
	address := s.Entries[0].CallerAddr()
	keys := examples.FestivalKeys()
	fmt.Fprintf(out, "acacialink demo: %d entry hosts, %d agents\n\n", len(s.Entries), len(s.Agents))
	for _, e := range s.Entries {
		fmt.Fprintf(out, "callers http://%s   operators http://%s\n", e.CallerAddr(), e.OperatorAddr())
	}
	fmt.Fprintf(out, "operator token: %s\n", OperatorToken)
	fmt.Fprintf(out, "store stand-in %s (faults: docs/standins.md)\n\n", s.Deployment.Store.URL())
	fmt.Fprintf(out, "Send a request:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", address, keys["residents"])
	fmt.Fprintf(out, "    -d '{\"model\":\"lantern\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"A float for two?\"}]}'\n\n")
}

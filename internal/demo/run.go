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
	// CallersAddr is the IP address and port of the caller listener of the first
	// entry host. All other listeners use free ports.
	CallersAddr string
	// LoadCallers is the number of concurrent callers of the load generator; 0
	// disables it.
	LoadCallers int
	// Interval is the time between two lines of metrics.
	Interval time.Duration
	// Out receives the output of the demo.
	Out io.Writer
	// Log receives the logs of the entry hosts and agents.
	Log *slog.Logger
}

// startTimeout is the time limit of each step of the startup.
const startTimeout = 30 * time.Second

// Run runs the demo until ctx ends and the planned stops are complete.
func Run(ctx context.Context, o Options) error {
	resources, err := opsclient.ParseResources(examples.FestivalResources)
	if err != nil {
		return errors.Wrap(err, "resources")
	}
	base := entrySettings()
	base.Listen.Callers = o.CallersAddr
	site, err := NewSite(ctx, resources, base, o.Log)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(func() error { return site.Run(ctx) })
	if err := site.bringUp(ctx, resources); err != nil {
		return err
	}
	printWelcome(o.Out, site)
	load := newLoadGenerator(site)
	for i := range o.LoadCallers {
		g.Go(func() error { load.runCaller(ctx, i); return nil })
	}
	g.Go(func() error { load.report(ctx, o.Out, o.Interval); return nil })
	return g.Wait()
}

// entrySettings returns the base settings of a demo's entry hosts.
func entrySettings() settings.Entry {
	s := settings.DefaultEntry()
	s.Region = "sample"
	s.Timeouts.DrainNotice = 0
	s.Membership.HostList = settings.Duration(time.Second)
	return s
}

// bringUp configures the site and returns once it serves the resources. Run must
// be running concurrently.
func (s *Site) bringUp(ctx context.Context, resources []resource.Resource) error {
	select {
	case <-s.started:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := s.waitForMembers(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx, resources); err != nil {
		return errors.Wrap(err, "configure")
	}
	return s.waitForReady(ctx)
}

// configure applies the resources through the operator API and waits until they
// are in force.
func (s *Site) configure(ctx context.Context, resources []resource.Resource) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	o := opsclient.Options{Token: OperatorToken, Wait: startTimeout}
	for _, e := range s.Entries {
		o.Addresses = append(o.Addresses, "http://"+e.OperatorAddr())
	}
	return opsclient.ApplyResources(ctx, o, resources, io.Discard)
}

// readyPollInterval is the interval at which the state of entry hosts is polled.
const readyPollInterval = 20 * time.Millisecond

// waitForMembers returns once all entry hosts have discovered each other.
func (s *Site) waitForMembers(ctx context.Context) error {
	return s.waitForEntries(ctx, func(e *node.Entry) (bool, string) {
		n := e.MemberCount()
		return n == len(s.Entries), fmt.Sprintf("it has discovered %d entry hosts", n)
	})
}

// waitForReady returns once every entry host accepts callers.
func (s *Site) waitForReady(ctx context.Context) error {
	return s.waitForEntries(ctx, (*node.Entry).Ready)
}

// waitForEntries returns once the condition holds on every entry host. The
// condition also returns the reason why it does not hold.
func (s *Site) waitForEntries(ctx context.Context, condition func(*node.Entry) (bool, string)) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range s.Entries {
		for ok, reason := condition(e); !ok; ok, reason = condition(e) {
			select {
			case <-ctx.Done():
				return errors.Errorf("entry host is not ready: %s", reason)
			case <-time.After(readyPollInterval):
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

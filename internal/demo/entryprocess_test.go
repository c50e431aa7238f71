package demo

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/examples"
	"github.com/acacialink/acacialink/internal/opsclient"
)

// A site that stops waits for an entry host that was restarted while it ran.
func TestSiteWaitsForRestartedEntryHost(t *testing.T) {
	is := is.New(t)
	resources, err := opsclient.ParseResources(examples.FestivalResources)
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	site, err := NewSite(ctx, resources, entrySettings(), slog.New(slog.DiscardHandler))
	is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- site.Run(ctx) }()
	<-site.started
	process := site.entryProcesses[0]
	process.kill()
	is.NoErr(process.restart())
	select {
	case err := <-stopped:
		t.Fatal("the site stopped while a restarted entry host ran", err)
	case <-time.After(100 * time.Millisecond):
	}
	stop()
	is.NoErr(<-stopped)
	select {
	case <-process.done:
	default:
		t.Fatal("the restarted entry host still runs")
	}
	is.True(process.restart() != nil) // nothing starts after the site has stopped
}

package replay

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/provider"
	"github.com/acacialink/acacialink/internal/standin/usagesink"
)

// TestStandinFigures applies orders and reports to the stand-ins directly and reads
// the figures over HTTP.
func TestStandinFigures(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	e := engine.New(engine.Options{Name: "engine-1", Models: []string{"m"}, RoleChange: time.Millisecond})
	p := provider.New(provider.Options{})
	sink := usagesink.New(usagesink.Options{})
	s := StandinFigures{UsageWindow: time.Minute, LateAfter: 30 * time.Second, StaticEndpoints: 2}
	for base, handler := range map[*string]*httptest.Server{
		&s.Provider:  httptest.NewServer(p.Handler()),
		&s.UsageSink: httptest.NewServer(sink.Handler()),
	} {
		*base = handler.URL
		t.Cleanup(handler.Close)
	}
	engineServer := httptest.NewServer(e.Handler())
	t.Cleanup(engineServer.Close)
	s.Engines = []string{engineServer.URL}
	setRole := func(id string, r backing.Role) error {
		return e.Apply(ctx, backing.Order{ID: id, Kind: backing.OrderSetRole, Role: r, Fence: 1})
	}
	now := time.Now().UTC()
	sendReport := func(age time.Duration, body string) error {
		window := now.Add(-age).Format(time.RFC3339)
		return sink.Report(ctx, backing.UsageReport{Window: window, Body: []byte(body)})
	}

	is.NoErr(setRole("before", backing.RolePrefill))
	is.NoErr(sendReport(time.Hour, "before"))
	is.NoErr(s.RecordBaseline(ctx))
	is.NoErr(setRole("o1", backing.RoleDecode))
	is.NoErr(setRole("o1", backing.RoleDecode)) // A repeated order.
	is.NoErr(setRole("o2", backing.RoleMixed))
	is.NoErr(sendReport(time.Minute, "in time"))
	is.NoErr(sendReport(2*time.Minute, "late"))
	is.NoErr(sendReport(2*time.Minute, "late"))          // A repeated report.
	is.True(sendReport(2*time.Minute, "another") != nil) // A conflicting report.
	_, err := p.Order(ctx, backing.EndpointOrder{ID: "x", Domain: "north", Pool: "engines", Fence: 1})
	is.NoErr(err)

	f, err := s.Figures(ctx)
	is.NoErr(err)
	is.Equal(f.RoleChanges, 2)
	is.Equal(f.LateReports, 1)
	is.Equal(f.WrongReports, 1)
	is.True(f.EndpointSeconds > 0 && f.EndpointSeconds < 60)
	engineServer.Close()
	_, err = s.Figures(ctx)
	is.True(err != nil)
}

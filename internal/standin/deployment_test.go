package standin_test

import (
	"testing"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestDeploymentServesEveryStandin(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	d, err := standin.Start(standin.Options{
		Engines:  []engine.Options{{Name: "e1", Models: []string{"m"}}, {Name: "e2", Models: []string{"m"}}},
		Services: []service.Options{{Name: "orders"}},
		HostList: hostlist.Options{Hosts: []backing.Host{{Name: "a"}}},
	})
	is.NoErr(err)
	defer d.Close()
	_, err = backing.NewHTTPStore(d.Store.URL(), nil).CompareAndSwap(ctx, "a", 0, nil, 0)
	is.NoErr(err)
	is.Equal(d.Store.Standin.Revision(), backing.Revision(1))
	for _, e := range d.Engines {
		_, err = backing.NewHTTPEngine(e.URL(), nil).Load(ctx)
		is.NoErr(err)
	}
	_, err = backing.NewHTTPService(d.Services[0].URL(), nil).Call(ctx, backing.ServiceRequest{Path: "/stock"})
	is.NoErr(err)
	is.Equal(d.Services[0].Standin.Record().RunsByPath["/stock"], 1)
	_, err = backing.NewHTTPProvider(d.Provider.URL(), nil).Endpoints(ctx, "p")
	is.NoErr(err)
	hosts, err := backing.NewHTTPHostList(d.HostList.URL(), nil).Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(hosts), 1)
	is.NoErr(backing.NewHTTPUsageSink(d.UsageSink.URL(), nil).Report(ctx, backing.UsageReport{Window: "w"}))
	_, err = backing.NewHTTPWeightStore(d.Weights.URL(), nil).Estimate(ctx, "m", "")
	is.NoErr(err)
	is.NoErr(d.Engines[0].Close())
	_, err = backing.NewHTTPEngine(d.Engines[0].URL(), nil).Load(ctx)
	is.True(errors.Is(err, backing.ErrUnavailable))
}

func TestNewNamedBuildsEveryName(t *testing.T) {
	is := is.New(t)
	for _, name := range standin.Names() {
		_, err := standin.NewNamed(name, standin.NamedOptions{})
		is.NoErr(err)
	}
	_, err := standin.NewNamed("oracle", standin.NamedOptions{})
	is.True(err != nil)
}

package standin_test

import (
	"testing"

	"github.com/acacialink/acacialink/internal/platform"
	"github.com/acacialink/acacialink/internal/standin"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestDeploymentServesEachInterface(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	d, err := standin.Start(standin.Options{
		Engines:  []engine.Options{{Name: "e1", Models: []string{"m"}}, {Name: "e2", Models: []string{"m"}}},
		Services: []service.Options{{Name: "orders"}},
		HostList: hostlist.Options{Hosts: []platform.Host{{Name: "a"}}},
	})
	is.NoErr(err)
	defer d.Close()
	_, err = platform.NewHTTPStore(d.Store.URL(), nil).CompareAndSwap(ctx, "a", 0, nil, 0)
	is.NoErr(err)
	is.Equal(d.Store.Standin.Revision(), platform.Revision(1))
	for _, e := range d.Engines {
		_, err = platform.NewHTTPEngine(e.URL(), nil).Load(ctx)
		is.NoErr(err)
	}
	_, err = platform.NewHTTPService(d.Services[0].URL(), nil).Call(ctx, platform.ServiceRequest{Path: "/stock"})
	is.NoErr(err)
	is.Equal(d.Services[0].Standin.Record().RunsByPath["/stock"], 1)
	_, err = platform.NewHTTPProvider(d.Provider.URL(), nil).Provided(ctx, "p")
	is.NoErr(err)
	hosts, err := platform.NewHTTPHostList(d.HostList.URL(), nil).Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(hosts), 1)
	is.NoErr(platform.NewHTTPUsageSink(d.UsageSink.URL(), nil).Report(ctx, platform.UsageReport{Window: "w"}))
	_, err = platform.NewHTTPWeightStore(d.Weights.URL(), nil).Estimate(ctx, "m", "")
	is.NoErr(err)
	is.NoErr(d.Engines[0].Close())
	_, err = platform.NewHTTPEngine(d.Engines[0].URL(), nil).Load(ctx)
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestEachNameHasAStandIn(t *testing.T) {
	is := is.New(t)
	for _, name := range standin.Names() {
		_, err := standin.NewNamed(name, standin.NamedOptions{})
		is.NoErr(err)
	}
	_, err := standin.NewNamed("oracle", standin.NamedOptions{})
	is.True(err != nil)
}

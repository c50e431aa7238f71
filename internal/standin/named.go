package standin

import (
	"net/http"
	"slices"
	"strings"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/acacialink/acacialink/internal/standin/kvserver"
	"github.com/acacialink/acacialink/internal/standin/provider"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/acacialink/acacialink/internal/standin/usagesink"
	"github.com/acacialink/acacialink/internal/standin/weights"
	"github.com/pkg/errors"
)

// NamedOptions configure a stand-in that runs as its own process.
type NamedOptions struct {
	// Name is the name of an engine or a service.
	Name string
	// Models, Adapters, Role and ChecksFencing are those of an engine;
	// ChecksFencing is also the provider's.
	Models        []string
	Adapters      []string
	Role          backing.Role
	ChecksFencing bool
	// WritesPerSecond and ReadsPerSecond are the store's rates, zero for none.
	WritesPerSecond float64
	ReadsPerSecond  float64
	Seed            uint64
}

// constructors are the stand-ins by the name that the command line takes.
var constructors = map[string]func(NamedOptions) http.Handler{
	"store": func(o NamedOptions) http.Handler {
		rates := kv.Options{WritesPerSecond: o.WritesPerSecond, ReadsPerSecond: o.ReadsPerSecond, Seed: o.Seed}
		return kvserver.New(kvserver.Options{StoreOptions: rates}).Handler()
	},
	"engine": func(o NamedOptions) http.Handler {
		return engine.New(engine.Options{
			Name: o.Name, Models: o.Models, Adapters: o.Adapters, Role: o.Role,
			ChecksFencing: o.ChecksFencing, Seed: o.Seed,
		}).Handler()
	},
	"service": func(o NamedOptions) http.Handler {
		return service.New(service.Options{Name: o.Name}).Handler()
	},
	"provider": func(o NamedOptions) http.Handler {
		return provider.New(provider.Options{ChecksFencing: o.ChecksFencing, Seed: o.Seed}).Handler()
	},
	"usagesink": func(o NamedOptions) http.Handler {
		return usagesink.New(usagesink.Options{Seed: o.Seed}).Handler()
	},
	"hostlist": func(NamedOptions) http.Handler { return hostlist.New(hostlist.Options{}).Handler() },
	"weights":  func(NamedOptions) http.Handler { return weights.New(weights.Options{}).Handler() },
}

// Names lists the names that NewNamed knows.
func Names() []string {
	names := make([]string, 0, len(constructors))
	for name := range constructors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NewNamed returns the HTTP API of the stand-in with the name.
func NewNamed(name string, o NamedOptions) (http.Handler, error) {
	construct, ok := constructors[name]
	if !ok {
		return nil, errors.Errorf("no stand-in %q: use one of %s", name, strings.Join(Names(), ", "))
	}
	return construct(o), nil
}

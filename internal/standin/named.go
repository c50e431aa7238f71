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

// NamedOptions configures a stand-in that runs in its own process.
type NamedOptions struct {
	// Name is the name of the engine or service.
	Name string
	// Models, Adapters, Role and ChecksFencing apply to an engine; ChecksFencing
	// also applies to the provider.
	Models        []string
	Adapters      []string
	Role          backing.Role
	ChecksFencing bool
	// WritesPerSecond and ReadsPerSecond are the rate limits of the store; zero
	// means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	Seed            uint64
}

// constructors maps the names accepted on the command line to stand-ins.
var constructors = map[string]func(NamedOptions) http.Handler{
	"store": func(o NamedOptions) http.Handler {
		storeOptions := kv.Options{WritesPerSecond: o.WritesPerSecond, ReadsPerSecond: o.ReadsPerSecond, Seed: o.Seed}
		return kvserver.New(kvserver.Options{StoreOptions: storeOptions}).Handler()
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

// Names returns the names that NewNamed accepts, sorted.
func Names() []string {
	names := make([]string, 0, len(constructors))
	for name := range constructors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NewNamed creates the stand-in with the given name and returns its HTTP API.
func NewNamed(name string, o NamedOptions) (http.Handler, error) {
	construct, ok := constructors[name]
	if !ok {
		return nil, errors.Errorf("no stand-in %q: use one of %s", name, strings.Join(Names(), ", "))
	}
	return construct(o), nil
}

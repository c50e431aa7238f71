package host

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
)

type noConnections struct{}

func (noConnections) Drop(string) {}

func (noConnections) Sweep(time.Time) {}

// hostOf is a host that has not been started.
func hostOf(decode func(backing.KeyValue) (*endpoint.Endpoint, error)) *Host {
	return New(Options{
		Settings: Settings{Name: "h"},
		Ports: Ports{
			Connections: noConnections{},
			Endpoints:   EndpointSource{Decode: decode, ID: func(key string) (string, bool) { return key, true }},
			Config: ConfigSource{Decode: func(text []byte) (*catalog.Catalog, error) {
				version, err := strconv.ParseInt(string(text), 10, 64)
				return catalog.New(version, catalog.Limits{}, nil, nil, nil, nil), err
			}},
		},
		Registry: observe.NewRegistry(observe.Identity{}), Log: slog.New(slog.DiscardHandler),
	})
}

// Listings and watches read entries at the same time.
func TestForeignEntriesAreSkippedByTwoReaders(t *testing.T) {
	is := is.New(t)
	h := hostOf(func(backing.KeyValue) (*endpoint.Endpoint, error) { return nil, errors.New("foreign") })
	var readers sync.WaitGroup
	for range 2 {
		readers.Go(func() {
			for i := range 2 * maxForeign {
				if _, ok := h.decodeEndpoint(backing.KeyValue{Key: strconv.Itoa(i), Revision: 1}); ok {
					t.Error("a foreign entry was taken")
				}
			}
		})
	}
	readers.Wait()
	is.True(len(h.foreign) <= maxForeign)
}

// An endpoint that is listed and leaves within one watch takes no work.
func TestEventsOfOneWatchAreTakenInOrder(t *testing.T) {
	is := is.New(t)
	h := hostOf(func(kv backing.KeyValue) (*endpoint.Endpoint, error) {
		return &endpoint.Endpoint{ID: kv.Key, Service: "s", Slots: 1}, nil
	})
	written := backing.Event{KeyValue: backing.KeyValue{Key: "a"}}
	removed := backing.Event{KeyValue: backing.KeyValue{Key: "a"}, Deleted: true}
	h.takeEndpoints([]backing.Event{written, removed})
	is.Equal(len(h.endpoints.Service("s")), 0)
	h.takeEndpoints([]backing.Event{removed, written})
	is.Equal(len(h.endpoints.Service("s")), 1)
}

// A configuration that cannot be read changes nothing, and one that was read
// earlier never replaces a newer one.
func TestConfigurationsAreTakenInOrder(t *testing.T) {
	is := is.New(t)
	h := hostOf(nil)
	is.NoErr(h.takeConfig(backing.KeyValue{Revision: 5, Value: []byte("7")}))
	is.True(h.takeConfig(backing.KeyValue{Revision: 6, Value: []byte("broken")}) != nil)
	is.Equal(h.catalog.Current().Version, int64(7))
	is.NoErr(h.takeConfig(backing.KeyValue{Revision: 4, Value: []byte("9")}))
	is.Equal(h.catalog.Current().Version, int64(7))
	is.NoErr(h.takeConfig(backing.KeyValue{Revision: 8, Value: []byte("8")}))
	is.Equal(h.catalog.Current().Version, int64(8))
}

// A deployment that states no bounds is served all the same.
func TestBoundsHaveDefaults(t *testing.T) {
	is := is.New(t)
	h := hostOf(nil)
	is.Equal(h.o.Settings.Grace, defaultGrace)
	h.counter.Began("w") // windows of no length would not divide
	is.Equal(Settings{Grace: time.Second}.withDefaults().Grace, time.Second)
}

// forgetful is a store whose history begins at a revision.
type forgetful struct {
	backing.Store
	begins backing.Revision
	calls  []backing.Revision
}

func (s *forgetful) Watch(ctx context.Context, _ string, after backing.Revision, _ time.Duration) ([]backing.Event, backing.Revision, error) {
	s.calls = append(s.calls, after)
	if after < s.begins {
		return nil, 0, backing.ErrCompacted
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// A watch of a configuration that has not changed for longer than the store
// remembers goes on from what was read last of all, and the configuration is
// read once more.
func TestAWatchGoesOnWhereTheHistoryBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := hostOf(nil)
		store := &forgetful{begins: 100}
		h.o.Ports.Store = store
		is.NoErr(h.takeConfig(backing.KeyValue{Revision: 5, Value: []byte("7")}))
		h.listed.Store(120)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		h.watchConfig(ctx)
		is.Equal(store.calls, []backing.Revision{5, 120})
		is.Equal(len(h.configs.urge), 1)
	})
}

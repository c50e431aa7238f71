// Package host runs one entry host on a platform: it follows the store, finds
// its peers, listens to callers, and drains.
package host

import (
	"context"
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/duty"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/gateway"
	"github.com/acacialink/acacialink/internal/observe"
)

// ConfigSource is where the configuration lies, and how to read it.
type ConfigSource struct {
	Key    string
	Decode func([]byte) (*catalog.Catalog, error)
}

// EndpointSource is where endpoints are registered, and how to read an entry.
type EndpointSource struct {
	Prefix string
	Decode func(backing.KeyValue) (*endpoint.Endpoint, error)
	ID     func(key string) (string, bool)
}

// Connections drops kept connections to endpoints that left.
type Connections interface {
	Drop(address string)
	Sweep(now time.Time)
}

// Ports are the host's ways to the platform.
type Ports struct {
	Store       backing.Store
	Config      ConfigSource
	Endpoints   EndpointSource
	Ingress     gateway.Ingress
	Sender      gateway.Sender
	Connections Connections
	Engines     duty.Engines
	// Reporter is nil where nobody wants usage reports.
	Reporter duty.Reporter
}

// Options are all that a Host needs.
type Options struct {
	Settings Settings
	Ports    Ports
	Registry *observe.Registry
	Log      *slog.Logger
}

// loop is a part of a host that runs until its context ends.
type loop func(ctx context.Context)

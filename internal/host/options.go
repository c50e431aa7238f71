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

// Settings configure a host.
type Settings struct {
	Name, Domain string
	// Callers, Ready and Peers are the addresses to listen on.
	Callers, Ready, Peers string
	// FirstStart is true when the whole deployment starts for the first time.
	FirstStart bool
	// ConfigApply is how soon a change of the configuration is in force, Drain
	// how soon a leaving endpoint gets no more requests.
	ConfigApply, Drain time.Duration
	// Revoke is how soon a removed key is refused, on every host.
	Revoke time.Duration
	// Returned is how long endpoints may need to be listed again after an
	// outage of the store.
	Returned time.Duration
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound repeated sends over all hosts.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaSlack is the tokens that all hosts may go over a workspace's rate.
	QuotaSlack float64
	// QuotaWindow is the span in which a workspace may use its rate and burst.
	QuotaWindow time.Duration
	// Lease is the time in which holders of duties must not take turns.
	Lease time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
}

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

// Package host runs one entry host on a platform: it watches the store, discovers
// peers, serves callers, and drains before it exits.
package host

import (
	"context"
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/gateway"
	"github.com/acacialink/acacialink/internal/leader"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/peer"
)

// ConfigSource describes where the configuration is stored and how to decode it.
type ConfigSource struct {
	// Key is the configuration's key in the store.
	Key string
	// Decode decodes the key's value.
	Decode func([]byte) (*catalog.Catalog, error)
}

// EndpointSource describes where endpoints are registered and how to decode their
// entries.
type EndpointSource struct {
	// Prefix is the prefix of the entries' keys in the store.
	Prefix string
	// Decode decodes an entry.
	Decode func(backing.KeyValue) (*endpoint.Endpoint, error)
	// ID returns the endpoint ID for a key; false for a key of another kind.
	ID func(key string) (string, bool)
}

// Connections is a pool of idle connections to endpoints.
type Connections interface {
	// CloseIdle closes the idle connections to the endpoint at address, which left.
	CloseIdle(address string)
	// CloseExpired closes the connections that have been idle for too long.
	CloseExpired(now time.Time)
}

// AnswerBudgeter is a port that bounds the memory of the answers to its own calls.
type AnswerBudgeter interface {
	// SetAnswerBudget sets the budget, each endpoint or service being one sender of it.
	// It is called before the port is used.
	SetAnswerBudget(answers *bodybudget.Shares)
}

// setAnswerBudget sets the budget of a port that has one.
func setAnswerBudget(port any, answers *bodybudget.Shares) {
	if budgeter, ok := port.(AnswerBudgeter); ok {
		budgeter.SetAnswerBudget(answers)
	}
}

// Ports are the host's interfaces to the platform.
type Ports struct {
	Store     backing.Store
	Config    ConfigSource
	Endpoints EndpointSource
	// Evacuations are read if Settings.EvacuationBound is set.
	Evacuations EvacuationSource
	Ingress     gateway.Ingress
	Sender      gateway.Sender
	Connections Connections
	Engines     leader.Engines
	// Reporter receives usage reports; nil if none are required.
	Reporter leader.Reporter
}

// Options configure a Host.
type Options struct {
	Settings Settings
	Ports    Ports
	Registry *observe.Registry
	// Exchange makes one exchange with another host; nil for calls over TCP.
	Exchange peer.ExchangeFunc
	Log      *slog.Logger
}

// loop is a background task of a host that runs until its context is done.
type loop func(ctx context.Context)

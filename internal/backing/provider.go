package backing

import (
	"context"
	"time"
)

// EndpointOrder is a request to the platform to start one endpoint.
type EndpointOrder struct {
	// ID is the idempotency key: the platform starts at most one endpoint for it.
	ID string `json:"id"`
	// Fence is the fencing token of the issuing lease.
	Fence  int64  `json:"fence"`
	Domain string `json:"domain"`
	Pool   string `json:"pool"`
	Issuer string `json:"issuer"`
}

// ProvidedState is the lifecycle state of an ordered endpoint.
type ProvidedState string

// The states of an ordered endpoint.
const (
	ProvidedStarting  ProvidedState = "starting"
	ProvidedRunning   ProvidedState = "running"
	ProvidedWithdrawn ProvidedState = "withdrawn"
	ProvidedReturned  ProvidedState = "returned"
)

// ProvidedEndpoint is an endpoint ordered from the platform.
type ProvidedEndpoint struct {
	OrderID string        `json:"order_id"`
	Domain  string        `json:"domain"`
	Pool    string        `json:"pool"`
	State   ProvidedState `json:"state"`
	// Agent is the address of the agent; it is set once State is running.
	Agent string `json:"agent"`
	// BilledSince is the time from which the endpoint is billed.
	BilledSince time.Time `json:"since"`
}

// Provider orders and returns endpoints by failure domain.
type Provider interface {
	// Order orders one endpoint; it is idempotent by ID. ErrUnknown means that
	// the order may have been accepted.
	Order(ctx context.Context, o EndpointOrder) (ProvidedEndpoint, error)
	// Return returns an endpoint to the platform. It is idempotent.
	Return(ctx context.Context, orderID string, fence int64, issuer string) error
	// Endpoints lists all endpoints ever ordered for the pool, except those
	// returned more than an hour ago.
	Endpoints(ctx context.Context, pool string) ([]ProvidedEndpoint, error)
}

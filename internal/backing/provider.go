package backing

import (
	"context"
	"time"
)

// EndpointOrder asks the platform for one endpoint.
type EndpointOrder struct {
	// ID is the idempotency key: the platform starts at most one endpoint for it.
	ID string `json:"id"`
	// Fence is the fencing number of the issuing lease.
	Fence  int64  `json:"fence"`
	Domain string `json:"domain"`
	Pool   string `json:"pool"`
	Issuer string `json:"issuer"`
}

// ProvidedState is how far an ordered endpoint is.
type ProvidedState string

// The states of an ordered endpoint.
const (
	ProvidedStarting  ProvidedState = "starting"
	ProvidedRunning   ProvidedState = "running"
	ProvidedWithdrawn ProvidedState = "withdrawn"
	ProvidedReturned  ProvidedState = "returned"
)

// ProvidedEndpoint is an endpoint that the platform runs, or will, for us.
type ProvidedEndpoint struct {
	OrderID string        `json:"order_id"`
	Domain  string        `json:"domain"`
	Pool    string        `json:"pool"`
	State   ProvidedState `json:"state"`
	// Agent is the agent's address once the state is running.
	Agent string `json:"agent"`
	// Since is when the endpoint began to cost money.
	Since time.Time `json:"since"`
}

// Provider orders and returns endpoints by failure domain.
type Provider interface {
	// Order is idempotent by ID. ErrUnknown: the order may have been taken.
	Order(ctx context.Context, o EndpointOrder) (ProvidedEndpoint, error)
	// Return gives an endpoint back; idempotent.
	Return(ctx context.Context, orderID string, fence int64, issuer string) error
	// Provided lists all endpoints of the pool that were ever ordered and
	// are not yet returned for more than an hour.
	Provided(ctx context.Context, pool string) ([]ProvidedEndpoint, error)
}

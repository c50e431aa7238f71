package provider

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	defaultStartTime = 30 * time.Second
	// returnedRetention is how long Provided lists an endpoint after its return.
	returnedRetention = time.Hour
)

// Options configures a Provider.
type Options struct {
	// StartTime is the time from the order of an endpoint until it runs; zero
	// means 30 s.
	StartTime time.Duration
	// ChecksFencing makes the provider refuse orders and returns whose fencing
	// token is lower than the highest one received.
	ChecksFencing bool
	// Start, if not nil, is called when the start time of an endpoint is over.
	// It returns the address of the endpoint's agent.
	Start func(backing.EndpointOrder) string
	// Stop, if not nil, is called when an endpoint is returned or withdrawn.
	Stop func(orderID string)
	// Seed makes the choice of responses lost by the fault switch reproducible.
	Seed uint64
}

package pool

import "time"

// Endpoint is an ordered or running endpoint of the pool.
type Endpoint struct {
	// OrderID identifies the endpoint at the platform. It is empty for endpoints
	// that the operator declared; these are never returned.
	OrderID string
	// Domain is the failure domain.
	Domain string
	// Running is true once the endpoint serves requests.
	Running bool
	// OrderedAt is the time of the order.
	OrderedAt time.Time
	// InFlight is the number of requests in flight.
	InFlight int
	// Leaving is true if the endpoint is draining or was withdrawn.
	Leaving bool
}

// Action is an order or a return of one endpoint.
type Action struct {
	// Order is true to order one more endpoint in Domain, and false to drain and
	// return the endpoint OrderID.
	Order bool
	// Domain is the failure domain of the endpoint.
	Domain string
	// OrderID identifies the endpoint to return. It is empty for orders.
	OrderID string
	// Reason is the reason for the action, for the log.
	Reason string
}

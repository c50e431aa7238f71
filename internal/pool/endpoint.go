package pool

import "time"

// Endpoint is one endpoint of the pool that is paid for or ordered.
type Endpoint struct {
	// OrderID names it towards the platform; empty for one that the operator
	// declared, which is never returned.
	OrderID string
	Domain  string
	// Running is false until it serves.
	Running bool
	// Ordered is when it was ordered.
	Ordered time.Time
	// InFlight is its running work.
	InFlight int
	// Leaving endpoints are being drained or were withdrawn.
	Leaving bool
}

// Action is what to do next.
type Action struct {
	// Order asks for one more endpoint in Domain; otherwise the endpoint
	// OrderID is drained and returned.
	Order   bool
	Domain  string
	OrderID string
	Reason  string
}

package backing

import "context"

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	// ID is the request id, sent as X-Request-Id.
	ID     string
	Method string
	// Path begins with a slash and may hold a query.
	Path string
	// Header holds the caller's headers less those that carry keys.
	Header map[string][]string
	Body   []byte
	// Idempotent says whether the call may be repeated.
	Idempotent bool
}

// ServiceResponse is a plain service's whole answer.
type ServiceResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Service is a plain service beside an agent.
type Service interface {
	// Call sends the request once. ErrUnavailable means that no byte of it
	// reached the service; ErrUnknown that it may have run.
	Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error)
}

package backing

import "context"

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	// ID is the request ID, sent as X-Request-Id.
	ID     string
	Method string
	// Path starts with a slash and may contain a query.
	Path string
	// Header contains the caller's headers without those that carry credentials.
	Header map[string][]string
	Body   []byte
	// Idempotent reports whether the request may be sent more than once.
	Idempotent bool
}

// ServiceResponse is the complete response of a plain service. It must be released.
type ServiceResponse struct {
	Held
	Status int
	Header map[string][]string
	Body   []byte
}

// Service is a plain service that runs next to an agent.
type Service interface {
	// Call sends the request once. ErrUnavailable means that no byte of it
	// reached the service; ErrUnknown means that the service may have run it.
	Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error)
}

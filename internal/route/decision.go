package route

import (
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// Decision is the endpoint chosen for a request.
type Decision struct {
	Endpoint string
	// ExpectedFirstToken is the predicted time to first token.
	ExpectedFirstToken time.Duration
	// PrefixTokens is the number of prompt tokens predicted to be cached at the
	// endpoint.
	PrefixTokens int
}

// noEndpointRetryAfter is the Retry-After of refusals when no endpoint is eligible.
const noEndpointRetryAfter = time.Second

// errNoEndpoint returns the refusal for a request without an eligible endpoint.
func errNoEndpoint() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_endpoint",
		"no endpoint can take the request").After(noEndpointRetryAfter)
}

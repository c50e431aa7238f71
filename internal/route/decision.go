package route

import (
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// Decision names the endpoint for a request.
type Decision struct {
	Endpoint string
	// Expected is the predicted time to the first token.
	Expected time.Duration
	// PrefixTokens is the part of the prompt predicted to be cached there.
	PrefixTokens int
}

// retryNoEndpoint is how long a caller should wait when no endpoint is usable.
const retryNoEndpoint = time.Second

// errNoEndpoint is the refusal when no endpoint can take the request.
func errNoEndpoint() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_endpoint",
		"no endpoint can take the request").After(retryNoEndpoint)
}

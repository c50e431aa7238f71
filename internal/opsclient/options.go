package opsclient

import (
	"net/http"
	"time"
)

// Options configures the commands.
type Options struct {
	// Addresses lists the base URLs of the operator API of entry hosts, in the
	// order in which connections are attempted.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// HTTP is the HTTP client, http.DefaultClient if nil.
	HTTP *http.Client
	// JSON selects JSON output instead of text.
	JSON bool
	// Wait is how long to wait for a change to be in force. If it is not
	// positive, commands do not wait.
	Wait time.Duration
}

// callTimeout is the timeout of one API call other than a watch.
const callTimeout = 60 * time.Second

// pollInterval is the interval between checks whether a change is in force.
const pollInterval = 300 * time.Millisecond

func (o Options) client() *http.Client {
	if o.HTTP != nil {
		return o.HTTP
	}
	return http.DefaultClient
}

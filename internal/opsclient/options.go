package opsclient

import (
	"net/http"
	"time"
)

// Options say where and how the commands work.
type Options struct {
	// Addresses are operator addresses of entry hosts, as URLs. The next one
	// is tried when one cannot be connected to.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// JSON prints answers as JSON in place of lines for people.
	JSON bool
	// Wait, when positive, is how long a change may take to be in force.
	Wait time.Duration
}

// callTimeout bounds one call that does not wait.
const callTimeout = 60 * time.Second

// waitInterval is the time between two looks at a change that is waited for.
const waitInterval = 300 * time.Millisecond

func (o Options) client() *http.Client {
	if o.HTTP != nil {
		return o.HTTP
	}
	return http.DefaultClient
}

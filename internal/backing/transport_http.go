package backing

import (
	"net"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/sockopt"
)

const (
	dialTimeout       = 2 * time.Second
	userTimeout       = 5 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	idleConnTimeout   = 30 * time.Second
	maxIdlePerHost    = 64
	// headerTimeout bounds the wait for the headers of a stream.
	headerTimeout = 5 * time.Second
)

// NewTransport returns an HTTP transport that finds silent connections by
// TCP_USER_TIMEOUT and keep-alive probes, follows no proxy settings and passes
// bodies through as they are.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: sockopt.UserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// newClient returns client with redirects off and without its whole-request
// timeout, which would cut streams, or one of our own for nil.
func newClient(client *http.Client) *http.Client {
	if client == nil {
		client = &http.Client{Transport: NewTransport()}
	}
	own := *client
	own.CheckRedirect = noRedirect
	own.Timeout = 0
	return &own
}

// noRedirect hands a redirect back: following one would send a request twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// freshClient returns a copy of client that uses a new connection for each
// request. The transport repeats a request by itself only on a connection
// that it used before, so this client never does.
func freshClient(client *http.Client) *http.Client {
	transport, ok := client.Transport.(*http.Transport)
	if ok {
		transport = transport.Clone()
	} else {
		transport = NewTransport()
	}
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

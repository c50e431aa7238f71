package backing

import (
	"context"
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
	// headerTimeout limits the wait for the response headers of a stream.
	headerTimeout = 5 * time.Second
)

// NewTransport returns an HTTP transport that detects dead connections with
// TCP_USER_TIMEOUT and keep-alive probes, ignores proxy settings and does not
// decompress bodies.
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
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &observedConn{Conn: conn}, nil
	}
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// newClient returns a copy of client that follows no redirects and has no
// whole-request timeout, which would cut off streams. If client is nil, it uses
// NewTransport.
func newClient(client *http.Client) *http.Client {
	if client == nil {
		client = &http.Client{Transport: NewTransport()}
	}
	clone := *client
	clone.CheckRedirect = noRedirect
	clone.Timeout = 0
	return &clone
}

// noRedirect returns redirects to the caller: following one would send the
// request twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// noReuseClient returns a copy of client that opens a new connection for each
// request. The transport resends a request by itself only on a reused
// connection, so requests of this client are never resent.
func noReuseClient(client *http.Client) *http.Client {
	transport, ok := client.Transport.(*http.Transport)
	if ok {
		transport = transport.Clone()
	} else {
		transport = NewTransport()
	}
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

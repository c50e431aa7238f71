package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/acacialink/acacialink/internal/verdict"
)

var errTooManyConnections = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "too_many_connections",
	"the host has as many connections as it may").After(overloadRetryAfter)

// refusalHeadroomDivisor sets how many connections beyond the limit still receive an
// error response: limit/refusalHeadroomDivisor, at least one. Any further connection is
// closed at once.
const refusalHeadroomDivisor = 10

// LimitConnections wraps l to limit the number of open connections. If the server
// uses ConnContext, a connection beyond the limit receives one response with
// status 503 and verdict not-run before it is closed. If connections exceed the
// limit by more than a tenth, they are closed without a response.
func LimitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, limit: int64(limit), hardLimit: int64(limit + max(1, limit/refusalHeadroomDivisor))}
}

// limitedListener counts open connections. Connections beyond limit are refused
// with a response, connections beyond hardLimit are closed on accept.
type limitedListener struct {
	net.Listener
	limit, hardLimit int64
	open             atomic.Int64
}

// Accept implements net.Listener. It closes connections beyond the hard limit and
// waits for the next one.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		if open <= l.hardLimit {
			return &limitedConn{Conn: conn, listener: l, refused: open > l.limit}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

// limitedConn counts towards the limit of its listener until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	// refused reports whether the connection was opened beyond the limit.
	refused bool
	once    sync.Once
}

// Close implements net.Conn. Repeated calls decrement the count only once.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// NetConn returns the connection beneath.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

type refusedConnKey struct{}

// ConnContext marks the context of connections beyond the limit of
// LimitConnections. It is for use as http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*limitedConn); ok && c.refused {
		return context.WithValue(ctx, refusedConnKey{}, true)
	}
	return ctx
}

// onRefusedConn reports whether the request arrived on a connection beyond the
// limit.
func onRefusedConn(r *http.Request) bool { return r.Context().Value(refusedConnKey{}) != nil }

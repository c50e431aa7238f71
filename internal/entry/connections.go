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
	"the host has as many connections as it may").After(retrySoon)

// refusedShare is the part of the bound, as a divisor, by which connections
// may pass it to be told so; those beyond are closed at once.
const refusedShare = 10

// LimitConnections bounds the open connections of callers. A connection beyond
// the bound gets one answer with the verdict not-run, if the server uses
// ConnContext, and is closed.
func LimitConnections(l net.Listener, bound int) net.Listener {
	return &limitedListener{Listener: l, bound: int64(bound), most: int64(bound + max(1, bound/refusedShare))}
}

type limitedListener struct {
	net.Listener
	bound, most int64
	open        atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		if open <= l.most {
			return &limitedConn{Conn: conn, listener: l, refused: open > l.bound}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

// limitedConn is counted until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	refused  bool
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

type refusedKey struct{}

// ConnContext marks connections beyond the bound; it is meant for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*limitedConn); ok && c.refused {
		return context.WithValue(ctx, refusedKey{}, true)
	}
	return ctx
}

// refusedConn says whether the request came by a connection beyond the bound.
func refusedConn(r *http.Request) bool { return r.Context().Value(refusedKey{}) != nil }

// Package httpdrain ends an HTTP server without dropping requests that it has accepted.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Tracker tracks the connections of a server on which a request is in progress or may
// be arriving. http.Server.Shutdown drops the latter. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	conns map[net.Conn]http.ConnState
}

// Track makes the server report the states of its connections. It must be called before
// the server serves.
func (t *Tracker) Track(server *http.Server) { server.ConnState = t.connState }

func (t *Tracker) connState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state != http.StateNew && state != http.StateActive {
		delete(t.conns, c)
		return
	}
	if t.conns == nil {
		t.conns = make(map[net.Conn]http.ConnState)
	}
	t.conns[c] = state
}

// pollInterval is the time between checks in Wait.
const pollInterval = 10 * time.Millisecond

// Wait waits until no request is in progress or arriving, or ctx ends. The listener
// should be closed before.
func (t *Tracker) Wait(ctx context.Context) {
	wait(ctx, func() bool { return !t.Busy() })
}

// Busy reports whether a request is in progress or may be arriving.
func (t *Tracker) Busy() bool { return t.count(http.StateNew)+t.count(http.StateActive) > 0 }

// WaitAnswered waits until no request is in progress, or ctx ends.
func (t *Tracker) WaitAnswered(ctx context.Context) {
	wait(ctx, func() bool { return t.count(http.StateActive) == 0 })
}

func wait(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Tracker) count(state http.ConnState) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.conns {
		if s == state {
			n++
		}
	}
	return n
}

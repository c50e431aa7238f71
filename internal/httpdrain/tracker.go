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
	conns map[net.Conn]struct{}
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
		t.conns = make(map[net.Conn]struct{})
	}
	t.conns[c] = struct{}{}
}

// pollInterval is the time between checks in Wait.
const pollInterval = 10 * time.Millisecond

// Wait waits until no request is in progress or arriving, or ctx ends. The listener
// should be closed before.
func (t *Tracker) Wait(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !t.none() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Tracker) none() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) == 0
}

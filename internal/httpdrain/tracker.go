// Package httpdrain ends an HTTP server without dropping requests that it has read.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Tracker tracks the connections of a server and on which of them a request is in progress
// or may be arriving. http.Server.Shutdown drops the latter, and what it has read on
// connections that it takes for idle. It is safe for concurrent use.
type Tracker struct {
	// accepting is the number of calls of Accept in progress.
	accepting atomic.Int32
	// deliverUntil is the time of DeliverUntil; nil before the stop.
	deliverUntil atomic.Pointer[time.Time]

	mu    sync.Mutex // guards conns and cut
	conns map[net.Conn]http.ConnState
	// cut is the number of connections that were closed with answers undelivered.
	cut int
}

// Track makes the server report the states of its connections, and when its handler has
// returned. It must be called once the handler is set, before the server serves.
func (t *Tracker) Track(server *http.Server) {
	server.ConnState = t.connState
	server.ConnContext = withConn(server.ConnContext)
	server.Handler = noteAnswered(server.Handler)
}

func (t *Tracker) connState(c net.Conn, state http.ConnState) {
	if n := noted(c); n != nil {
		n.setState(state)
		c = n
	}
	if state == http.StateClosed || state == http.StateHijacked {
		t.remove(c)
		return
	}
	t.set(c, state)
}

func (t *Tracker) remove(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// removeCut removes a connection whose answers are not delivered, so that Finish counts it
// once, whichever of the two comes first.
func (t *Tracker) removeCut(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.conns[c]; ok {
		delete(t.conns, c)
		t.cut++
	}
}

func (t *Tracker) set(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = make(map[net.Conn]http.ConnState)
	}
	t.conns[c] = state
}

// pollInterval is the time between checks in Wait.
const pollInterval = 10 * time.Millisecond

// Wait waits until no connection is being accepted and no request is in progress or
// arriving, or ctx ends. The listener must be closed before.
func (t *Tracker) Wait(ctx context.Context) {
	wait(ctx, func() bool { return t.accepting.Load() == 0 && !t.Busy() })
}

// Busy reports whether a request is in progress or may be arriving.
func (t *Tracker) Busy() bool {
	return t.count(func(c net.Conn, state http.ConnState) bool {
		n := noted(c)
		return state != http.StateIdle || n != nil && n.arriving.Load()
	}) > 0
}

// WaitAnswered waits until no handler is in progress, or ctx ends.
func (t *Tracker) WaitAnswered(ctx context.Context) {
	wait(ctx, func() bool {
		return t.count(func(c net.Conn, state http.ConnState) bool {
			n := noted(c)
			return state == http.StateActive && (n == nil || !n.answered.Load())
		}) == 0
	})
}

// Finish ends the connections without a request in progress, waits for the others and for
// those that are being accepted, and returns how many connections are left when ctx ends or
// were closed with answers undelivered. A request that has arrived is answered first. The
// handler must refuse new requests without reading their bodies; they are waited for while
// they arrive.
func (t *Tracker) Finish(ctx context.Context) int {
	wait(ctx, func() bool {
		accepting := t.accepting.Load()
		left, _ := t.endReading()
		return left == 0 && accepting == 0
	})
	left, cut := t.endReading()
	return left + cut
}

// endReading ends the reading of connections without a request in progress, and of those
// whose request is answered and whose body does not come. The server closes them itself,
// after the answer to what it has read. It returns the number of connections, and of those
// that were closed with answers undelivered.
func (t *Tracker) endReading() (left, cut int) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, state := range t.conns {
		n := noted(c)
		if state == http.StateActive && (n == nil || !n.answered.Load() || n.lingers(now)) {
			continue
		}
		if n != nil {
			n.ended.Store(true)
		}
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	return len(t.conns), t.cut
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

// count returns the number of connections that match.
func (t *Tracker) count(matches func(c net.Conn, state http.ConnState) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c, state := range t.conns {
		if matches(c, state) {
			n++
		}
	}
	return n
}
